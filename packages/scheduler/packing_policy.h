#ifndef POMELOTRAY_SCHEDULER_PACKING_POLICY_H_
#define POMELOTRAY_SCHEDULER_PACKING_POLICY_H_

#include <optional>
#include <string_view>

#include "scheduler/placement_policy.h"

namespace pomelotray {

// Spreads the tasks of a service over racks and workers, and places other tasks on the worker with
// the lowest PackingScore.
class PackingPolicy : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "packing"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;

 private:
  struct BestCandidate;

  // Replaces `best` by `slot` when the slot is allowed and ranks lower.
  void Evaluate(const WorkerIndex& index, const PlacementQuery& query, WorkerSlot slot,
                BestCandidate* best) const;
  // Returns the best of a bounded number of candidates, or of all when `exhaustive` is true.
  BestCandidate FindBest(const WorkerIndex& index, const PlacementQuery& query,
                         bool exhaustive) const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PACKING_POLICY_H_
