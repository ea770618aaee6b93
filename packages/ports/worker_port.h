#ifndef POMELOTRAY_PORTS_WORKER_PORT_H_
#define POMELOTRAY_PORTS_WORKER_PORT_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/epoch.h"
#include "base/error.h"
#include "base/resources.h"
#include "base/strong_id.h"

namespace pomelotray {

// State of one attempt on a worker. A lapsed attempt was stopped by the worker because its lease
// was not renewed.
enum class AttemptState { kRunning, kSucceeded, kFailed, kStopped, kLapsed };

struct AttemptReport {
  AttemptId attempt;
  TaskId task;
  JobId job;
  AttemptState state = AttemptState::kRunning;
  Resources reserved;
  // Measured use, which lags.
  Resources used;
  absl::Duration run_time;
  std::string result;
};

// What a worker says about itself in every answer.
struct WorkerInventory {
  WorkerId worker;
  BootId boot;
  // The highest epoch the worker has seen.
  Epoch epoch;
  bool leaving = false;
  Resources capacity;
  // The worker's monotonic clock, counted from its boot, when it answered.
  absl::Duration worker_clock;
  // Running attempts and ended ones that are not yet acknowledged.
  std::vector<AttemptReport> attempts;
};

struct TaskStart {
  AttemptId attempt;
  TaskId task;
  JobId job;
  Epoch epoch;
  // The worker refuses the start when it is another boot than this one.
  BootId boot;
  Resources demand;
  absl::Duration lease;
  // The worker refuses the start when its own clock is past this time, so that a start delayed on
  // its way cannot take effect after the owner has given up on it.
  absl::Duration valid_before = absl::InfiniteDuration();
  std::string payload;
  bool repeatable = true;
};

struct WorkerHeartbeat {
  InstanceId owner;
  Epoch epoch;
  // Attempts whose lease is renewed to `lease` from now.
  std::vector<AttemptId> renew;
  absl::Duration lease;
  // Renewals are ignored when the worker's clock is past this time.
  absl::Duration valid_before = absl::InfiniteDuration();
  // Ended attempts whose end is durable. The worker stops reporting them, but refuses their ids
  // until its next boot.
  std::vector<AttemptId> acknowledge;
};

enum class StopMode { kCheckpoint, kThrottle, kStop };

// One worker's interface, by address. Errors without effect: kFenced (the worker has seen a higher
// epoch), kOverLimit (no room), kDeadlineExceeded (past valid_before), kNotReady (another boot or
// an unknown epoch), kUnavailable (not reached). kConflict: the attempt is known and runs or ran.
// kOutcomeUnknown: the command may have taken effect.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  // Makes the worker refuse commands of lower epochs, then returns its inventory.
  virtual Result<WorkerInventory> Fence(const std::string& address, const InstanceId& owner,
                                        const Epoch& epoch) = 0;
  virtual Result<void> Start(const std::string& address, const TaskStart& start) = 0;
  virtual Result<WorkerInventory> Heartbeat(const std::string& address,
                                            const WorkerHeartbeat& heartbeat) = 0;
  virtual Result<void> Stop(const std::string& address, const AttemptId& attempt,
                            const Epoch& epoch, StopMode mode) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PORTS_WORKER_PORT_H_
