#ifndef POMELOTRAY_SCHEDULER_REQUEST_DISPATCHER_H_
#define POMELOTRAY_SCHEDULER_REQUEST_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "scheduler/executor_pool.h"
#include "scheduler/limit_source.h"
#include "scheduler/request_queue.h"
#include "scheduler/retry_budget.h"

namespace pomelotray {

// A request and the executor chosen for it.
struct Assignment {
  RequestId request;
  ExecutorId executor;
};

// Queues the interactive requests of one shard and assigns them to executors. Performs no I/O.
// Thread-compatible. A request is queued, assigned or unknown; Complete and Abandon make it
// unknown. New assignments never raise the slots in use above the slot capacity of an executor, nor
// the assigned requests above its maximum number of connections.
class RequestDispatcher {
 public:
  // `clock` and `limits` must outlive the dispatcher. ResourceLimit().slots limits the number of
  // assigned requests of a customer.
  RequestDispatcher(const Clock* clock, const LimitSource* limits, uint64_t seed);
  RequestDispatcher(const RequestDispatcher&) = delete;
  RequestDispatcher& operator=(const RequestDispatcher&) = delete;

  // `capacity.slots` is the number of requests that the executor processes concurrently.
  void UpsertExecutor(const ExecutorId& executor, const Resources& capacity,
                      int64_t max_connections);
  void SetAvailable(const ExecutorId& executor, bool available);
  // Requests assigned to the executor stay assigned until Complete or Abandon.
  void RemoveExecutor(const ExecutorId& executor);
  // Sets the number of slots still in use by requests that a previous owner of the shard assigned.
  void SetBusySlots(const ExecutorId& executor, int64_t busy_slots);

  // Fails with kDeadlineUnmeetable when the request is not expected to be answered by its deadline,
  // with kOverloaded when no executor is usable or the queue is full, both with a jittered
  // retry_after, and with kConflict when the request is already queued or assigned.
  Result<void> Enqueue(const RequestId& request, const CustomerId& customer, absl::Time deadline);
  // Assigns queued requests to free slots, in weighted fair order over the customers.
  std::vector<Assignment> Dispatch();
  // Frees the slot of an assigned request and records its service time and outcome.
  void Complete(const RequestId& request, absl::Duration service_time, bool ok);
  // Removes a queued request, or frees the slot of an assigned one. The executor must no longer be
  // processing the request.
  void Abandon(const RequestId& request);
  // Removes and returns the queued requests that are no longer expected to be answered by their
  // deadline, for the caller to refuse.
  std::vector<RequestId> TakeUnmeetable();

  // The expected time in the queue of a new request of this customer; infinite when it cannot be
  // assigned at all.
  absl::Duration ExpectedWait(const CustomerId& customer) const;
  // Returns a jittered retry delay, so that refused callers do not retry at the same time.
  absl::Duration RetryAfter(const CustomerId& customer) const;
  // Consumes one retry of the customer's budget and returns true, or returns false if none is left.
  bool TryConsumeRetry(const CustomerId& customer);

  size_t QueuedRequests() const;
  int64_t SlotsInUse(const ExecutorId& executor) const;

 private:
  // A queued or assigned request.
  struct Entry {
    CustomerId customer;
    absl::Time deadline;
    // Empty while the request is queued.
    ExecutorId executor;
  };

  // The weight of the customer, raised to a small positive minimum so that it can be a divisor.
  double EffectiveWeight(const CustomerId& customer) const;
  int64_t SlotLimit(const CustomerId& customer) const;
  // Returns the customer with queued requests that has the fewest slots in use for its weight, or
  // null when no such customer is below its slot limit.
  const CustomerRequests* NextCustomer() const;
  // Whether a request that starts now is expected to end after `deadline`.
  bool CannotMeetDeadline(absl::Time deadline) const;
  // Moves the queued requests of the customer that cannot meet their deadline to unmeetable_.
  void RemoveUnmeetable(const CustomerId& customer);
  // Frees the slot of an assigned request and removes its entry.
  void ReleaseAssigned(const RequestId& request);

  const Clock* clock_;
  const LimitSource* limits_;
  ExecutorPool executors_;
  RequestQueue queue_;
  RetryBudget retries_;
  absl::flat_hash_map<RequestId, Entry> requests_;
  // Removed from the queue, but not yet returned by TakeUnmeetable().
  std::vector<RequestId> unmeetable_;
  mutable std::mt19937_64 jitter_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_REQUEST_DISPATCHER_H_
