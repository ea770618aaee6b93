// What the sessions with the workers ask of their owner and tell it.

#include "cell/pool_owner.h"

namespace pomelotray {
namespace {

// How long a worker waits for an end before it answers a hold; also the age of a report.
constexpr absl::Duration kHoldWait = absl::Milliseconds(1000);

}  // namespace

bool PoolOwner::MayOrder() const {
  if (!context_.membership->CheckedRecently()) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  return !halted_ && !finishing_;
}

std::optional<HoldOrder> PoolOwner::NextHold(const WorkerId& id, bool wait_over) {
  absl::MutexLock lock(&mutex_);
  // Ends that are not stored cannot be acknowledged, and the worker would answer at once again.
  if (!wait_over && scheduler_.HasUnacknowledged(id)) {
    return std::nullopt;
  }
  HoldOrder order;
  order.token = token();
  order.acknowledged = scheduler_.Acknowledged(id);
  const std::optional<WorkerTime> lease_end =
      context_.membership->MayStart() ? scheduler_.ExtendLease(id, context_.clock->Now())
                                      : std::nullopt;
  order.lease_end = lease_end.value_or(WorkerTime(0));
  // A worker that is not known well answers at once.
  order.wait = scheduler_.IsTrusted(id) ? kHoldWait : absl::ZeroDuration();
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
    } else if (answer.ok() && answer.value().answer == OrderAnswer::kWrongWorker) {
      scheduler_.WorkerReplaced(id, received);
    } else {
      scheduler_.HoldFailed(id, received);
    }
    Wake();
  }
  if (answer.ok() && answer.value().answer == OrderAnswer::kFenced) {
    Depose("a worker has seen a newer owner");
  }
}

std::optional<WorkerTime> PoolOwner::PrepareStart(const WorkerId& id, const AttemptKey& key) {
  absl::MutexLock lock(&mutex_);
  if (halted_ || !context_.membership->MayStart()) {
    return std::nullopt;
  }
  return scheduler_.PrepareStart(id, key, context_.clock->Now());
}

void PoolOwner::StopChecked(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                            absl::Time sent) {
  absl::MutexLock lock(&mutex_);
  if (!halted_ && scheduler_.StopChecked(id, key, report, sent)) {
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
    Depose("a worker has seen a newer owner");
  }
}

}  // namespace pomelotray
