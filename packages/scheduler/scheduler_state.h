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

// The parts of a ShardScheduler, shared by the classes that implement its calls.
class SchedulerState {
 public:
  SchedulerState(const Clock* clock, const LimitSource* limits,
                 std::unique_ptr<QueuePolicy> queue_policy,
                 std::unique_ptr<PlacementPolicy> placement_policy, uint64_t seed);

  // Takes a task of the job from the queue, if it is there, and gives it room on the worker.
  void Reserve(QueuedJob* job, const TaskId& task, WorkerSlot slot, absl::Time since);
  // Ends a reservation in the index, the ledger and the plans, but not in the queue. False when
  // the task has none.
  bool Unreserve(const TaskId& task);
  // A worker that changed can no longer be counted on by the job that it is drained for.
  void WorkerChanged(WorkerSlot slot);
  // True when workers are drained for the job.
  bool IsDrainedFor(const JobId& job) const { return DrainOf(job) != nullptr; }
  const DrainReservation* DrainOf(const JobId& job) const;
  // True when no drain of another job keeps a task that ends at `expected_end` from the worker.
  bool DrainsAllow(const JobId& job, WorkerSlot slot, absl::Time expected_end) const;
  // Urgent work may take the room drained for a gang or an aged job, but not a fair drain's: on a
  // small pool, stopping other work in its stead cost more than the wait for the next drain.
  bool FairDrainsAllow(const JobId& job, WorkerSlot slot, absl::Time expected_end) const;
  void ClearDrainsOf(const JobId& job);
  // Must be called whenever room may have become free in another way.
  void RoomChanged() { failed_shapes.Clear(); }

  absl::Duration TypicalRunTime(const JobSpec& spec) const;
  // Expected cost of one task in seconds of the whole shard.
  double TaskWork(const JobSpec& spec) const;

  const Clock* clock;
  const LimitSource* limits;
  std::unique_ptr<QueuePolicy> queue_policy;
  std::unique_ptr<PlacementPolicy> placement_policy;
  WorkerIndex index;
  ReservationLedger ledger;
  JobQueue queue;
  RunTimeEstimator estimator;
  WorkerHealth health;
  // For the oldest gang or aged job.
  DrainReservation drain;
  // For jobs of underserved customers.
  std::vector<DrainReservation> fair_drains;
  PreemptionPlanner preemptions;
  FailedShapes failed_shapes;
  // When an aged job, and a job of an underserved customer, last got a reservation.
  absl::Time last_aged_drain;
  absl::Time last_fair_drain;
  uint64_t round = 0;
  mutable std::mt19937_64 jitter;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SCHEDULER_STATE_H_
