#include "shard/task_lifecycle.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "shard/job_progress.h"

namespace pomelotray {
namespace {

// A repeatable batch or gang task fails when its attempt with this number, or a later one, fails;
// then its job fails too. Services are restarted without a limit.
constexpr int64_t kMaxFailedAttempts = 3;

// Amount by which a takeover increases the attempt number of a held task, so that new attempts do
// not reuse the ids of attempts that the earlier owner started without a durable record.
constexpr int64_t kTakeoverAttemptGap = 100;

int64_t AttemptNumber(const AttemptId& attempt) {
  const size_t mark = attempt.value().rfind('#');
  int64_t number = 0;
  if (mark == std::string::npos || !absl::SimpleAtoi(attempt.value().substr(mark + 1), &number)) {
    return 0;
  }
  return number;
}

bool AnySucceeded(const JobRecord& record) {
  return std::any_of(record.tasks.begin(), record.tasks.end(),
                     [](const TaskStatus& task) { return task.state == TaskState::kSucceeded; });
}

}  // namespace

TaskLifecycle::TaskLifecycle(const Context& context)
    : context_(context), health_(context.scheduler, context.events) {}

void TaskLifecycle::Accept(TrackedJob* job) {
  job->accepted = true;
  context_.scheduler->Enqueue(job->record);
  context_.events->Record(EventCode::kJobAccepted)
      .Job(job->record.id)
      .Customer(job->record.spec.customer)
      .With(event_field::kKind, JobKindName(job->record.spec.kind))
      .With(event_field::kRepeatable, job->record.spec.repeatable ? "true" : "false")
      .Emit();
}

void TaskLifecycle::AddInherited(JobRecord record) {
  TrackedJob* const job = context_.jobs->Insert(std::move(record));
  job->accepted = true;
  if (IsFinal(job->record.state)) {
    // The earlier owner may have terminated before it recorded the event of the job's end.
    ended_jobs_.insert(job->record.id);
    return;
  }
  context_.scheduler->Enqueue(job->record);
  job->inherited = true;
  for (const TaskStatus& task : job->record.tasks) {
    if (OccupiesWorker(task)) {
      context_.jobs->AddToWorker(task);
      context_.scheduler->Adopt(job->record, task.task, task.worker);
    } else if (task.state == TaskState::kQueued && job->record.spec.repeatable) {
      // The earlier owner may have started the task without a durable record.
      context_.scheduler->Hold(task.task);
      held_tasks_.insert(task.task);
    }
  }
  if (job->record.reason == kStoppingReason) {
    Cancel(job);
  }
  // The earlier owner may have terminated after it journalled the end of the last task, but before
  // it journalled the end of the job.
  UpdateJob(job);
  if (IsFinal(job->record.state)) {
    JournalTask(TaskRef{job, &job->record.tasks.front()});
  }
}

void TaskLifecycle::ReleaseInherited() {
  takeover_complete_ = true;
  for (const TaskId& task : held_tasks_) {
    const std::optional<TaskRef> ref = context_.jobs->FindTask(task);
    if (!ref.has_value() || ref->task->state != TaskState::kQueued) {
      continue;
    }
    if (ref->job->cancel_requested) {
      ref->task->state = TaskState::kCancelled;
      UpdateJob(ref->job);
      JournalTask(*ref);
      continue;
    }
    ref->task->attempt_number += kTakeoverAttemptGap;
    context_.scheduler->Unhold(task);
  }
  held_tasks_.clear();
}

void TaskLifecycle::Place(const Placement& placement, const BootId& boot) {
  const std::optional<TaskRef> ref = context_.jobs->FindTask(placement.task);
  if (!ref.has_value() || ref->task->state != TaskState::kQueued) {
    context_.scheduler->Release(placement.task);
    return;
  }
  TaskStatus& task = *ref->task;
  const JobSpec& spec = ref->job->record.spec;
  ++task.attempt_number;
  task.state = TaskState::kStarting;
  task.worker = placement.worker;
  task.boot = boot;
  context_.jobs->AddToWorker(task);
  UpdateJob(ref->job);

  TaskStart start;
  start.attempt = MakeAttemptId(task.task, task.attempt_number);
  start.task = task.task;
  start.job = ref->job->record.id;
  start.boot = boot;
  start.demand = spec.demand;
  start.payload = spec.payload;
  start.repeatable = spec.repeatable;
  const uint64_t sequence = JournalTask(*ref);
  if (spec.repeatable) {
    context_.commands->SendStart(placement.worker, start);
  } else if (sequence == kNotJournalled) {
    HandleStartFailed(start);
  } else {
    context_.commands->SendStartWhenDurable(placement.worker, start, sequence);
  }
}

void TaskLifecycle::Preempt(const Preemption& preemption) {
  const std::optional<TaskRef> ref = context_.jobs->FindTask(preemption.task);
  if (!ref.has_value() || !OccupiesWorker(*ref->task) || !ref->job->record.spec.repeatable) {
    return;
  }
  TaskEvent(EventCode::kTaskPreempted, *ref).With(event_field::kReason, preemption.reason).Emit();
  StopTask(*ref, preemption.mode);
}

void TaskLifecycle::Cancel(TrackedJob* job) {
  if (IsFinal(job->record.state) || job->cancel_requested) {
    return;
  }
  job->cancel_requested = true;
  context_.scheduler->Remove(job->record.id);
  for (TaskStatus& task : job->record.tasks) {
    const TaskRef ref{job, &task};
    if (task.state == TaskState::kQueued && held_tasks_.count(task.task) == 0) {
      task.state = TaskState::kCancelled;
    } else if (OccupiesWorker(task)) {
      StopTask(ref, StopMode::kStop);
    }
  }
  UpdateJob(job);
  JournalTask(TaskRef{job, &job->record.tasks.front()});
}

void TaskLifecycle::Expire(TrackedJob* job) {
  context_.scheduler->Remove(job->record.id);
  for (TaskStatus& task : job->record.tasks) {
    task.state = TaskState::kCancelled;
  }
  FinishJob(job, JobState::kExpired,
            "The deadline passed before the job could start; the job was not run.");
  JournalTask(TaskRef{job, &job->record.tasks.front()});
}

void TaskLifecycle::HandleStartConfirmed(const TaskStart& start) {
  const std::optional<TaskRef> ref = context_.jobs->FindTask(start.task);
  if (!ref.has_value() || !IsCurrent(*ref, start.attempt) ||
      ref->task->state != TaskState::kStarting) {
    return;
  }
  MarkRunning(*ref);
}

void TaskLifecycle::HandleStartFailed(const TaskStart& start) {
  const std::optional<TaskRef> ref = context_.jobs->FindTask(start.task);
  if (!ref.has_value() || !IsCurrent(*ref, start.attempt) ||
      ref->task->state != TaskState::kStarting) {
    return;
  }
  TaskEvent(EventCode::kTaskStartRefused, *ref).Emit();
  HandleAttemptLost(*ref, /*certainly_not_run=*/true, "The worker did not start the attempt.");
}

void TaskLifecycle::Reconcile(const WorkerId& worker, const WorkerInventory& inventory,
                              bool after_fence) {
  std::set<AttemptId> reported;
  for (const AttemptReport& report : inventory.attempts) {
    reported.insert(report.attempt);
    HandleReport(worker, inventory, report);
  }
  for (const TaskId& task : context_.jobs->TasksOn(worker)) {
    const std::optional<TaskRef> ref = context_.jobs->FindTask(task);
    if (ref.has_value() && reported.count(MakeAttemptId(task, ref->task->attempt_number)) == 0) {
      HandleMissingAttempt(*ref, inventory, after_fence);
    }
  }
  ended_attempts_.RetainReported(worker, reported);
}

void TaskLifecycle::HandleWorkerLost(const WorkerId& worker, const std::string& reason) {
  for (const TaskId& task : context_.jobs->TasksOn(worker)) {
    const std::optional<TaskRef> ref = context_.jobs->FindTask(task);
    if (ref.has_value()) {
      HandleAttemptLost(*ref, /*certainly_not_run=*/false, reason);
    }
  }
}

void TaskLifecycle::HandleLeaseExpiry(const WorkerId& worker) {
  for (const TaskId& task : context_.jobs->TasksOn(worker)) {
    const std::optional<TaskRef> ref = context_.jobs->FindTask(task);
    if (ref.has_value() && ref->job->record.spec.repeatable) {
      HandleAttemptLost(*ref, /*certainly_not_run=*/false,
                        "The worker is unreachable and the lease of the attempt has expired.");
    }
  }
}

HeartbeatPlan TaskLifecycle::PlanHeartbeat(const WorkerId& worker) {
  HeartbeatPlan plan;
  for (const TaskId& task : context_.jobs->TasksOn(worker)) {
    const std::optional<TaskRef> ref = context_.jobs->FindTask(task);
    if (ref.has_value()) {
      plan.renew.push_back(MakeAttemptId(task, ref->task->attempt_number));
    }
  }
  plan.acknowledge = ended_attempts_.DurableAttempts(worker, context_.journal->durable_sequence());
  return plan;
}

void TaskLifecycle::RetryJournal() {
  std::set<TaskId> tasks;
  tasks.swap(unjournalled_);
  for (const TaskId& task : tasks) {
    const std::optional<TaskRef> ref = context_.jobs->FindTask(task);
    if (!ref.has_value() || JournalTask(*ref) == kNotJournalled) {
      continue;
    }
    ended_attempts_.UpdateSequence(task, kNotJournalled, last_sequence_);
  }
}

bool TaskLifecycle::IsCurrent(const TaskRef& ref, const AttemptId& attempt) const {
  return MakeAttemptId(ref.task->task, ref.task->attempt_number) == attempt;
}

bool TaskLifecycle::MayHaveUnrecordedAttempt(const TrackedJob& job) const {
  return std::any_of(job.record.tasks.begin(), job.record.tasks.end(),
                     [this](const TaskStatus& task) { return held_tasks_.count(task.task) > 0; });
}

bool TaskLifecycle::IsUnrecordedStart(const TaskRef& ref, const AttemptId& attempt) const {
  return !takeover_complete_ && ref.job->inherited && ref.job->record.spec.repeatable &&
         !IsFinal(ref.task->state) && AttemptNumber(attempt) > ref.task->attempt_number;
}

void TaskLifecycle::HandleReport(const WorkerId& worker, const WorkerInventory& inventory,
                                 const AttemptReport& report) {
  const bool running = report.state == AttemptState::kRunning;
  const std::optional<TaskRef> ref = context_.jobs->FindTask(report.task);
  if (ref.has_value() && IsUnrecordedStart(*ref, report.attempt)) {
    Adopt(*ref, worker, inventory, report);
  }
  if (!ref.has_value() || !IsCurrent(*ref, report.attempt) || !OccupiesWorker(*ref->task) ||
      ref->task->worker != worker) {
    if (running) {
      context_.commands->SendStop(worker, report.attempt, StopMode::kStop);
    } else {
      ended_attempts_.Add(worker, report.attempt, 0);
    }
    return;
  }
  if (!running) {
    HandleAttemptEnd(*ref, report);
    return;
  }
  if (ref->task->state == TaskState::kStarting) {
    MarkRunning(*ref);
  }
  health_.HandleRunning(*ref, report);
  if (ref->job->stopping_tasks.count(report.task) > 0) {
    // The earlier stop command may have been lost.
    context_.commands->SendStop(worker, report.attempt, StopMode::kStop);
  }
}

void TaskLifecycle::Adopt(const TaskRef& ref, const WorkerId& worker,
                          const WorkerInventory& inventory, const AttemptReport& report) {
  if (OccupiesWorker(*ref.task)) {
    context_.jobs->RemoveFromWorker(*ref.task);
    context_.scheduler->Release(ref.task->task);
  } else {
    context_.scheduler->Unhold(ref.task->task);
  }
  held_tasks_.erase(ref.task->task);
  ref.task->attempt_number = AttemptNumber(report.attempt);
  ref.task->state = TaskState::kStarting;
  ref.task->worker = worker;
  ref.task->boot = inventory.boot;
  context_.scheduler->Adopt(ref.job->record, ref.task->task, worker);
  context_.jobs->AddToWorker(*ref.task);
  TaskEvent(EventCode::kTaskAdopted, ref).Emit();
  if (ref.job->cancel_requested) {
    StopTask(ref, StopMode::kStop);
  }
}

void TaskLifecycle::MarkRunning(const TaskRef& ref) {
  ref.task->state = TaskState::kRunning;
  if (!ref.job->record.started_at.has_value()) {
    ref.job->record.started_at = context_.clock->Now();
  }
  UpdateJob(ref.job);
  JournalTask(ref);
}

void TaskLifecycle::HandleAttemptEnd(const TaskRef& ref, const AttemptReport& report) {
  const WorkerId worker = ref.task->worker;
  const JobSpec& spec = ref.job->record.spec;
  const bool stopped_by_owner = ref.job->stopping_tasks.count(ref.task->task) > 0;
  ref.task->state = TaskState::kRunning;
  if (!ref.job->record.started_at.has_value()) {
    ref.job->record.started_at = context_.clock->Now();
  }
  health_.HandleEnd(ref, report);
  if (report.state == AttemptState::kSucceeded) {
    context_.scheduler->ObserveRun(spec.customer, spec.pool, report.run_time, report.used);
  }
  if (report.state == AttemptState::kSucceeded && spec.kind != JobKind::kService) {
    Finish(ref, TaskState::kSucceeded, report.result);
  } else if (stopped_by_owner) {
    HandleAttemptLost(ref, /*certainly_not_run=*/false, "The scheduler stopped the attempt.");
  } else if (report.state == AttemptState::kFailed && spec.kind != JobKind::kService) {
    if (spec.repeatable && ref.task->attempt_number < kMaxFailedAttempts) {
      HandleAttemptLost(ref, /*certainly_not_run=*/false, "The attempt failed.");
    } else {
      Finish(ref, TaskState::kFailed, report.result);
    }
  } else {
    HandleAttemptLost(ref, /*certainly_not_run=*/false, "The worker stopped the attempt.");
  }
  ended_attempts_.Add(worker, report.attempt, last_sequence_);
}

void TaskLifecycle::HandleMissingAttempt(const TaskRef& ref, const WorkerInventory& inventory,
                                         bool after_fence) {
  const bool same_boot = ref.task->boot == inventory.boot;
  if (ref.task->state == TaskState::kStarting) {
    // Without a fence, a start may still be in transit; the worker's link reports the outcome of
    // each start that it sent.
    if (after_fence) {
      HandleAttemptLost(ref, /*certainly_not_run=*/same_boot,
                        "The worker does not report the attempt.");
    }
    return;
  }
  HandleAttemptLost(ref, /*certainly_not_run=*/false, "The worker no longer reports the attempt.");
}

void TaskLifecycle::HandleAttemptLost(const TaskRef& ref, bool certainly_not_run,
                                      const std::string& reason) {
  TrackedJob* const job = ref.job;
  const bool repeatable = job->record.spec.repeatable;
  if (job->cancel_requested) {
    const bool may_have_run = !certainly_not_run && ref.task->state == TaskState::kStarting;
    Finish(ref, may_have_run ? TaskState::kUnknown : TaskState::kCancelled, reason);
    return;
  }
  if (!repeatable && !certainly_not_run) {
    TaskEvent(EventCode::kTaskOutcomeUnknown, ref).With(event_field::kReason, reason).Emit();
    Finish(ref, TaskState::kUnknown, reason);
    return;
  }
  Requeue(ref, reason);
  if (job->record.spec.kind == JobKind::kGang) {
    RestartOrFailGang(job);
    // The loss of this task may have ended the gang.
    UpdateJob(job);
    JournalTask(ref);
  }
}

void TaskLifecycle::Requeue(const TaskRef& ref, const std::string& reason) {
  TaskEvent(EventCode::kTaskRequeued, ref).With(event_field::kReason, reason).Emit();
  context_.jobs->RemoveFromWorker(*ref.task);
  ref.job->stopping_tasks.erase(ref.task->task);
  ref.task->state = TaskState::kQueued;
  ref.task->worker = WorkerId();
  ref.task->boot = BootId();
  if (ref.job->record.spec.kind == JobKind::kGang) {
    context_.scheduler->Release(ref.task->task);
  } else {
    context_.scheduler->Requeue(ref.task->task);
    if (ref.job->inherited && !takeover_complete_) {
      // An attempt later than the one in the journal may be running on a worker that has not been
      // fenced yet.
      context_.scheduler->Hold(ref.task->task);
      held_tasks_.insert(ref.task->task);
    }
  }
  UpdateJob(ref.job);
  JournalTask(ref);
}

void TaskLifecycle::Finish(const TaskRef& ref, TaskState state, const std::string& result) {
  context_.jobs->RemoveFromWorker(*ref.task);
  context_.scheduler->Release(ref.task->task);
  ref.job->stopping_tasks.erase(ref.task->task);
  ref.task->state = state;
  ref.task->result = result;
  TaskEvent(EventCode::kTaskEnded, ref).Emit();
  if (ref.job->record.spec.kind == JobKind::kGang) {
    if (state == TaskState::kSucceeded) {
      FinishGangRestart(ref.job);
    } else {
      RestartOrFailGang(ref.job);
    }
  }
  UpdateJob(ref.job);
  JournalTask(ref);
}

void TaskLifecycle::RestartOrFailGang(TrackedJob* job) {
  if (job->cancel_requested) {
    return;
  }
  const bool any_failed =
      std::any_of(job->record.tasks.begin(), job->record.tasks.end(), [](const TaskStatus& task) {
        return IsFinal(task.state) && task.state != TaskState::kSucceeded;
      });
  // A restart runs all tasks again, so a gang that may not be repeated is restarted only if none of
  // its tasks has succeeded.
  const bool restart = !any_failed && (job->record.spec.repeatable || !AnySucceeded(job->record));
  if (!restart || !job->gang_restarting) {
    context_.scheduler->Remove(job->record.id);
    for (TaskStatus& task : job->record.tasks) {
      if (OccupiesWorker(task)) {
        StopTask(TaskRef{job, &task}, StopMode::kStop);
      } else if (!restart && task.state == TaskState::kQueued) {
        task.state = TaskState::kFailed;
        task.result =
            "Not started: another task of the gang has ended and the gang cannot be restarted.";
      }
    }
  }
  job->gang_restarting = restart;
  job->cancel_requested = !restart;
  FinishGangRestart(job);
}

void TaskLifecycle::FailGangIfPartlyRun(TrackedJob* job) {
  if (AnySucceeded(job->record)) {
    RestartOrFailGang(job);
  }
}

void TaskLifecycle::FinishGangRestart(TrackedJob* job) {
  const bool occupied =
      std::any_of(job->record.tasks.begin(), job->record.tasks.end(), OccupiesWorker);
  if (!job->gang_restarting || occupied) {
    return;
  }
  job->gang_restarting = false;
  if (!job->record.spec.repeatable) {
    // A task may have succeeded before its stop command took effect.
    FailGangIfPartlyRun(job);
    if (job->cancel_requested) {
      return;
    }
  }
  for (TaskStatus& task : job->record.tasks) {
    task.state = TaskState::kQueued;
  }
  context_.scheduler->Enqueue(job->record);
  if (job->inherited && !takeover_complete_) {
    for (const TaskStatus& task : job->record.tasks) {
      context_.scheduler->Hold(task.task);
      held_tasks_.insert(task.task);
    }
  }
}

void TaskLifecycle::StopTask(const TaskRef& ref, StopMode mode) {
  ref.job->stopping_tasks.insert(ref.task->task);
  context_.commands->SendStop(ref.task->worker,
                              MakeAttemptId(ref.task->task, ref.task->attempt_number), mode);
}

void TaskLifecycle::UpdateJob(TrackedJob* job) {
  if (IsFinal(job->record.state)) {
    return;
  }
  JobProgress progress = DeriveProgress(*job);
  if (IsFinal(progress.state)) {
    FinishJob(job, progress.state, std::move(progress.reason));
    return;
  }
  job->record.state = progress.state;
  job->record.reason = std::move(progress.reason);
}

void TaskLifecycle::FinishJob(TrackedJob* job, JobState state, std::string reason) {
  job->record.state = state;
  job->record.reason = std::move(reason);
  job->record.finished_at = context_.clock->Now();
  ended_jobs_.insert(job->record.id);
}

void TaskLifecycle::RecordJobEnd(const TrackedJob& job) {
  const JobState state = job.record.state;
  context_.events
      ->Record(state == JobState::kCancelled ? EventCode::kJobCancelled : EventCode::kJobFinished)
      .Job(job.record.id)
      .Customer(job.record.spec.customer)
      .With(event_field::kState, JobStateName(state))
      .With(event_field::kReason, EndedWithoutRun(job.record) ? kNotRunReason : "")
      .Emit();
}

uint64_t TaskLifecycle::JournalTask(const TaskRef& ref) {
  const JobRecord& record = ref.job->record;
  last_sequence_ = context_.journal->Append(TaskUpdate{
      record.id, *ref.task, record.state, record.reason, record.started_at, record.finished_at});
  if (last_sequence_ == kRefusedRecord) {
    last_sequence_ = kNotJournalled;
    unjournalled_.insert(ref.task->task);
  }
  ref.job->last_sequence = last_sequence_;
  return last_sequence_;
}

EventBuilder TaskLifecycle::TaskEvent(EventCode code, const TaskRef& ref) {
  EventBuilder builder = context_.events->Record(code);
  builder.Job(ref.job->record.id)
      .Task(ref.task->task)
      .Attempt(MakeAttemptId(ref.task->task, ref.task->attempt_number))
      .Worker(ref.task->worker)
      .With(event_field::kState, TaskStateName(ref.task->state));
  return builder;
}

}  // namespace pomelotray
