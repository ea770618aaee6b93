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
#include "shard/health_reporter.h"
#include "shard/job_table.h"
#include "shard/worker_link_listener.h"
#include "state/journal.h"

namespace pomelotray {

// State machine of the tasks and jobs of one shard. All state changes are made by this class, which
// journals them, records their events and passes them to the scheduler. Not thread-safe: ShardOwner
// holds its mutex during each call.
//
// Rules:
// - Only reports of a task's current attempt change the task's state. Other attempts are stopped if
//   they are running; if they have ended, they are acknowledged and their results are ignored.
// - A repeatable task is queued again only when its attempt has ended or can no longer run.
// - A task that may not be repeated is queued again only when its start has had no effect and can
//   no longer have one; otherwise the task ends as kUnknown.
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

  // Accepts a job whose record is durable and adds it to the scheduler's queue.
  void Accept(TrackedJob* job);
  // Adds a job read from the journal. Tasks that had been started stay assigned to their workers
  // until the workers report or are lost; queued tasks that may be repeated are held until
  // ReleaseInherited(), since the earlier owner may have started them without a durable record.
  void AddInherited(JobRecord record);
  // Called when every worker has been fenced: releases the held tasks.
  void ReleaseInherited();

  // Starts the task on the worker that the scheduler chose, which runs the given boot.
  void Place(const Placement& placement, const BootId& boot);
  void Preempt(const Preemption& preemption);
  // Cancels the job's queued tasks and stops the others. A task that an earlier owner may have
  // started without a durable record stays queued until a worker reports it or all workers have
  // been fenced.
  void Cancel(TrackedJob* job);
  // True while a queued task of the job may be running because an earlier owner started it without
  // a durable record.
  bool MayHaveUnrecordedAttempt(const TrackedJob& job) const;
  // Ends a job whose deadline passed before any of its tasks could start.
  void Expire(TrackedJob* job);

  void HandleStartConfirmed(const TaskStart& start);
  // Called when the start has had no effect and can no longer have one.
  void HandleStartFailed(const TaskStart& start);

  // Updates the worker's tasks from the worker's complete list of attempts. `after_fence`: the list
  // is the response to a fence, so no earlier start can still reach the worker.
  void Reconcile(const WorkerId& worker, const WorkerInventory& inventory, bool after_fence);
  // Called when the worker has been removed. Its attempts have ended and their results are lost.
  void HandleWorkerLost(const WorkerId& worker, const std::string& reason);

  // Called when the worker is unreachable and has stopped every attempt because the leases have
  // expired. It may still report results later, so tasks that may not be repeated keep waiting for
  // the worker.
  void HandleLeaseExpiry(const WorkerId& worker);

  // Returns the attempts to renew and to acknowledge with the worker's next heartbeat.
  HeartbeatPlan PlanHeartbeat(const WorkerId& worker);

  // Appends the task updates that the journal refused earlier.
  void RetryJournal();

  // Ended jobs for which no event has been recorded yet. The event is recorded only after the final
  // state is durable, because until then another owner could reach a different final state.
  std::set<JobId>* ended_jobs() { return &ended_jobs_; }
  void RecordJobEnd(const TrackedJob& job);

 private:
  // True for an attempt that an earlier owner started without a durable record.
  bool IsUnrecordedStart(const TaskRef& ref, const AttemptId& attempt) const;
  bool IsCurrent(const TaskRef& ref, const AttemptId& attempt) const;
  void HandleReport(const WorkerId& worker, const WorkerInventory& inventory,
                    const AttemptReport& report);
  // Makes an attempt that an earlier owner started without a durable record the task's current one.
  void Adopt(const TaskRef& ref, const WorkerId& worker, const WorkerInventory& inventory,
             const AttemptReport& report);
  void MarkRunning(const TaskRef& ref);
  void HandleAttemptEnd(const TaskRef& ref, const AttemptReport& report);
  void HandleMissingAttempt(const TaskRef& ref, const WorkerInventory& inventory, bool after_fence);
  // Called when an attempt has ended without a result that makes the task final.
  // `certainly_not_run`: the attempt did not run and can no longer run.
  void HandleAttemptLost(const TaskRef& ref, bool certainly_not_run, const std::string& reason);
  void Requeue(const TaskRef& ref, const std::string& reason);
  void Finish(const TaskRef& ref, TaskState state, const std::string& result);
  // Called when a task of the gang could not run or did not succeed. Stops the other tasks and
  // either restarts the gang or, if that is not possible, ends it.
  void RestartOrFailGang(TrackedJob* job);
  // Queues a restarting gang again once all of its tasks have stopped.
  void FinishGangRestart(TrackedJob* job);
  // Ends a gang that may not be repeated if any of its tasks has succeeded, because a restart would
  // run that task again.
  void FailGangIfPartlyRun(TrackedJob* job);
  void StopTask(const TaskRef& ref, StopMode mode);
  void UpdateJob(TrackedJob* job);
  void FinishJob(TrackedJob* job, JobState state, std::string reason);
  // Appends the task's and job's state to the journal and returns the record's sequence number, or
  // kNotJournalled if the journal refused the record.
  uint64_t JournalTask(const TaskRef& ref);
  EventBuilder TaskEvent(EventCode code, const TaskRef& ref);

  const Context context_;
  HealthReporter health_;
  bool takeover_complete_ = false;
  // Queued tasks of inherited jobs. Until the takeover is complete they may be running on a worker
  // that has not been fenced.
  std::set<TaskId> held_tasks_;
  uint64_t last_sequence_ = 0;
  // Tasks whose latest state the journal refused.
  std::set<TaskId> unjournalled_;
  std::set<JobId> ended_jobs_;
  EndedAttempts ended_attempts_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_TASK_LIFECYCLE_H_
