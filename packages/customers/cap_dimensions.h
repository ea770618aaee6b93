#ifndef POMELOTRAY_CUSTOMERS_CAP_DIMENSIONS_H_
#define POMELOTRAY_CUSTOMERS_CAP_DIMENSIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/resources.h"
#include "customers/unlimited.h"

namespace pomelotray {

// Processors, memory and accelerators, the dimensions that a cap limits, as plain numbers.
inline constexpr size_t kCapDimensions = 3;
using CapAmounts = std::array<int64_t, kCapDimensions>;

inline CapAmounts ToCapAmounts(const Resources& resources) {
  return {resources.cpu.value(), resources.memory.value(), resources.accelerators.value()};
}

inline Resources ToResources(const CapAmounts& amounts) {
  Resources resources;
  resources.cpu = MilliCores(amounts[0]);
  resources.memory = MebiBytes(amounts[1]);
  resources.accelerators = AcceleratorCount(amounts[2]);
  return resources;
}

// Whether `amounts` is within `cap` in each dimension that has a limit.
inline bool IsWithinCap(const CapAmounts& amounts, const CapAmounts& cap) {
  for (size_t d = 0; d < kCapDimensions; ++d) {
    if (IsLimit(cap[d]) && amounts[d] > cap[d]) {
      return false;
    }
  }
  return true;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_CAP_DIMENSIONS_H_
