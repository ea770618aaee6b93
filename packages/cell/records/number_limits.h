#ifndef POMELOTRAY_CELL_RECORDS_NUMBER_LIMITS_H_
#define POMELOTRAY_CELL_RECORDS_NUMBER_LIMITS_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "base/json_number.h"
#include "cell/cell_ports.h"

namespace pomelotray {

// Highest term of a claim that is read. A part that is claimed once a second reaches it after more
// than a thousand years. An owner numbers its attempts from 100,000 times its term, which must stay
// below kMaxRunNumber.
inline constexpr int64_t kMaxTerm = 40'000'000'000;
// Highest attempt number that is read. It leaves room for later attempts below kMaxExactInteger.
inline constexpr int64_t kMaxRunNumber = 8'000'000'000'000'000;
// Highest number of parts of a pool that is read. The number of parts is chosen so that a part has
// up to 400 workers.
inline constexpr int kMaxPartCount = 1000;

// Both throw nlohmann::json::other_error if `value` is not a number or is out of range.
inline int64_t TermFromJson(const nlohmann::json& value) {
  return IntegerFromJson(value, 0, kMaxTerm);
}
inline RunNumber RunNumberFromJson(const nlohmann::json& value) {
  return RunNumber(IntegerFromJson(value, 0, kMaxRunNumber));
}

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RECORDS_NUMBER_LIMITS_H_
