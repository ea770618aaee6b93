#ifndef POMELOTRAY_CUSTOMERS_UNLIMITED_H_
#define POMELOTRAY_CUSTOMERS_UNLIMITED_H_

#include <cstdint>

#include "base/resources.h"

namespace pomelotray {

// Value of a dimension of Contract::hold that has no limit. Above every configured limit (10^15),
// and small enough that the sum of two does not overflow.
inline constexpr int64_t kNoLimit = 1'000'000'000'000'000'000;

// Whether `value` of a dimension of Contract::hold is a limit. Zero is the value of a contract
// whose cap was never set; operators cannot configure a cap of zero.
constexpr bool IsLimit(int64_t value) { return value > 0 && value < kNoLimit; }

// Whether the cap limits processors, memory or accelerators. Slots are not limited by caps.
constexpr bool HasLimit(const Resources& hold) {
  return IsLimit(hold.cpu.value()) || IsLimit(hold.memory.value()) ||
         IsLimit(hold.accelerators.value());
}

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_UNLIMITED_H_
