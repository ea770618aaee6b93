#ifndef POMELOTRAY_SHARD_REQUEST_RUNNER_H_
#define POMELOTRAY_SHARD_REQUEST_RUNNER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "model/vm.h"
#include "ports/admin_service.h"
#include "ports/executor_port.h"
#include "scheduler/contract_limiter.h"
#include "scheduler/request_dispatcher.h"
#include "shard/executor_link.h"
#include "shard/shard_limits.h"

namespace pomelotray {

struct RequestRunnerContext {
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
  ExecutorPort* executors = nullptr;
  ShardLimits* limits = nullptr;
};

// Owns one shard of executors: queues interactive requests, sends each one to an executor with a
// free slot and returns the answer to the caller of that request. Thread-safe. Each request is
// served on the thread of its caller.
class RequestRunner : public ExecutorLinkListener {
 public:
  RequestRunner(const RequestRunnerContext& context, const ShardId& shard, const Epoch& epoch);
  ~RequestRunner() override;

  // Runs `request` and returns its answer. Besides the errors of admission control it fails with
  // kUnavailable when the request did not run, kOutcomeUnknown when it may have run, and
  // kDeadlineExceeded.
  Result<InteractiveAnswer> Serve(const InteractiveRequest& request);

  void UpdateExecutors(const std::vector<VmEntry>& vms);
  void SetDrained(const std::set<VmId>& drained);
  std::vector<WorkerStatus> ListExecutors();

  // Rejects new requests, waits for the requests in flight and joins all threads.
  void Stop();
  // Returns true when an executor has seen a higher epoch, so that another owner has replaced this
  // one.
  bool deposed() const;

 private:
  struct Executor {
    VmEntry vm;
    std::unique_ptr<ExecutorLink> link;
    bool reachable = false;
    bool leaving = false;
    bool drained = false;
    bool listed = true;
    // Slots that may be occupied by requests of a previous owner or by requests whose answer was
    // lost, in addition to the slots of the requests that this owner has in flight.
    int64_t untracked_slots = 0;
    // After this time the untracked slots are considered free.
    absl::Time untracked_until;
    bool load_known = false;
  };
  // A request that waits in the queue for an executor.
  struct Waiter {
    std::optional<ExecutorId> executor;
    bool dropped = false;
    absl::CondVar changed;
  };

  // ExecutorLinkListener:
  void OnLoad(const ExecutorId& executor, const ExecutorLoad& load) override;
  void OnExecutorUnreachable(const ExecutorId& executor) override;
  void OnExecutorFenced() override;

  Result<InteractiveAnswer> ServeAdmitted(const InteractiveRequest& request, const RequestId& key,
                                          absl::Time deadline);
  Result<void> Admit(const InteractiveRequest& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Queues the request and blocks until it is assigned to an executor or cannot meet `deadline`.
  Result<ExecutorId> AwaitExecutor(const InteractiveRequest& request, const RequestId& key,
                                   absl::Time deadline);
  Outcome<ExecutorAnswer> CallExecutor(const InteractiveRequest& request, const AttemptId& attempt,
                                       const ExecutorId& executor, absl::Time deadline);
  // Frees the slot of a finished call and updates the state of its executor.
  void RecordOutcome(const RequestId& key, const ExecutorId& executor,
                     const Outcome<ExecutorAnswer>& outcome);
  bool MayRetry(const InteractiveRequest& request, const Error& error, absl::Time deadline);
  // Drops the requests that can no longer meet their deadlines and assigns queued requests to free
  // slots.
  void DispatchQueued() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Passes the availability and the untracked slots of the executor on to the dispatcher.
  void UpdateDispatcher(const ExecutorId& id, Executor* executor)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Reports the request rate and concurrency of each customer to the slice limits, at most once per
  // report interval.
  void ReportDemand() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const RequestRunnerContext context_;
  const ShardId shard_;
  const Epoch epoch_;

  mutable absl::Mutex mutex_;
  absl::CondVar idle_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool fenced_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t in_flight_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time next_report_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::map<CustomerId, int64_t> requests_since_report_ ABSL_GUARDED_BY(mutex_);
  std::map<CustomerId, int64_t> in_flight_by_customer_ ABSL_GUARDED_BY(mutex_);
  RequestDispatcher dispatcher_ ABSL_GUARDED_BY(mutex_);
  ContractLimiter limiter_ ABSL_GUARDED_BY(mutex_);
  std::map<ExecutorId, Executor> executors_ ABSL_GUARDED_BY(mutex_);
  std::map<RequestId, Waiter*> waiters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_REQUEST_RUNNER_H_
