#include "base/json_text.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

bool NestsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

Result<nlohmann::json> ParseJson(std::string_view text, std::string_view subject) {
  if (NestsTooDeep(text)) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The ", std::string(subject), " nests JSON deeper than ",
                             kMaxJsonDepth, " levels; send the documented form."));
  }
  nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The ", std::string(subject),
                             " is not valid JSON; check it for syntax errors, numbers beyond the "
                             "range of a double and bytes that are not UTF-8."));
  }
  return json;
}

std::string DumpJson(const nlohmann::json& json, int indent) {
  return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace pomelotray
