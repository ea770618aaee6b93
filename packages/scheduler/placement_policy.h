#ifndef POMELOTRAY_SCHEDULER_PLACEMENT_POLICY_H_
#define POMELOTRAY_SCHEDULER_PLACEMENT_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/functional/function_ref.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "model/job.h"

namespace pomelotray {

class WorkerIndex;
// Position of a worker in the WorkerIndex.
using WorkerSlot = uint32_t;

// Describes the task to place.
struct PlacementQuery {
  Resources demand;
  JobKind kind = JobKind::kBatch;
  // Returns false for workers that must not run this task, for example quarantined or reserved
  // ones.
  absl::FunctionRef<bool(WorkerSlot)> allowed;
  // The number of tasks of the same job in a rack and on a worker, used to spread services.
  absl::FunctionRef<int64_t(const RackId&)> tasks_in_rack;
  absl::FunctionRef<int64_t(WorkerSlot)> tasks_on_worker;
};

// Chooses the worker for one task. Choose() returns a worker whenever an allowed one has room.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::optional<WorkerSlot> Choose(const WorkerIndex& index,
                                           const PlacementQuery& query) = 0;
};

// Spreads services over racks and packs other tasks while avoiding stranded accelerators.
std::unique_ptr<PlacementPolicy> MakePackingPolicy();
// Simple policies that the packing policy is compared with.
std::unique_ptr<PlacementPolicy> MakeRandomPolicy(uint64_t seed);
std::unique_ptr<PlacementPolicy> MakeFirstFitPolicy();
std::unique_ptr<PlacementPolicy> MakeLeastLoadedPolicy();
// Returns null for an unknown name: "packing", "random", "first-fit" or "least-loaded".
std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name, uint64_t seed);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PLACEMENT_POLICY_H_
