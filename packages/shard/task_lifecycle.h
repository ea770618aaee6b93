#ifndef POMELOTRAY_SHARD_TASK_LIFECYCLE_H_
#define POMELOTRAY_SHARD_TASK_LIFECYCLE_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "scheduler/shard_scheduler.h"
#include "shard/command_sink.h"
#include "shard/ended_attempts.h"
#include "shard/job_table.h"
#include "shard/worker_link_listener.h"
#include "state/journal.h"

namespace pomelotray {

// Moves tasks and jobs of one shard from state to state. Every change is journalled, logged and
// passed to the scheduler here and nowhere else. Not thread-safe: the shard's owner locks.
//
// Rules that keep the invariants:
// - Only the current attempt of a task changes its state; reports of older attempts are
// acknowledged and dropped.
// - A repeatable task is queued again only when its attempt has ended or can no longer run.
// - A task that may not be repeated is queued again only when its start certainly did not and
// cannot take effect;
//   otherwise it ends as kUnknown.
class TaskLifecycle {
 public:
  struct Context {
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
    Journal* journal = nullptr;
    ShardScheduler* scheduler = nullptr;
    CommandSink* commands = nullptr;
    JobTable* jobs = nullptr;
  };

  explicit TaskLifecycle(const Context& context);

  // Shows a durable job to the scheduler.
  void Accept(TrackedJob* job);
  // Takes over a job read from the journal. Tasks that had been started stay with their workers
  // until those are heard of; queued ones are held until ReleaseInherited().
  void Inherit(JobRecord record);
  void ReleaseInherited();

  // Starts the placed task on a worker of the given boot.
  void Place(const Placement& placement, const BootId& boot);
  void Preempt(const Preemption& preemption);
  // A task that an earlier owner may have started without a durable record ends as cancelled only
  // when its whereabouts are known.
  void Cancel(TrackedJob* job);
  // True while a task of the job may run somewhere although it counts as queued.
  bool MayRunUnrecorded(const TrackedJob& job) const;
  void Expire(TrackedJob* job);

  void StartConfirmed(const TaskStart& start);
  // The start did not and cannot take effect.
  void StartFailed(const TaskStart& start);

  // Takes a worker's complete list of attempts over. `after_fence`: no start is on its way to the
  // worker.
  void Reconcile(const WorkerId& worker, const WorkerInventory& inventory, bool after_fence);
  // The worker is gone or is another boot: its attempts are over and their results lost.
  void WorkerLost(const WorkerId& worker, const std::string& reason);

  // The worker is unreachable and has stopped every attempt. It may still report results later, so
  // tasks that may not be repeated go on waiting for it.
  void LeasesOver(const WorkerId& worker);

  HeartbeatPlan PlanHeartbeat(const WorkerId& worker);

  // Appends again what the journal had no room for.
  void RetryJournal();

  // Jobs whose end has not been recorded as an event yet. Another owner may still decide otherwise
  // until the end is durable, so the event waits for that.
  std::set<JobId>* ended_jobs() { return &ended_jobs_; }
  void RecordEnd(const TrackedJob& job);

 private:
  // True for an attempt that an earlier owner started without the record having become durable.
  bool IsUnrecordedStart(const TaskRef& ref, const AttemptId& attempt) const;
  bool IsCurrent(const TaskRef& ref, const AttemptId& attempt) const;
  void TakeReport(const WorkerId& worker, const WorkerInventory& inventory,
                  const AttemptReport& report);
  void Adopt(const TaskRef& ref, const WorkerId& worker, const WorkerInventory& inventory,
             const AttemptReport& report);
  void NoteRunning(const TaskRef& ref);
  // Tells the scheduler how an attempt ended and records a change of quarantine.
  void RecordHealth(const WorkerId& worker, const JobId& job, bool ok);
  void NoteEnded(const TaskRef& ref, const AttemptReport& report);
  void HandleMissing(const TaskRef& ref, const WorkerInventory& inventory, bool after_fence);
  // The attempt is over without a result that counts.
  void AttemptLost(const TaskRef& ref, bool certainly_not_run, const std::string& reason);
  void Requeue(const TaskRef& ref, const std::string& reason);
  void Finish(const TaskRef& ref, TaskState state, const std::string& result);
  void AbandonGang(TrackedJob* job);
  void FinishGangRestart(TrackedJob* job);
  // Ends a gang that may not be repeated when some of its tasks have succeeded and others cannot
  // run.
  void AbandonIfPartlyRun(TrackedJob* job);
  void StopTask(const TaskRef& ref, StopMode mode);
  void UpdateJob(TrackedJob* job);
  void FinishJob(TrackedJob* job, JobState state, std::string reason);
  uint64_t JournalTask(const TaskRef& ref);
  EventBuilder TaskEvent(EventCode code, const TaskRef& ref);

  const Context context_;
  bool takeover_complete_ = false;
  // Queued tasks of inherited jobs that may still run somewhere until the takeover is complete.
  std::set<TaskId> held_;
  uint64_t last_sequence_ = 0;
  // Tasks whose latest state the journal had no room for.
  std::set<TaskId> unjournalled_;
  std::set<JobId> ended_jobs_;
  EndedAttempts ended_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_TASK_LIFECYCLE_H_
