#ifndef POMELOTRAY_CELL_CELL_PORTS_H_
#define POMELOTRAY_CELL_CELL_PORTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "base/strong_number.h"

namespace pomelotray {

// Increases with each claim of a pool part. A worker refuses orders whose token is lower than the
// highest one that it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;
// Number of an attempt among the attempts of its task; increases with each attempt.
using RunNumber = StrongNumber<struct RunNumberTag>;
// Milliseconds on the clock of a worker.
using WorkerTime = StrongNumber<struct WorkerTimeTag>;
// Sequence number of an ended attempt in the reports of one worker incarnation, from 1.
using EndNumber = StrongNumber<struct EndNumberTag>;

// The entry that a worker publishes about itself in the worker directory.
struct WorkerDescription {
  WorkerId id;
  std::string address;
  PoolName pool;
  FailureDomainId domain;
  Resources capacity;
  std::vector<std::string> labels;
  // The worker accepts no new attempts and will shut down.
  bool draining = false;
  // Start time of the worker process that the entry describes, or the infinite past if the entry
  // does not say. A worker may restart under the same id.
  absl::Time started_at = absl::InfinitePast();
};

// Identifies one attempt of a task.
struct AttemptKey {
  // Name of the task: <job>.<occurrence>.<step>.<index>
  std::string task;
  RunNumber run;

  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return a.task != b.task ? a.task < b.task : a.run < b.run;
  }
  friend bool operator==(const AttemptKey& a, const AttemptKey& b) {
    return a.task == b.task && a.run == b.run;
  }
};

// A running attempt as its worker reports it.
struct RunningAttempt {
  AttemptKey key;
  // Latest checkpoint; empty if none has been saved.
  std::string checkpoint;
  // Percentage of the work that is done, 0 to 100.
  int percent = 0;
  // Tail latency in milliseconds if the task has a latency target, else its CPU use in millicores.
  int64_t usage = 0;
};

// How an attempt ended.
enum class AttemptEnd {
  kSucceeded,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,
  kGangIncomplete
};

// An ended attempt as its worker reports it.
struct EndedAttempt {
  EndNumber number;
  AttemptKey key;
  AttemptEnd end = AttemptEnd::kFailed;
  std::string checkpoint;
};

// All attempts that a worker runs and the ended attempts that the owner has not acknowledged.
struct WorkerReport {
  WorkerTime clock;
  absl::Time started_at;
  std::vector<RunningAttempt> running;
  std::vector<EndedAttempt> ended;
  // The worker may have further ended attempts, which it reports once those in `ended` are
  // acknowledged. Nothing follows from the absence of an attempt from such a report.
  bool may_omit_ends = false;
};

// Tells a worker to start an attempt.
struct StartOrder {
  AttemptKey key;
  std::string payload;
  FencingToken token;
  // The attempt must not start or run after this time. The lease of all other attempts on the
  // worker is extended to the same time.
  WorkerTime lease_end;
  std::string checkpoint;
  // The adviser's ticket that permits the step to run on this worker; empty if the queue of the job
  // has no adviser.
  std::string ticket;
};

// A worker's answer to an order. Failures for which the worker gives no reason are errors of the
// call instead.
enum class OrderAnswer {
  kAccepted,
  // The worker has seen a higher fencing token: another owner has taken over the pool part.
  kFenced,
  // An attempt of the same task with the same or a higher number ended or was stopped on the
  // worker.
  kSuperseded,
  // The lease end in the order has passed.
  kLeaseOver,
  // The free capacity of the worker is too small.
  kNoRoom,
  kTicketRefused,
  // The worker is unhealthy or overloaded and did not carry out the order.
  kUnhealthy,
  kMalformed,
  // Another worker now uses the address.
  kWrongWorker,
};

// Extends the lease of the attempts on a worker, acknowledges ended attempts and requests a report.
struct HoldOrder {
  FencingToken token;
  EndNumber acknowledged;
  // New end of the lease; 0 if the lease is not extended.
  WorkerTime lease_end;
  // How long the worker may wait for an attempt to end before it answers (long polling).
  absl::Duration wait;
};

// The answer to a HoldOrder. `report` is set only if the order was accepted.
struct HoldAnswer {
  OrderAnswer answer = OrderAnswer::kAccepted;
  WorkerReport report;
};

// A channel to one worker with its own connection. Calls do not block. `done` is called later on a
// thread of the connector, never within the call. Its failure has the kind kUnavailable if the
// order was not sent, and kOutcomeUnknown if the worker may still carry it out. At most one call
// may be in progress. `done` is also called for a call in progress when the channel is destroyed.
class WorkerChannel {
 public:
  template <typename T>
  using Done = std::function<void(const Outcome<T>&)>;

  virtual ~WorkerChannel() = default;
  virtual void Start(const StartOrder& order, Done<OrderAnswer> done) = 0;
  virtual void Stop(const AttemptKey& key, FencingToken token, Done<OrderAnswer> done) = 0;
  // Limits the CPU use of a running attempt to `percent` of its demand.
  virtual void Throttle(const AttemptKey& key, int percent, FencingToken token,
                        Done<OrderAnswer> done) = 0;
  virtual void Hold(const HoldOrder& order, Done<HoldAnswer> done) = 0;
};

// Opens channels to workers. A small thread pool serves all channels, since an owner has hundreds
// of workers. Thread-safe.
class WorkerConnector {
 public:
  virtual ~WorkerConnector() = default;
  virtual std::unique_ptr<WorkerChannel> Connect(const WorkerDescription& worker) = 0;
  // Runs `task` on a thread of the connector. `task` must not block.
  virtual void Post(std::function<void()> task) = 0;
};

// The adviser's answer for one step: a ticket for each worker that may run it. Workers without a
// ticket may not run the step.
struct Advice {
  std::map<WorkerId, std::string> tickets;
  // How long the tickets are valid from the adviser's decision on.
  absl::Duration validity;
  // Time before which the adviser cannot have decided.
  absl::Time decided_after = absl::InfiniteFuture();
};

// Asks which of `workers` may run `step`.
struct AdviceQuestion {
  // Name of the step: <job>.<occurrence>.<step>
  std::string step;
  std::vector<WorkerId> workers;
};

// External service that decides which workers may run a step and issues tickets for them. It serves
// one call at a time for each calling VM.
class Adviser {
 public:
  virtual ~Adviser() = default;
  virtual Result<Advice> RequestAdvice(const AdviceQuestion& question, absl::Duration timeout) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_PORTS_H_
