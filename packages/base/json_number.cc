#include "base/json_number.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

[[noreturn]] void ThrowOutOfRange(const nlohmann::json& value, int64_t min, int64_t max) {
  throw nlohmann::json::other_error::create(
      501, absl::StrCat("a value is not a number between ", min, " and ", max), &value);
}

}  // namespace

bool IsIntegerBetween(const nlohmann::json& value, int64_t min, int64_t max) {
  if (value.is_number_unsigned()) {
    const uint64_t number = value.get<uint64_t>();
    return max >= 0 && number <= static_cast<uint64_t>(max) &&
           (min <= 0 || number >= static_cast<uint64_t>(min));
  }
  return value.is_number_integer() && value.get<int64_t>() >= min && value.get<int64_t>() <= max;
}

int64_t IntegerFromJson(const nlohmann::json& value, int64_t min, int64_t max) {
  bool in_range = false;
  if (value.is_number_unsigned()) {
    in_range = max >= 0 && value.get<uint64_t>() <= static_cast<uint64_t>(max);
  } else if (value.is_number()) {
    // A conversion of a floating-point number that is out of range is undefined behavior.
    const double number = value.get<double>();
    in_range = number >= static_cast<double>(min) && number <= static_cast<double>(max);
  }
  if (!in_range || value.get<int64_t>() < min) {
    ThrowOutOfRange(value, min, max);
  }
  return value.get<int64_t>();
}

absl::Duration MillisFromJson(const nlohmann::json& value) {
  return absl::Milliseconds(IntegerFromJson(value, 0, kMaxJsonMillis));
}

absl::Time UnixMillisFromJson(const nlohmann::json& value) {
  return absl::FromUnixMillis(IntegerFromJson(value, 0, kMaxJsonUnixMillis));
}

}  // namespace pomelotray
