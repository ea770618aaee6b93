#ifndef POMELOTRAY_SCHEDULER_SHARD_SCHEDULER_BUILDER_H_
#define POMELOTRAY_SCHEDULER_SHARD_SCHEDULER_BUILDER_H_

#include <cstdint>
#include <memory>

#include "base/clock.h"
#include "scheduler/limit_source.h"
#include "scheduler/placement_policy.h"
#include "scheduler/queue_policy.h"
#include "scheduler/shard_scheduler.h"

namespace pomelotray {

// Collects the parts of a ShardScheduler. Clock and limits are required and must outlive the
// scheduler; the policies default to fair share and packing.
class ShardSchedulerBuilder {
 public:
  ShardSchedulerBuilder& SetClock(const Clock* clock);
  ShardSchedulerBuilder& SetLimits(const LimitSource* limits);
  ShardSchedulerBuilder& SetQueuePolicy(std::unique_ptr<QueuePolicy> policy);
  ShardSchedulerBuilder& SetPlacementPolicy(std::unique_ptr<PlacementPolicy> policy);
  // Seed of the jitter of retry_after.
  ShardSchedulerBuilder& SetSeed(uint64_t seed);

  std::unique_ptr<ShardScheduler> Build();

 private:
  const Clock* clock_ = nullptr;
  const LimitSource* limits_ = nullptr;
  std::unique_ptr<QueuePolicy> queue_policy_;
  std::unique_ptr<PlacementPolicy> placement_policy_;
  uint64_t seed_ = 1;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SHARD_SCHEDULER_BUILDER_H_
