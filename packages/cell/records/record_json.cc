#include "cell/records/record_json.h"

#include <limits>

#include "absl/strings/str_cat.h"
#include "base/json_number.h"

namespace pomelotray {

using nlohmann::json;

void ThrowUnreadable(const std::string& reason, const json& value) {
  throw json::other_error::create(501, reason, &value);
}

int64_t OptionalInteger(const json& value, const char* field, int64_t max) {
  return value.contains(field) ? IntegerFromJson(value.at(field), 0, max) : 0;
}

absl::Duration OptionalMillis(const json& value, const char* field) {
  return value.contains(field) ? MillisFromJson(value.at(field)) : absl::ZeroDuration();
}

int IntFromJson(const json& value) {
  return static_cast<int>(
      IntegerFromJson(value, std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
}

json OptionalArray(const json& value, const char* field) {
  return value.contains(field) ? RequiredArray(value, field) : json::array();
}

json RequiredArray(const json& value, const char* field) {
  const json& list = value.at(field);
  if (!list.is_array()) {
    ThrowUnreadable(absl::StrCat(field, " is not an array"), value);
  }
  return list;
}

DecodeSubject StoredSubject(const char* what) {
  return {ErrorKind::kInternal, what, "check which program wrote this entry of the store",
          /*has_secrets=*/false};
}

}  // namespace pomelotray
