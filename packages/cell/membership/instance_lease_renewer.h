#ifndef POMELOTRAY_CELL_MEMBERSHIP_INSTANCE_LEASE_RENEWER_H_
#define POMELOTRAY_CELL_MEMBERSHIP_INSTANCE_LEASE_RENEWER_H_

#include <optional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Renews a store lease with overlapping calls. A store that stops responding loses every call that
// is sent to it until it is back, and each lost call blocks for the store client's whole timeout.
// Another call is therefore sent at a fixed interval while earlier ones are unanswered, so that the
// first call after the store's return is answered at once. Thread-safe.
class InstanceLeaseRenewer {
 public:
  struct Renewal {
    // As for StorePort::KeepAlive.
    Outcome<void> outcome;
    // When the call that determined the outcome was sent.
    absl::Time sent;
  };

  InstanceLeaseRenewer(TransactionalStore* store, const Clock* clock);
  ~InstanceLeaseRenewer();

  // Returns as soon as the store has answered any call about this lease, including calls of an
  // earlier Renew(), or when a call that this Renew() sent has failed. At most one thread may call
  // Renew() at a time.
  Renewal Renew(const StoreLeaseId& lease);
  // Makes a Renew() in progress return with kUnavailable and waits for the calls to end.
  void Stop();

 private:
  void SendCalls();
  // Takes note of the outcome of a call that was sent at `sent`.
  void Finish(const StoreLeaseId& lease, absl::Time sent, const Outcome<void>& outcome)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  TransactionalStore* const store_;
  const Clock* const clock_;
  absl::Mutex mutex_;
  // Signalled when a call is requested, has ended, or Stop() was called.
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // The lease of the Renew() in progress and the time of its begin.
  std::optional<StoreLeaseId> lease_ ABSL_GUARDED_BY(mutex_);
  absl::Time began_ ABSL_GUARDED_BY(mutex_);
  // Set by Renew() and cleared by the thread that sends the call.
  bool call_requested_ ABSL_GUARDED_BY(mutex_) = false;
  std::optional<Renewal> result_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_INSTANCE_LEASE_RENEWER_H_
