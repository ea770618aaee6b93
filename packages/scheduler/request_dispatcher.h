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

struct Assignment {
  RequestId request;
  ExecutorId executor;
};

// Queues the interactive requests of one shard and assigns them to executors. Thread-compatible;
// does no I/O. A request is queued, assigned or unknown; Complete and Abandon make it unknown.
// Slots in use never exceed an executor's slot capacity, requests in flight never its connections.
class RequestDispatcher {
 public:
  // `clock` and `limits` must outlive the dispatcher. HoldLimit().slots bounds a customer's
  // assigned requests.
  RequestDispatcher(const Clock* clock, const LimitSource* limits, uint64_t seed);
  RequestDispatcher(const RequestDispatcher&) = delete;
  RequestDispatcher& operator=(const RequestDispatcher&) = delete;

  // `capacity.slots` is the number of requests that the executor works on at once.
  void UpsertExecutor(const ExecutorId& executor, const Resources& capacity,
                      int64_t max_connections);
  void SetAvailable(const ExecutorId& executor, bool available);
  // Requests assigned to the executor stay assigned until Complete or Abandon.
  void RemoveExecutor(const ExecutorId& executor);
  // Slots still held by requests of a previous owner.
  void SetBusy(const ExecutorId& executor, int64_t busy_slots);

  // kDeadlineUnmeetable or kOverloaded, with a jittered retry_after, when the request cannot be
  // answered by its deadline; kConflict when the request is already known.
  Result<void> Enqueue(const RequestId& request, const CustomerId& customer, absl::Time deadline);
  std::vector<Assignment> Dispatch();
  void Complete(const RequestId& request, absl::Duration service_time, bool ok);
  // Forgets a queued request, or frees the slot of an assigned one, which the executor must no
  // longer work on.
  void Abandon(const RequestId& request);
  // Removes queued requests that can no longer be answered by their deadline. The caller refuses
  // them at once.
  std::vector<RequestId> DropHopeless();

  absl::Duration ExpectedWait(const CustomerId& customer) const;
  // A time to retry that spreads the refused callers.
  absl::Duration RetryAfter(const CustomerId& customer) const;
  // Spends one unit of the customer's retry budget if there is one left.
  bool AllowRetry(const CustomerId& customer);

  size_t QueuedRequests() const;
  int64_t SlotsInUse(const ExecutorId& executor) const;

 private:
  // Where a request is.
  struct Entry {
    CustomerId customer;
    absl::Time deadline;
    // Empty while the request is queued.
    ExecutorId executor;
  };

  // The weight that counts in divisions; at least a small positive number.
  double WeightOf(const CustomerId& customer) const;
  int64_t SlotLimit(const CustomerId& customer) const;
  // The customer to serve next, or null when none may have another slot.
  const CustomerRequests* NextCustomer() const;
  bool IsHopeless(absl::Time deadline) const;
  // Moves queued requests that cannot be answered in time to the hopeless ones.
  void SetAsideHopeless(const CustomerId& customer);
  void Finish(const RequestId& request);

  const Clock* clock_;
  const LimitSource* limits_;
  ExecutorPool executors_;
  RequestQueue queue_;
  RetryBudget retries_;
  absl::flat_hash_map<RequestId, Entry> requests_;
  std::vector<RequestId> hopeless_;
  mutable std::mt19937_64 jitter_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_REQUEST_DISPATCHER_H_
