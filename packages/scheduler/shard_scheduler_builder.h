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

// Builds a ShardScheduler. The clock and the limits are required and must outlive the scheduler.
// The default queue policy is fair share, the default placement policy is packing.
class ShardSchedulerBuilder {
 public:
  ShardSchedulerBuilder& SetClock(const Clock* clock);
  ShardSchedulerBuilder& SetLimits(const LimitSource* limits);
  ShardSchedulerBuilder& SetQueuePolicy(std::unique_ptr<QueuePolicy> policy);
  ShardSchedulerBuilder& SetPlacementPolicy(std::unique_ptr<PlacementPolicy> policy);
  // Sets the random seed for the jitter of retry_after.
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
