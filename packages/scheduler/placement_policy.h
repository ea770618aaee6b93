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

struct PlacementQuery {
  Resources demand;
  JobKind kind = JobKind::kBatch;
  // False for workers that must not take this task, for example quarantined or reserved ones.
  absl::FunctionRef<bool(WorkerSlot)> allowed;
  // Number of the job's tasks in a rack and on a worker, for spreading services.
  absl::FunctionRef<int64_t(const RackId&)> tasks_in_rack;
  absl::FunctionRef<int64_t(WorkerSlot)> tasks_on_worker;
};

// Picks the worker for one task. Finds a worker whenever one exists.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::optional<WorkerSlot> Choose(const WorkerIndex& index,
                                           const PlacementQuery& query) = 0;
};

// Services are spread over racks, other work is packed without stranding accelerators.
std::unique_ptr<PlacementPolicy> MakePackingPolicy();
// Baselines.
std::unique_ptr<PlacementPolicy> MakeRandomPolicy(uint64_t seed);
std::unique_ptr<PlacementPolicy> MakeFirstFitPolicy();
std::unique_ptr<PlacementPolicy> MakeLeastLoadedPolicy();
// Returns null for an unknown name: "packing", "random", "first-fit" or "least-loaded".
std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name, uint64_t seed);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PLACEMENT_POLICY_H_
