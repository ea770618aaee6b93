#ifndef POMELOTRAY_SHARD_WORKER_LINK_H_
#define POMELOTRAY_SHARD_WORKER_LINK_H_

#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/epoch.h"
#include "ports/worker_port.h"
#include "shard/worker_clock_estimate.h"
#include "shard/worker_link_listener.h"

namespace pomelotray {

struct WorkerLinkOptions {
  InstanceId owner;
  Epoch epoch;
  absl::Duration heartbeat_interval = absl::Seconds(1);
  absl::Duration task_lease = absl::Seconds(10);
  // How long after it is sent a command may still take effect on the worker.
  absl::Duration command_validity = absl::Seconds(2);
  // Number of consecutive failed calls after which the worker is reported as unreachable.
  int unreachable_after = 3;
};

// Connects a shard owner to one worker: fences the worker, starts and stops tasks and renews task
// leases. One thread per link sends all commands, so an answer reflects every command sent before
// it, except for commands whose answer was lost. A start whose answer was lost may still take
// effect later. It is resolved by a heartbeat answer that lists the attempt or shows that the
// worker's clock has passed the end of the command's validity.
class WorkerLink {
 public:
  WorkerLink(WorkerId worker, std::string address, WorkerPort* port, const Clock* clock,
             WorkerLinkListener* listener, WorkerLinkOptions options);
  ~WorkerLink();

  void Start();
  void Stop();

  const WorkerId& worker() const { return worker_; }

  // Queues a start, which is sent as soon as possible. The worker must have been fenced.
  void QueueStart(TaskStart start);
  void QueueStop(AttemptId attempt, StopMode mode);

 private:
  struct StopCommand {
    AttemptId attempt;
    StopMode mode;
  };

  void Run();
  // Takes control of the worker; returns false when that failed.
  bool Fence();
  void Heartbeat();
  void SendStart(TaskStart start);
  // Determines from an inventory whether the starts whose answers were lost took effect.
  void ResolveStarts(const WorkerInventory& inventory);
  void RecordAnswer(absl::Time sent, const WorkerInventory& inventory);
  void RecordFailure();
  // Notifies the listener when all leases granted on the worker have expired, once until the worker
  // answers again.
  void ReportExpiredLeases();
  // Waits for a command or until `deadline`; returns false when the link is stopping.
  bool WaitForWork(absl::Time deadline);

  const WorkerId worker_;
  const std::string address_;
  WorkerPort* const port_;
  const Clock* const clock_;
  WorkerLinkListener* const listener_;
  const WorkerLinkOptions options_;

  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<TaskStart> starts_ ABSL_GUARDED_BY(mutex_);
  std::deque<StopCommand> stops_ ABSL_GUARDED_BY(mutex_);

  // The following members are used by the link's thread only.
  bool fenced_ = false;
  // When the link found out that the current boot of the worker is not fenced by this owner.
  absl::Time unfenced_since_;
  BootId boot_;
  WorkerClockEstimate worker_clock_;
  int failures_ = 0;
  bool lease_expiry_reported_ = false;
  // Time on the worker's clock by which every lease granted on the worker so far has expired.
  absl::Duration leases_expire_at_;
  absl::Time next_heartbeat_ = absl::InfinitePast();
  // Starts whose answers were lost.
  std::vector<TaskStart> unresolved_starts_;

  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_LINK_H_
