#ifndef POMELOTRAY_SCHEDULER_SCHEDULER_STATE_H_
#define POMELOTRAY_SCHEDULER_SCHEDULER_STATE_H_

#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "scheduler/drain_reservation.h"
#include "scheduler/failed_shapes.h"
#include "scheduler/job_queue.h"
#include "scheduler/limit_source.h"
#include "scheduler/placement_policy.h"
#include "scheduler/preemption_planner.h"
#include "scheduler/queue_policy.h"
#include "scheduler/reservation_ledger.h"
#include "scheduler/run_time_estimator.h"
#include "scheduler/worker_health.h"
#include "scheduler/worker_index.h"

namespace pomelotray {

// State of a ShardScheduler, shared by the classes that implement its methods.
class SchedulerState {
 public:
  SchedulerState(const Clock* clock, const LimitSource* limits,
                 std::unique_ptr<QueuePolicy> queue_policy,
                 std::unique_ptr<PlacementPolicy> placement_policy, uint64_t seed);

  // Reserves capacity on the worker for a task of the job and dequeues the task if it is queued.
  void Reserve(QueuedJob* job, const TaskId& task, WorkerSlot slot, absl::Time since);
  // Ends the task's reservation in the worker index, the ledger and the preemption planner, but not
  // in the job queue. Returns false if the task has no reservation.
  bool Unreserve(const TaskId& task);
  // Drops the drain reservations that include the worker, because its new state may not match their
  // plans.
  void WorkerChanged(WorkerSlot slot);
  // Returns true if workers are drained for the job.
  bool IsDrainedFor(const JobId& job) const { return DrainOf(job) != nullptr; }
  // Returns the job's drain reservation, or null if it has none.
  const DrainReservation* DrainOf(const JobId& job) const;
  // Returns true if no drain for another job excludes a task that ends at `expected_end` from the
  // worker.
  bool DrainsAllow(const JobId& job, WorkerSlot slot, absl::Time expected_end) const;
  // Like DrainsAllow, but considers only `fair_drains`. Used for urgent work, which may take the
  // capacity drained for the oldest gang or aged job: on a small pool, preempting other tasks
  // instead cost more than letting that job wait for the next drain.
  bool FairDrainsAllow(const JobId& job, WorkerSlot slot, absl::Time expected_end) const;
  void ClearDrainsOf(const JobId& job);
  // Must be called whenever capacity may have become available to a job other than through the
  // functions above.
  void CapacityChanged() { failed_shapes.Clear(); }

  absl::Duration TypicalRunTime(const JobSpec& spec) const;
  // Expected cost of one task, in seconds of the whole shard's capacity.
  double TaskCost(const JobSpec& spec) const;

  const Clock* clock;
  const LimitSource* limits;
  std::unique_ptr<QueuePolicy> queue_policy;
  std::unique_ptr<PlacementPolicy> placement_policy;
  WorkerIndex index;
  ReservationLedger ledger;
  JobQueue queue;
  RunTimeEstimator estimator;
  WorkerHealth health;
  // Workers drained for the oldest gang, urgent job or aged job.
  DrainReservation oldest_job_drain;
  // Workers drained for jobs of underserved customers, called fair drains.
  std::vector<DrainReservation> fair_drains;
  PreemptionPlanner preemptions;
  FailedShapes failed_shapes;
  // Time of the last drain reservation for an aged job.
  absl::Time last_aged_drain;
  // Time of the last attempt to plan a fair drain.
  absl::Time last_fair_drain;
  // Number of calls of ShardScheduler::Schedule.
  uint64_t round = 0;
  // Random source for the jitter of retry_after.
  mutable std::mt19937_64 jitter;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SCHEDULER_STATE_H_
