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

// Rises with each owner of a pool; workers refuse orders with a lower one than they have seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;
// Numbers the attempts of one task; a later attempt has a higher number.
using RunNumber = StrongNumber<struct RunNumberTag>;
// Milliseconds on a worker's own clock.
using WorkerTime = StrongNumber<struct WorkerTimeTag>;
// Numbers the ends that one life of a worker lists, from 1.
using EndNumber = StrongNumber<struct EndNumberTag>;

// A worker as it describes itself in the directory.
struct WorkerDescription {
  WorkerId id;
  std::string address;
  PoolName pool;
  FailureDomainId domain;
  Resources capacity;
  std::vector<std::string> labels;
  // Accepts no new work and will leave.
  bool draining = false;
  // When this life of the worker began; a worker may start again under the same id.
  absl::Time born;
};

// One attempt of one task.
struct AttemptKey {
  // <job>.<occurrence>.<step>.<index>
  std::string task;
  RunNumber run;

  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return a.task != b.task ? a.task < b.task : a.run < b.run;
  }
  friend bool operator==(const AttemptKey& a, const AttemptKey& b) {
    return a.task == b.task && a.run == b.run;
  }
};

struct RunningAttempt {
  AttemptKey key;
  // Empty: none yet.
  std::string checkpoint;
  // Share of the work that is done, 0 to 100.
  int percent = 0;
  // Tail latency in milliseconds of a serving task; processors in use (1/1000 core) of another.
  int64_t load = 0;
};

enum class AttemptEnd {
  kSucceeded,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,
  kGangIncomplete
};

struct EndedAttempt {
  EndNumber number;
  AttemptKey key;
  AttemptEnd end = AttemptEnd::kFailed;
  std::string checkpoint;
};

// Everything that a worker runs and everything that ended and is not acknowledged.
struct WorkerReport {
  WorkerTime clock;
  absl::Time born;
  std::vector<RunningAttempt> running;
  std::vector<EndedAttempt> ended;
};

struct StartOrder {
  AttemptKey key;
  std::string payload;
  FencingToken token;
  // Start and run no later than this; also extends what else runs on the worker.
  WorkerTime lease_end;
  std::string checkpoint;
  // Proof that the step may run on this worker; empty where none is needed.
  std::string ticket;
};

// How a worker answered an order. Failures without a reason are errors of the call.
enum class OrderAnswer {
  kAccepted,
  // A higher token was seen: another owner took over.
  kFenced,
  // The attempt is not newer than one that ended or was stopped there.
  kSuperseded,
  kLeaseOver,
  kNoRoom,
  kTicketRefused,
  // The worker is unhealthy or overloaded and did nothing.
  kUnhealthy,
  kMalformed,
  // The address belongs to another worker now.
  kWrongWorker,
};

struct HoldOrder {
  FencingToken token;
  EndNumber acknowledged;
  WorkerTime lease_end;
  // How long the worker may wait for an end before it answers.
  absl::Duration wait;
};

// The answer to a hold: a report when it was accepted.
struct HoldAnswer {
  OrderAnswer answer = OrderAnswer::kAccepted;
  WorkerReport report;
};

// A channel to one worker, with a connection of its own. Calls return at once; `done` is called
// later, on a thread of the connector and never within the call, with a failure of kind
// kUnavailable when the order was not sent and kOutcomeUnknown when it may still be carried out.
// One call at a time. What is in progress when the channel is destroyed still ends with `done`.
class WorkerOrders {
 public:
  template <typename T>
  using Done = std::function<void(const Outcome<T>&)>;

  virtual ~WorkerOrders() = default;
  virtual void Start(const StartOrder& order, Done<OrderAnswer> done) = 0;
  virtual void Stop(const AttemptKey& key, FencingToken token, Done<OrderAnswer> done) = 0;
  // Limits the processors of a running attempt to `percent` of its demand.
  virtual void Throttle(const AttemptKey& key, int percent, FencingToken token,
                        Done<OrderAnswer> done) = 0;
  virtual void Hold(const HoldOrder& order, Done<HoldAnswer> done) = 0;
};

// Opens channels to workers. A few threads serve all of them: an owner has hundreds of workers.
// Thread-safe.
class WorkerConnector {
 public:
  virtual ~WorkerConnector() = default;
  virtual std::unique_ptr<WorkerOrders> Connect(const WorkerDescription& worker) = 0;
  // Runs `task`, which must not block, on a thread of the connector.
  virtual void Post(std::function<void()> task) = 0;
};

// Tickets by worker; a worker that is missing may not run the step.
struct Advice {
  std::map<WorkerId, std::string> tickets;
  absl::Duration validity;
};

struct AdviceQuestion {
  // <job>.<occurrence>.<step>
  std::string step;
  std::vector<WorkerId> workers;
};

// Knows which workers may run a step. Serves one call at a time for each calling VM.
class Adviser {
 public:
  virtual ~Adviser() = default;
  virtual Result<Advice> Ask(const AdviceQuestion& question, absl::Duration timeout) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_PORTS_H_
