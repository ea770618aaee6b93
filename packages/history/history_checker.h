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
  // The events that prove the violation, oldest first.
  std::vector<Event> events;
};

std::ostream& operator<<(std::ostream& out, const Violation& violation);

struct HistoryReport {
  std::vector<Violation> violations;
  // Messages about checks that the events cannot decide, because a process was killed or its events
  // are missing.
  std::vector<std::string> inconclusive;
};

// Upper limit on the resources held by a customer's running tasks, in force from a given time on.
struct CapInForce {
  CustomerId customer;
  absl::Time from;
  Resources hold;
};

// Checks recorded events against the invariants of docs/design.md.
//
// An event was recorded by the worker itself when its process equals its field `worker`, and by the
// executor itself when its process equals its field `executor`. These events are the ground truth.
// All other events are recorded by instances or callers and show only what these know. The rules,
// the events that they read and the fields that they need are:
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
//   start is compared with the largest cap that was in force during the settling time before it,
//   because lowering a cap does not end running tasks.
// - kForeignAnswer: an answer has the digest of another request's body, or the attempt of another
//   request. request_answered of instances and callers: request, digest, attempt (both
//   optional); executors' request_sent and request_answered: request, attempt, digest.
// - kSecondAnswer: one process answers, or one caller receives, the same request twice.
//   request_answered of instances and callers: request, kind (optional; distinguishes events of
//   callers from events of instances).
// - kRevisionWentBack: the contract revision in force on one process decreases without a restart of
//   the process. contract_in_force: customer, revision; process_started.
// - kNotOneFinalState: an accepted job has no final state at the end, or two different ones.
//   job_accepted: job; job_finished and job_cancelled: job, state. The same final state may be
//   recorded again after a takeover.
// - kStartOfJobNotRun: a task of a job started although a caller was told that the job did not run:
//   the job was refused after the start, refused before it and not accepted since, or has the final
//   state "expired" or the reason "not_run". job_refused and job_accepted: job; job_finished and
//   job_cancelled: job, state, reason; workers' task_started: job.
// - kStartAfterLeaving: a task start or request reaches a worker or executor after the grace period
//   that follows the announcement that the VM is leaving. Workers' worker_leaving: worker, boot;
//   task_started: boot; executors' request_sent: executor.
//
// Missing events are not violations. The end of a task on a killed worker is unknown: the task ran
// at least until the last event of that boot and had ended when the next boot started. A start on
// another worker between these two times is inconclusive. An instance that is killed can lose a
// job_accepted or job_finished event that it had not written yet. A job without a recorded
// acceptance is therefore not checked for its final state, and a final state that is reported as
// missing may have been lost with a killed process. An answer cannot be matched when there are no
// events of its executor. Hybrid times of processes that do not exchange timestamps are comparable
// only as far as their wall clocks agree.
class HistoryChecker {
 public:
  class Builder {
   public:
    Builder& AddCap(CapInForce cap) {
      caps_.push_back(std::move(cap));
      return *this;
    }
    // Sets the time within which a changed contract must be in force.
    Builder& SetSettlingTime(absl::Duration time) {
      settling_time_ = time;
      return *this;
    }
    // Sets how long after a VM announced that it is leaving it may still receive new work.
    Builder& SetLeavingGrace(absl::Duration grace) {
      leaving_grace_ = grace;
      return *this;
    }
    // Pass false when jobs may still be unfinished; missing final states are then inconclusive.
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

  // Checks all rules. `events` may be in any order and may contain duplicates.
  HistoryReport Check(std::vector<Event> events) const;

 private:
  explicit HistoryChecker(const Builder& builder) : settings_(builder) {}

  const Builder settings_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_HISTORY_CHECKER_H_
