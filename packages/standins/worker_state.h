#ifndef POMELOTRAY_STANDINS_WORKER_STATE_H_
#define POMELOTRAY_STANDINS_WORKER_STATE_H_

#include <map>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "ports/worker_port.h"
#include "standins/worker_task.h"

namespace pomelotray {

struct WorkerOptions {
  WorkerId id;
  BootId boot;
  Resources capacity;
  // Time from the start of a task until its measured resource usage is reported.
  absl::Duration usage_lag = absl::Seconds(5);
  // Simulates a faulty worker on which every task fails immediately after its start.
  bool fail_all_starts = false;
};

enum class WorkerVerdict {
  kOk,
  // The worker has seen a higher epoch, the epoch belongs to another owner, or the current owner of
  // the term contacted the worker within kOwnerLease.
  kFenced,
  kNotFenced,
  kWrongBoot,
  kKnownAttempt,
  kNoRoom,
  // The latest start time that the call allows, on the worker's clock, has passed.
  kTooLate,
  kUnknownAttempt,
};

// Epochs, tasks and leases of the worker stand-in. Records the tasks that actually run as events,
// which the history checker uses as ground truth. Thread-safe.
class WorkerState {
 public:
  // A higher round of the same term is accepted only if the current owner has not contacted the
  // worker for this long.
  static constexpr absl::Duration kOwnerLease = absl::Seconds(5);

  WorkerState(WorkerOptions options, const Clock* clock, EventLog* events);

  WorkerVerdict Fence(const InstanceId& owner, const Epoch& epoch);
  WorkerVerdict Start(const TaskStart& start);
  WorkerVerdict Heartbeat(const WorkerHeartbeat& heartbeat);
  WorkerVerdict Stop(const AttemptId& attempt, const Epoch& epoch, StopMode mode);
  WorkerInventory Inventory();
  void Leave();

  // Repeatedly ends the tasks that are due and sleeps until the next one is due. Returns after
  // Shutdown.
  void RunTimers();
  // Ends all tasks and makes RunTimers return.
  void Shutdown();

 private:
  absl::Duration WorkerClock() const { return clock_->Now() - booted_at_; }
  void EndDueTasks() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void End(WorkerTask* task, AttemptState state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RecordTask(EventCode code, const WorkerTask& task);
  void RecordReservation() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  WorkerVerdict Admit(const TaskStart& start) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const WorkerOptions options_;
  const Clock* const clock_;
  const absl::Time booted_at_;
  EventLog* const events_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool shutdown_ ABSL_GUARDED_BY(mutex_) = false;
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  Epoch epoch_ ABSL_GUARDED_BY(mutex_);
  InstanceId owner_ ABSL_GUARDED_BY(mutex_);
  absl::Time last_contact_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  Resources reserved_ ABSL_GUARDED_BY(mutex_);
  // Running tasks, and ended tasks whose end is not yet acknowledged.
  std::map<AttemptId, WorkerTask> tasks_ ABSL_GUARDED_BY(mutex_);
  // All attempts since the worker's start, including acknowledged ones.
  std::set<AttemptId> known_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_WORKER_STATE_H_
