#ifndef POMELOTRAY_BENCH_BENCH_LIMITS_H_
#define POMELOTRAY_BENCH_BENCH_LIMITS_H_

#include <map>

#include "scheduler/limit_source.h"

namespace pomelotray {

// Unlimited holds and fixed weights.
class BenchLimits : public LimitSource {
 public:
  Resources ResourceLimit(const CustomerId&) const override {
    constexpr int64_t kMany = 1'000'000'000'000;
    return {MilliCores(kMany), MebiBytes(kMany), AcceleratorCount(kMany), SlotCount(kMany)};
  }
  double Weight(const CustomerId& customer) const override {
    const auto it = weights.find(customer);
    return it != weights.end() ? it->second : 1.0;
  }

  std::map<CustomerId, double> weights;
};

inline Resources MakeCapacity(int64_t cores, int64_t gib, int64_t accelerators) {
  return {MilliCores(cores * 1000), MebiBytes(gib * 1024), AcceleratorCount(accelerators),
          SlotCount(0)};
}

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_BENCH_LIMITS_H_
