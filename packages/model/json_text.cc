#include "model/json_text.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

Result<nlohmann::json> ParseJson(std::string_view text, std::string_view subject) {
  bool too_deep = false;
  const nlohmann::json::parser_callback_t limit_depth =
      [&too_deep](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        too_deep = too_deep || depth > kMaxJsonDepth;
        return !too_deep;
      };
  nlohmann::json json = nlohmann::json::parse(text, limit_depth, /*allow_exceptions=*/false);
  if (too_deep) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The ", std::string(subject), " nests JSON deeper than ",
                             kMaxJsonDepth, " levels; send the documented form."));
  }
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
