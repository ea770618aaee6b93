#ifndef POMELOTRAY_CELL_CELL_PORTS_H_
#define POMELOTRAY_CELL_CELL_PORTS_H_

#include <cstdint>
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

// Orders to workers. A call fails with kUnavailable when it was not sent and with kOutcomeUnknown
// when it may still be carried out later. Thread-safe; each channel uses a connection of its own.
class WorkerOrders {
 public:
  virtual ~WorkerOrders() = default;
  virtual Result<OrderAnswer> Start(const StartOrder& order) = 0;
  virtual Result<OrderAnswer> Stop(const AttemptKey& key, FencingToken token) = 0;
  // Limits the processors of a running attempt to `percent` of its demand.
  virtual Result<OrderAnswer> Throttle(const AttemptKey& key, int percent, FencingToken token) = 0;
  virtual Result<HoldAnswer> Hold(const HoldOrder& order) = 0;
};

// Opens channels to workers.
class WorkerConnector {
 public:
  virtual ~WorkerConnector() = default;
  virtual std::unique_ptr<WorkerOrders> Connect(const WorkerDescription& worker) = 0;
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
