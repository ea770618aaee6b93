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
  // How long after sending a command may still take effect.
  absl::Duration command_validity = absl::Seconds(2);
  // Consecutive failures after which the worker counts as unreachable.
  int unreachable_after = 3;
};

// An owner's conversation with one worker: fences it, sends starts and stops, renews leases. All
// commands to a worker go through the link's single thread, so an answer always reflects every
// command sent before it, except for commands whose answer was lost; those are resolved with the
// worker's clock.
class WorkerLink {
 public:
  WorkerLink(WorkerId worker, std::string address, WorkerPort* port, const Clock* clock,
             WorkerLinkListener* listener, WorkerLinkOptions options);
  ~WorkerLink();

  void Start();
  void Stop();

  const WorkerId& worker() const { return worker_; }

  // Sends the start as soon as possible. The worker must have been fenced.
  void QueueStart(TaskStart start);
  void QueueStop(AttemptId attempt, StopMode mode);

 private:
  struct StopCommand {
    AttemptId attempt;
    StopMode mode;
  };

  void Run();
  bool Fence();
  void Heartbeat();
  void SendStart(TaskStart start);
  void ResolveStarts(const WorkerInventory& inventory);
  void NoteAnswer(absl::Time sent, const WorkerInventory& inventory);
  void NoteFailure();
  void CheckLeasesOver();
  // Waits for the next command or `deadline`; returns false when stopping.
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

  // Used by the link's thread only.
  bool fenced_ = false;
  // When the link learnt that the present boot of the worker does not obey its owner yet.
  absl::Time unfenced_since_;
  BootId boot_;
  WorkerClockEstimate worker_clock_;
  int failures_ = 0;
  bool leases_over_reported_ = false;
  // Worker time after which every lease granted so far is over.
  absl::Duration leases_end_;
  absl::Time next_heartbeat_ = absl::InfinitePast();
  std::vector<TaskStart> unresolved_starts_;

  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_LINK_H_
