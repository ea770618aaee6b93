#ifndef POMELOTRAY_SCHEDULER_SCHEDULE_PASS_H_
#define POMELOTRAY_SCHEDULER_SCHEDULE_PASS_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "scheduler/failed_shapes.h"
#include "scheduler/schedule_types.h"
#include "scheduler/scheduler_state.h"

namespace pomelotray {

// Implements one call of ShardScheduler::Schedule. Places urgent jobs first, then the jobs for
// which workers are drained, then the other jobs by customer in the order of the queue policy.
class SchedulePass {
 public:
  SchedulePass(SchedulerState* state, int max_placements);

  ScheduleDecisions Run();

 private:
  enum class Attempt { kPlaced, kNoCapacity, kOverLimit, kNoBudget };
  // Resource limit and weight of a customer, cached for this pass.
  struct CustomerLimits {
    Resources hold_limit;
    double weight = 1;
  };

  const CustomerLimits& LimitsOf(const CustomerId& customer);
  // Returns true if `tasks` more tasks keep the job's customer within its resource limit.
  bool WithinLimit(const QueuedJob& job, int64_t tasks);
  TaskShape ShapeOf(const QueuedJob& job) const;
  bool ServedAsUrgent(const QueuedJob& job) const;
  // Returns true if earmarks, quarantine and drains allow the job on the worker.
  bool MayUse(const QueuedJob& job, WorkerSlot slot, absl::Time expected_end) const;

  // Places one task, or all queued tasks of a gang.
  Attempt Place(QueuedJob* job);
  // Places `count` tasks; if not all of them fit, places none.
  bool PlaceTogether(QueuedJob* job, int64_t count, absl::Time expected_end);
  bool HasCapacityFor(const QueuedJob& job, int64_t count, absl::Time expected_end) const;

  void PlaceUrgent();
  // Marks the tasks preempted in this pass as stopping, so that no gang among them is placed before
  // all of its tasks have stopped.
  void MarkPreemptedTasks();
  // Plans preemptions for the urgent job's ready tasks; places them on drained workers if nothing
  // can be preempted.
  void PreemptFor(QueuedJob* job);
  // Places the urgent job on workers that are drained for underserved customers.
  void PlaceOnDrained(QueuedJob* job);
  // Returns true if the drain's job no longer waits, would exceed its customer's limit, or is
  // overdue and can no longer be expected to start on the drained workers.
  bool IsStale(const DrainReservation& drain);
  void DropStaleDrains();
  // Drains workers for the oldest gang, urgent job or aged job.
  void DrainForOldest();
  bool TryDrainForOldest(const QueuedJob& job);
  // Drains workers for the first unplaced job, in the order of customer ranks, whose customer is
  // underserved.
  void DrainForUnderserved();
  bool TryDrainFor(const QueuedJob& job, DrainReservation* drain);
  bool CanUseForDrain(const QueuedJob& job, WorkerSlot slot) const;
  // Returns true if the job's customer, even with this job placed, holds at most its share by
  // weight of the capacity held by all customers with waiting jobs.
  bool IsUnderserved(const QueuedJob& job);
  // Places the jobs for which workers are drained.
  void PlaceDrainHolders();
  // Places the waiting non-urgent jobs, always from the customer with the lowest rank.
  void PlaceByCustomer();
  double RankOf(const CustomerId& customer, const QueuedJob& head);

  SchedulerState* state_;
  absl::Time now_;
  // Number of tasks that may still be placed in this pass.
  int64_t budget_;
  ScheduleDecisions result_;
  absl::flat_hash_map<CustomerId, CustomerLimits> customer_limits_;
  // Jobs that could not be placed for lack of capacity, in the order of their customers' ranks.
  std::vector<JobId> unplaced_jobs_;
  // Lets urgent jobs use workers drained for underserved customers.
  bool ignore_fair_drains_ = false;
  // Shapes of urgent jobs that cannot be placed even on drained workers.
  FailedShapes failed_on_drained_;
  // Shapes of urgent jobs for which preemption cannot free enough capacity.
  FailedShapes failed_preemptions_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SCHEDULE_PASS_H_
