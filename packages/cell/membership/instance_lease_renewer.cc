#include "cell/membership/instance_lease_renewer.h"

#include <utility>

namespace pomelotray {
namespace {

// Interval between calls while none is answered. It bounds how late the store's return is noticed.
constexpr absl::Duration kCallInterval = absl::Milliseconds(200);
// Calls that can be unanswered at a time. With the store client's timeout of 0.8 s, one thread is
// free for each interval.
constexpr size_t kMaxUnansweredCalls = 4;

bool IsAnswer(const Outcome<void>& outcome) {
  return outcome.ok() || outcome.error().kind == ErrorKind::kNotFound;
}

}  // namespace

InstanceLeaseRenewer::InstanceLeaseRenewer(TransactionalStore* store, const Clock* clock)
    : store_(store), clock_(clock) {
  threads_.reserve(kMaxUnansweredCalls);
  for (size_t i = 0; i < kMaxUnansweredCalls; ++i) {
    threads_.emplace_back([this] { SendCalls(); });
  }
}

InstanceLeaseRenewer::~InstanceLeaseRenewer() { Stop(); }

void InstanceLeaseRenewer::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

InstanceLeaseRenewer::Renewal InstanceLeaseRenewer::Renew(const StoreLeaseId& lease) {
  absl::MutexLock lock(&mutex_);
  lease_ = lease;
  began_ = clock_->Now();
  result_.reset();
  while (!stopping_ && !result_.has_value()) {
    call_requested_ = true;
    changed_.SignalAll();
    const absl::Time next_call = clock_->Now() + kCallInterval;
    while (!stopping_ && !result_.has_value() && clock_->Now() < next_call) {
      clock_->WaitUntil(&changed_, &mutex_, next_call);
    }
  }
  call_requested_ = false;
  lease_.reset();
  if (!result_.has_value()) {
    return Renewal{Error{ErrorKind::kUnavailable, "The instance is stopping.", std::nullopt},
                   began_};
  }
  return *std::exchange(result_, std::nullopt);
}

void InstanceLeaseRenewer::SendCalls() {
  absl::MutexLock lock(&mutex_);
  for (;;) {
    while (!stopping_ && !(call_requested_ && lease_.has_value())) {
      changed_.Wait(&mutex_);
    }
    if (stopping_) {
      return;
    }
    call_requested_ = false;
    const StoreLeaseId lease = *lease_;
    const absl::Time sent = clock_->Now();
    mutex_.Unlock();
    const Outcome<void> outcome = Capture([&] { return store_->KeepAlive(lease); });
    mutex_.Lock();
    Finish(lease, sent, outcome);
  }
}

void InstanceLeaseRenewer::Finish(const StoreLeaseId& lease, absl::Time sent,
                                  const Outcome<void>& outcome) {
  // A failure of a call of an earlier Renew() says nothing about the store's present state.
  const bool relevant = lease_ == lease && (IsAnswer(outcome) || sent >= began_);
  if (relevant && !result_.has_value()) {
    result_ = Renewal{outcome, sent};
    changed_.SignalAll();
  }
}

}  // namespace pomelotray
