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

// Workers that are drained for one waiting job. Other tasks may use them only when they are
// expected to end before `start`. The start is fixed when the reservation is made: once it has
// passed nothing else is placed there, so the job waits at most for the tasks running then.
class DrainReservation {
 public:
  struct Request {
    JobId job;
    Resources demand;
    // Tasks that must fit at the same time.
    int64_t count = 1;
    absl::Time now;
    // False for workers that the job cannot use.
    absl::FunctionRef<bool(WorkerSlot)> usable;
  };

  // Reserves the workers on which the job can start earliest; false when running tasks without an
  // expected end leave too little.
  bool Plan(const Request& request, const WorkerIndex& index, const ReservationLedger& ledger);
  // True when the reserved workers are still expected to have room for the job at some time.
  bool CanStillStart(const Request& request, const WorkerIndex& index,
                     const ReservationLedger& ledger) const;
  void Clear();

  bool active() const { return !job_.empty(); }
  const JobId& job() const { return job_; }
  absl::Time start() const { return start_; }
  bool Contains(WorkerSlot slot) const { return workers_.contains(slot); }
  // True when another job's task that ends at `expected_end` may be placed on the worker.
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
