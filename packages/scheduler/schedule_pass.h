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

// One call of ShardScheduler::Schedule: urgent jobs first, then the job for which workers are
// drained, then the customers in the order of the queue policy.
class SchedulePass {
 public:
  SchedulePass(SchedulerState* state, int max_placements);

  ScheduleRound Run();

 private:
  enum class Attempt { kPlaced, kNoRoom, kOverLimit, kNoBudget };
  struct Terms {
    Resources hold_limit;
    double weight = 1;
  };

  const Terms& TermsOf(const CustomerId& customer);
  bool WithinLimit(const QueuedJob& job, int64_t tasks);
  TaskShape ShapeOf(const QueuedJob& job) const;
  bool ServedAsUrgent(const QueuedJob& job) const;
  bool MayUse(const QueuedJob& job, WorkerSlot slot, absl::Time expected_end) const;

  // Places one task, or all queued tasks of a gang.
  Attempt Place(QueuedJob* job);
  bool PlaceTogether(QueuedJob* job, int64_t count, absl::Time expected_end);
  bool HasRoomFor(const QueuedJob& job, int64_t count, absl::Time expected_end) const;

  void PlaceUrgent();
  // Keeps gangs that are being stopped from starting in part.
  void NotePreemptions();
  void PreemptFor(QueuedJob* job);
  void PlaceOnDrained(QueuedJob* job);
  bool IsStale(const DrainReservation& drain);
  void DropStaleDrains();
  // Drains workers for the oldest gang or aged job.
  void DrainForOldest();
  bool TryDrainForOldest(const QueuedJob& job);
  // Drains workers for the first job without room of the most underserved customer.
  void DrainForUnderserved();
  bool TryDrainFor(const QueuedJob& job, DrainReservation* drain);
  bool CanUseForDrain(const QueuedJob& job, WorkerSlot slot) const;
  // True when the customer stays within its part of what the waiting customers hold, even with
  // this job.
  bool IsUnderserved(const QueuedJob& job);
  void PlaceDrainHolders();
  void PlaceByCustomer();
  double RankOf(const CustomerId& customer, const QueuedJob& head);

  SchedulerState* state_;
  absl::Time now_;
  int64_t budget_;
  ScheduleRound result_;
  absl::flat_hash_map<CustomerId, Terms> terms_;
  // Jobs without room, in the order of the customers' ranks.
  std::vector<JobId> without_room_;
  bool ignore_drains_ = false;
  // Shapes of urgent work that find no room on drained workers either.
  FailedShapes failed_on_drained_;
  // Shapes for which nothing can be preempted.
  FailedShapes failed_preemptions_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SCHEDULE_PASS_H_
