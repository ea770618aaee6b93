#include "scheduler/shard_scheduler_builder.h"

#include <utility>

#include "scheduler/scheduler_state.h"

namespace pomelotray {

ShardSchedulerBuilder& ShardSchedulerBuilder::SetClock(const Clock* clock) {
  clock_ = clock;
  return *this;
}

ShardSchedulerBuilder& ShardSchedulerBuilder::SetLimits(const LimitSource* limits) {
  limits_ = limits;
  return *this;
}

ShardSchedulerBuilder& ShardSchedulerBuilder::SetQueuePolicy(std::unique_ptr<QueuePolicy> policy) {
  queue_policy_ = std::move(policy);
  return *this;
}

ShardSchedulerBuilder& ShardSchedulerBuilder::SetPlacementPolicy(
    std::unique_ptr<PlacementPolicy> policy) {
  placement_policy_ = std::move(policy);
  return *this;
}

ShardSchedulerBuilder& ShardSchedulerBuilder::SetSeed(uint64_t seed) {
  seed_ = seed;
  return *this;
}

std::unique_ptr<ShardScheduler> ShardSchedulerBuilder::Build() {
  if (queue_policy_ == nullptr) {
    queue_policy_ = MakeFairSharePolicy();
  }
  if (placement_policy_ == nullptr) {
    placement_policy_ = MakePackingPolicy();
  }
  return std::make_unique<ShardScheduler>(std::make_unique<SchedulerState>(
      clock_, limits_, std::move(queue_policy_), std::move(placement_policy_), seed_));
}

}  // namespace pomelotray
