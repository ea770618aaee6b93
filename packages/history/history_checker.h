#ifndef POMELOTRAY_HISTORY_HISTORY_CHECKER_H_
#define POMELOTRAY_HISTORY_HISTORY_CHECKER_H_

#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/event.h"
#include "base/resources.h"
#include "base/strong_id.h"

namespace pomelotray {

class HistoryIndex;

enum class HistoryRule {
  kStartedTwice,
  kTwoPlaces,
  kOverCapacity,
  kCapExceeded,
  kForeignAnswer,
  kSecondAnswer,
  kRevisionWentBack,
  kNotOneFinalState,
  kStartOfJobNotRun,
  kStartAfterLeaving,
};

std::string_view HistoryRuleName(HistoryRule rule);

struct Violation {
  HistoryRule rule;
  std::string message;
  // The events that show it, oldest first.
  std::vector<Event> events;
};

std::ostream& operator<<(std::ostream& out, const Violation& violation);

struct HistoryReport {
  std::vector<Violation> violations;
  // Sentences on what the events do not decide, because a process was killed or its events are
  // missing.
  std::vector<std::string> inconclusive;
};

// The most that a customer's running tasks may hold from a time on.
struct CapInForce {
  CustomerId customer;
  absl::Time from;
  Resources hold;
};

// Checks recorded events against the invariants of docs/design.md.
//
// An event is a worker's own (ground truth) when its process equals its field `worker`, and an
// executor's own when its process equals its field `executor`. All other events are views of
// instances or callers. Rules, the events they read and the fields they need:
//
// - kStartedTwice: a task that may not be repeated has two starts. Workers' task_started: task,
//   attempt, repeatable.
// - kTwoPlaces: two runs of one task overlap. Workers' task_started and task_ended: task, attempt,
//   boot; workers' process_started: boot.
// - kOverCapacity: a worker's reservations exceed its capacity. Workers' worker_reservation:
//   reserved, capacity, boot; workers' task_started and task_ended: attempt, boot, reserved,
//   capacity.
// - kCapExceeded: a start brings the running tasks of a customer above its cap. Workers'
//   task_started and task_ended: job, attempt, boot, reserved; job_accepted: job, customer. The
//   largest cap of the settling time before the start counts, because a lower cap ends no tasks.
// - kForeignAnswer: an answer carries the digest of another request's body, or the attempt of
//   another request. request_answered of instances and callers: request, digest, attempt (both
//   optional); executors' request_sent and request_answered: request, attempt, digest.
// - kSecondAnswer: one process answers, or one caller receives, the same request twice.
//   request_answered of instances and callers: request, kind (optional, tells a caller's events
//   from an instance's).
// - kRevisionWentBack: contract_in_force on one process since its process_started: customer,
//   revision.
// - kNotOneFinalState: an accepted job has no final state at the end, or two different ones.
//   job_accepted: job; job_finished and job_cancelled: job, state. The same final state may be
//   recorded again after a takeover.
// - kStartOfJobNotRun: a job has a start although a caller was told that it did not run: it was
//   refused after the start, refused before it and not accepted since, or has the final state
//   "expired" or the reason "not_run". job_refused and job_accepted: job; job_finished and
//   job_cancelled: job, state, reason; workers' task_started: job.
// - kStartAfterLeaving: a start or request reaches a worker or executor later than the grace after
//   it announced that it leaves. Workers' worker_leaving: worker, boot; task_started: boot;
//   executors' request_sent: executor.
//
// Missing events are no violations. The end of a task on a killed worker is unknown: it certainly
// ran until the last event of that boot and had ended when the next boot started. A start elsewhere
// between the two is inconclusive, not a violation. Events that a killed instance did not write
// hide a job_accepted or job_finished: a job without a recorded acceptance is not checked for its
// final state, and a missing final state can be the fault of the missing process. An answer without
// any events of its executor cannot be matched. Hybrid times of processes that exchange no stamps
// are comparable only as far as their wall clocks agree.
class HistoryChecker {
 public:
  class Builder {
   public:
    Builder& AddCap(CapInForce cap) {
      caps_.push_back(std::move(cap));
      return *this;
    }
    // Time until a changed contract must be in force.
    Builder& SetSettlingTime(absl::Duration time) {
      settling_time_ = time;
      return *this;
    }
    Builder& SetLeavingGrace(absl::Duration grace) {
      leaving_grace_ = grace;
      return *this;
    }
    // False while jobs may still be unfinished: missing final states are then inconclusive.
    Builder& SetComplete(bool complete) {
      complete_ = complete;
      return *this;
    }
    HistoryChecker Build() const { return HistoryChecker(*this); }

   private:
    friend class HistoryChecker;
    std::vector<CapInForce> caps_;
    absl::Duration settling_time_ = absl::Seconds(5);
    absl::Duration leaving_grace_ = absl::Seconds(5);
    bool complete_ = true;
  };

  // `events` may be in any order and may hold duplicates.
  HistoryReport Check(std::vector<Event> events) const;

 private:
  explicit HistoryChecker(const Builder& builder) : settings_(builder) {}

  const Builder settings_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_HISTORY_CHECKER_H_
