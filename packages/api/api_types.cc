#include "api/api_types.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "model/field_reader.h"

namespace pomelotray {

std::string ApiRequest::Header(const std::string& lower_case_name) const {
  const auto it = headers.find(lower_case_name);
  return it == headers.end() ? "" : it->second;
}

ApiReply JsonReply(const nlohmann::json& json, int status) {
  ApiReply reply;
  reply.status = status;
  reply.body = DumpJson(json) + "\n";
  return reply;
}

Result<int64_t> IntegerQuery(const ApiRequest& request, const std::string& name, int64_t min,
                             int64_t max, std::optional<int64_t> fallback) {
  const std::string remedy = absl::StrCat("use a whole number from ", min, " to ", max, ".");
  const auto it = request.query.find(name);
  if (it == request.query.end()) {
    if (fallback.has_value()) {
      return *fallback;
    }
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("Query parameter ", name, " is missing; ", remedy));
  }
  int64_t value = 0;
  if (!absl::SimpleAtoi(it->second, &value) || value < min || value > max) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("Query parameter ", name, " is ",
                             FieldReader::Show(nlohmann::json(it->second)), "; ", remedy));
  }
  return value;
}

}  // namespace pomelotray
