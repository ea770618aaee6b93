#ifndef POMELOTRAY_SCHEDULER_DRAIN_RESERVATION_H_
#define POMELOTRAY_SCHEDULER_DRAIN_RESERVATION_H_

#include <cstdint>

#include "absl/container/flat_hash_set.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "scheduler/placement_policy.h"

namespace pomelotray {

class ReservationLedger;
class WorkerIndex;

// Set of workers that are drained for one waiting job. Tasks of other jobs may be backfilled on
// these workers only if they are expected to end by `start`. The start time is fixed when the
// reservation is made. After it has passed, no other task is placed on these workers, so the job
// waits at most for the tasks that are still running there.
class DrainReservation {
 public:
  struct Request {
    JobId job;
    Resources demand;
    // Number of tasks that must fit at the same time.
    int64_t count = 1;
    absl::Time now;
    // Returns false for workers that the job must not use.
    absl::FunctionRef<bool(WorkerSlot)> usable;
  };

  // Reserves the workers on which the job can start earliest. Returns false if the job would not
  // fit even after all running tasks with an expected end have ended.
  bool Plan(const Request& request, const WorkerIndex& index, const ReservationLedger& ledger);
  // Returns true if the reserved workers are still expected to have enough free capacity for the
  // job at some time.
  bool CanStillStart(const Request& request, const WorkerIndex& index,
                     const ReservationLedger& ledger) const;
  void Clear();

  bool active() const { return !job_.empty(); }
  const JobId& job() const { return job_; }
  absl::Time start() const { return start_; }
  bool Contains(WorkerSlot slot) const { return workers_.contains(slot); }
  // Returns true if a task of another job that ends at `expected_end` may be placed on the worker.
  bool AllowsBackfill(WorkerSlot slot, absl::Time expected_end) const {
    return !Contains(slot) || expected_end <= start_;
  }

 private:
  JobId job_;
  absl::Time start_;
  absl::flat_hash_set<WorkerSlot> workers_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_DRAIN_RESERVATION_H_
