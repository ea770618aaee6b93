#ifndef POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_FIXTURE_H_
#define POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_FIXTURE_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/manual_clock.h"
#include "scheduler/shard_scheduler_builder.h"

namespace pomelotray {

inline Resources MakeResources(int64_t cores, int64_t gib, int64_t accelerators = 0) {
  return {MilliCores(cores * 1000), MebiBytes(gib * 1024), AcceleratorCount(accelerators),
          SlotCount(0)};
}

// Limits that tests set per customer. Other customers are unlimited and have weight 1.
class FakeLimits : public LimitSource {
 public:
  Resources ResourceLimit(const CustomerId& customer) const override {
    const auto it = hold.find(customer);
    return it != hold.end() ? it->second : kUnlimited;
  }
  double Weight(const CustomerId& customer) const override {
    const auto it = weight.find(customer);
    return it != weight.end() ? it->second : 1.0;
  }

  std::map<CustomerId, Resources> hold;
  std::map<CustomerId, double> weight;

 private:
  static constexpr int64_t kUnlimitedAmount = 1'000'000'000;
  const Resources kUnlimited = {MilliCores(kUnlimitedAmount), MebiBytes(kUnlimitedAmount),
                                AcceleratorCount(kUnlimitedAmount), SlotCount(kUnlimitedAmount)};
};

inline JobRecord MakeJob(const std::string& id, const std::string& customer,
                         const Resources& demand, int64_t tasks, absl::Time arrival) {
  JobRecord job;
  job.id = JobId(id);
  job.spec.customer = CustomerId(customer);
  job.spec.pool = PoolName("rendering");
  job.spec.demand = demand;
  job.spec.task_count = tasks;
  job.spec.expected_run = absl::Seconds(60);
  job.accepted_at = arrival;
  for (int64_t i = 0; i < tasks; ++i) {
    TaskStatus status;
    status.task = MakeTaskId(job.id, i);
    job.tasks.push_back(status);
  }
  return job;
}

// Provides a scheduler with a manual clock and configurable limits.
struct SchedulerFixture {
  explicit SchedulerFixture(std::unique_ptr<QueuePolicy> queue = nullptr,
                            std::unique_ptr<PlacementPolicy> placement = nullptr) {
    ShardSchedulerBuilder builder;
    builder.SetClock(&clock).SetLimits(&limits).SetSeed(7);
    builder.SetQueuePolicy(std::move(queue)).SetPlacementPolicy(std::move(placement));
    scheduler = builder.Build();
  }

  void AddWorker(const std::string& id, const Resources& capacity, const std::string& rack = "r1") {
    scheduler->UpsertWorker({WorkerId(id), RackId(rack), capacity});
  }
  JobRecord Job(const std::string& id, const std::string& customer, const Resources& demand,
                int64_t tasks = 1) const {
    return MakeJob(id, customer, demand, tasks, clock.Now());
  }
  // Formats each placement as "task@worker", separated by spaces.
  static std::string ToText(const ScheduleDecisions& round) {
    std::string text;
    for (const Placement& placement : round.placements) {
      absl::StrAppend(&text, text.empty() ? "" : " ", placement.task.value(), "@",
                      placement.worker.value());
    }
    return text;
  }
  std::string Schedule() { return ToText(scheduler->Schedule(1000)); }

  ManualClock clock;
  FakeLimits limits;
  std::unique_ptr<ShardScheduler> scheduler;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_FIXTURE_H_
