#ifndef POMELOTRAY_CUSTOMERS_LIMITS_H_
#define POMELOTRAY_CUSTOMERS_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "customers/unlimited.h"

namespace pomelotray {

// Largest cap that a contract may have in one dimension, in the unit of the dimension.
inline constexpr int64_t kMaxCap = 1'000'000'000'000'000;
// Largest number of API keys of one customer.
inline constexpr size_t kMaxKeysPerCustomer = 10'000;

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_LIMITS_H_
