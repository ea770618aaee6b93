#ifndef POMELOTRAY_BASE_JSON_NUMBER_H_
#define POMELOTRAY_BASE_JSON_NUMBER_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "absl/time/time.h"

namespace pomelotray {

// Limits for numbers in decoded documents. They are far beyond any meaningful value, and sums of
// millions of such numbers do not overflow.
inline constexpr int64_t kMaxJsonCount = 1'000'000'000;
// One hundred years.
inline constexpr int64_t kMaxJsonMillis = 3'153'600'000'000;
// Year 10000, in Unix milliseconds.
inline constexpr int64_t kMaxJsonUnixMillis = 253'402'300'800'000;

// Largest integer up to which doubles represent all integers exactly.
inline constexpr int64_t kMaxExactInteger = int64_t{1} << 53;

// Whether `value` is an integer, without a fraction, between `min` and `max`. Other numbers must
// not be converted: unsigned ones above 2^63 - 1 become negative.
bool IsIntegerBetween(const nlohmann::json& value, int64_t min, int64_t max);

// The functions below throw nlohmann::json::other_error if `value` is not a number or is out of
// range, so that DecodeJson() returns an Error.

// Returns a number between `min` and `max`, truncated to an integer. The magnitude of both limits
// is at most kMaxExactInteger.
int64_t IntegerFromJson(const nlohmann::json& value, int64_t min, int64_t max);
// Returns a duration between zero and kMaxJsonMillis, given in milliseconds.
absl::Duration MillisFromJson(const nlohmann::json& value);
// Returns a time between the Unix epoch and kMaxJsonUnixMillis, given in Unix milliseconds.
absl::Time UnixMillisFromJson(const nlohmann::json& value);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_JSON_NUMBER_H_
