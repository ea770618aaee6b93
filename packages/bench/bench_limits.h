#ifndef POMELOTRAY_BENCH_BENCH_LIMITS_H_
#define POMELOTRAY_BENCH_BENCH_LIMITS_H_

#include <map>

#include "scheduler/limit_source.h"

namespace pomelotray {

// A LimitSource for benchmarks: no resource limits, and a fixed weight per customer (1 by default).
class BenchLimits : public LimitSource {
 public:
  Resources ResourceLimit(const CustomerId&) const override {
    constexpr int64_t kUnlimited = 1'000'000'000'000;
    return {MilliCores(kUnlimited), MebiBytes(kUnlimited), AcceleratorCount(kUnlimited),
            SlotCount(kUnlimited)};
  }
  double Weight(const CustomerId& customer) const override {
    const auto it = weights.find(customer);
    return it != weights.end() ? it->second : 1.0;
  }

  std::map<CustomerId, double> weights;
};

// Builds a resource vector from whole cores, GiB of memory and accelerators, without slots.
inline Resources MakeCapacity(int64_t cores, int64_t gib, int64_t accelerators) {
  return {MilliCores(cores * 1000), MebiBytes(gib * 1024), AcceleratorCount(accelerators),
          SlotCount(0)};
}

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_BENCH_LIMITS_H_
