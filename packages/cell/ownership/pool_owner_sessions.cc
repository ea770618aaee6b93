// The part of PoolOwner that implements WorkerSessionListener.

#include "cell/ownership/pool_owner.h"

namespace pomelotray {
namespace {

// How long a worker waits for the end of an attempt before it answers a hold. This also bounds the
// age of its last report.
constexpr absl::Duration kHoldWait = absl::Milliseconds(1000);
// The same while the roster has to be stored before the lease is extended, which takes a few
// milliseconds.
constexpr absl::Duration kHoldWaitBeforeExtension = absl::Milliseconds(50);

}  // namespace

bool PoolOwner::MaySendOrders() const {
  if (!context_.membership->ContactedStoreRecently()) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  return !halted_ && !finishing_;
}

std::optional<HoldOrder> PoolOwner::PrepareHold(const WorkerId& id, bool wait_expired) {
  absl::MutexLock lock(&mutex_);
  // Ends that are not stored cannot be acknowledged, and the worker answers a hold at once while it
  // has an unacknowledged end. Waiting avoids a rapid series of such holds.
  if (!wait_expired && scheduler_.HasUnacknowledgedEnds(id)) {
    return std::nullopt;
  }
  HoldOrder order;
  order.token = token();
  order.acknowledged = scheduler_.AcknowledgedEnd(id);
  const std::optional<WorkerTime> lease_end =
      context_.membership->MayStartTasks() ? scheduler_.ExtendLease(id, context_.clock->Now())
                                           : std::nullopt;
  order.lease_end = lease_end.value_or(WorkerTime(0));
  // A worker that has not reported since its last failure is asked to answer at once, and one whose
  // lease is to be extended again soon.
  if (scheduler_.NeedsRosterToExtendLease(id)) {
    order.wait = kHoldWaitBeforeExtension;
  } else {
    order.wait = scheduler_.IsTrusted(id) ? kHoldWait : absl::ZeroDuration();
  }
  return order;
}

void PoolOwner::HoldAnswered(const WorkerId& id, const Outcome<HoldAnswer>& answer, absl::Time sent,
                             absl::Time received) {
  const bool accepted = answer.ok() && answer.value().answer == OrderAnswer::kAccepted;
  {
    absl::MutexLock lock(&mutex_);
    if (halted_) {
      return;
    }
    if (accepted) {
      scheduler_.ApplyReport(id, answer.value().report, sent, received);
      if (scheduler_.NeedsRosterToExtendLease(id)) {
        roster_requested_ = true;
        roster_needed_.Signal();
      }
    } else if (answer.ok() && answer.value().answer == OrderAnswer::kWrongWorker) {
      scheduler_.WorkerReplaced(id, received);
    } else {
      scheduler_.HoldFailed(id, received);
    }
    Wake();
  }
  if (answer.ok() && answer.value().answer == OrderAnswer::kFenced) {
    ReportClaimLost("A worker refused an order because it has seen a newer owner of the part.");
  }
}

std::optional<WorkerTime> PoolOwner::PrepareStart(const WorkerId& id, const AttemptKey& key) {
  absl::MutexLock lock(&mutex_);
  if (halted_ || !context_.membership->MayStartTasks()) {
    return std::nullopt;
  }
  return scheduler_.PrepareStart(id, key, context_.clock->Now());
}

void PoolOwner::StopChecked(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                            absl::Time sent) {
  absl::MutexLock lock(&mutex_);
  if (!halted_ && scheduler_.ResolveStoppedAttempt(id, key, report, sent, context_.clock->Now())) {
    Wake();
  }
}

void PoolOwner::OrderAnswered(const WorkerId& id, const WorkerOrder& order,
                              const OrderOutcome& outcome) {
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = context_.clock->Now();
    if (order.kind == WorkerOrder::Kind::kStart) {
      scheduler_.StartFinished(id, order.key, outcome, now);
    } else {
      scheduler_.StopFinished(id, order.key, outcome, now);
    }
    if (outcome.answer != OrderAnswer::kAccepted) {
      Wake();
    }
  }
  if (outcome.answer == OrderAnswer::kFenced) {
    ReportClaimLost("A worker refused an order because it has seen a newer owner of the part.");
  }
}

}  // namespace pomelotray
