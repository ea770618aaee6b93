#ifndef POMELOTRAY_CELL_PLACEMENT_START_URGENCY_H_
#define POMELOTRAY_CELL_PLACEMENT_START_URGENCY_H_

#include "absl/time/time.h"
#include "cell/cell_job.h"

namespace pomelotray {

// A rule of the scheduling round that keeps a waiting long-running task from a worker that has, or
// will have, capacity for it.
enum class WithholdingRule {
  // Steps start in the order of priority and objective, so a step may find no capacity that is
  // left.
  kOrder,
  // The worker is reserved for another task.
  kReservation,
  // The worker is isolated for a task that is suspected of crashing its workers.
  kIsolation,
  // The waiting task itself is suspected, and the worker runs attempts of other jobs.
  kSuspicion,
  // The same, and one of these attempts was started lately, so that a crash would not show which
  // task causes it.
  kSuspicionAmongRecentStarts,
};

// Bounds the time for which a long-running task waits while a worker that may run it has capacity.
//
// Each rule gives way once the task has waited for some time, so that the task starts within
// kMaxWait after its owner learned that it has to run. That leaves one question to the adviser, by
// which the expired ticket for the chosen worker is renewed.
//
// The rules and the lease of a lost worker share one budget: no rule delays a task any more whose
// last run ended kRulesBudget ago. So the restart after a lease needs only the adviser's answer and
// the start order, whoever owned the pool meanwhile.
//
// - Order: after 0.5 s, or 1 s before the first start. A task takes its capacity once, and later
//   steps take the rest.
// - Reservation: after 0.5 s, or 2 s before the first start, since new tasks could keep large ones
//   waiting. Reserved workers are used last, and only while they have room.
// - Isolation: after 1 s, or 2 s before the first start. Isolated workers are used last. A crash
//   there still counts against the suspect, which is given up one crash later.
// - Suspicion: after 1 s, and 1.5 s on workers with recent starts, where a task that does crash its
//   workers is given up later. The worker with the least work at stake is chosen, and no other job
//   joins until the task has proved harmless, as far as workers may be isolated.
//
// The other rules never give way, since more than a delay depends on them: capacity, labels, the
// limit of tasks per worker, tickets, leases of earlier attempts, quarantine and the delay of tasks
// that end as soon as they start.
class StartUrgency {
 public:
  // Longest wait beside a worker with capacity.
  static constexpr absl::Duration kMaxWait = absl::Seconds(3);
  // Time from the end of the last run in which rules may delay the next one: the longest lease.
  static constexpr absl::Duration kRulesBudget = absl::Milliseconds(6500);

  // The urgency of a task at `now`. Tasks that end by themselves are never urgent.
  StartUrgency(const StepSpec& step, const CellTask& task, absl::Time now);

  // Whether the task has waited for so long that the rule does not apply to it.
  bool Overrides(WithholdingRule rule) const;
  // When the wait began; the infinite future if the task is not long-running or does not wait.
  absl::Time waiting_since() const { return waiting_since_; }

 private:
  absl::Time waiting_since_;
  absl::Duration waited_;
  // The task has been started before.
  bool restart_;
  bool out_of_budget_;
};

// Returns the beginning of the longest wait among the run's waiting tasks that override the order
// of steps, or the infinite future if there is none.
absl::Time UrgentSince(const StepSpec& step, const StepRun& run, absl::Time now);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_START_URGENCY_H_
