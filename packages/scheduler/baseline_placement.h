#ifndef POMELOTRAY_SCHEDULER_BASELINE_PLACEMENT_H_
#define POMELOTRAY_SCHEDULER_BASELINE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

#include "scheduler/placement_policy.h"

namespace pomelotray {

// The first worker that fits, counted from a random one.
class RandomPlacement : public PlacementPolicy {
 public:
  explicit RandomPlacement(uint64_t seed) : generator_(seed) {}
  std::string_view Name() const override { return "random"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;

 private:
  std::mt19937_64 generator_;
};

// The first worker that fits, in the order in which workers became known.
class FirstFitPlacement : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "first-fit"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;
};

// The worker with the lowest dominant share reserved.
class LeastLoadedPlacement : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "least-loaded"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_BASELINE_PLACEMENT_H_
