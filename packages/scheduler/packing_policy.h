#ifndef POMELOTRAY_SCHEDULER_PACKING_POLICY_H_
#define POMELOTRAY_SCHEDULER_PACKING_POLICY_H_

#include <optional>
#include <string_view>

#include "scheduler/placement_policy.h"

namespace pomelotray {

// Spreads services over racks and workers; packs other work by PackingScore.
class PackingPolicy : public PlacementPolicy {
 public:
  std::string_view Name() const override { return "packing"; }
  std::optional<WorkerSlot> Choose(const WorkerIndex& index, const PlacementQuery& query) override;

 private:
  struct Best;

  void Consider(const WorkerIndex& index, const PlacementQuery& query, WorkerSlot slot,
                Best* best) const;
  // Looks at a bounded number of candidates, or at all of them when `exhaustive`.
  Best Search(const WorkerIndex& index, const PlacementQuery& query, bool exhaustive) const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PACKING_POLICY_H_
