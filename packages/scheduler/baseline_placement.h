#ifndef POMELOTRAY_SCHEDULER_BASELINE_PLACEMENT_H_
#define POMELOTRAY_SCHEDULER_BASELINE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

#include "scheduler/placement_policy.h"

namespace pomelotray {

// Starts at a random worker and chooses the first one, in slot order, that has room for the task.
class RandomPlacement : public PlacementPolicy {
 public:
  explicit RandomPlacement(uint64_t seed) : generator_(seed) {}
  std::string_view Name() const override { return "random"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;

 private:
  std::mt19937_64 generator_;
};

// Chooses the first worker, in slot order, that has room for the task.
class FirstFitPlacement : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "first-fit"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;
};

// Chooses the worker with room for the task whose reserved dominant share is lowest.
class LeastLoadedPlacement : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "least-loaded"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_BASELINE_PLACEMENT_H_
