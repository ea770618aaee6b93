// The part of PoolScheduler that processes reports and answers of workers: running attempts,
// attempt ends and failures.

#include <algorithm>
#include <utility>

#include "cell/ownership/pool_scheduler.h"

namespace pomelotray {
namespace {

// A worker is quarantined after attempts of this many jobs failed on it without a success in
// between. If 5% of all tasks fail through their own fault, three such failures in a row occur once
// in 8,000.
constexpr size_t kQuarantineFailedJobs = 3;
// Two thirds of the shortest published duration of a worker failure (6.5 s).
constexpr absl::Duration kQuarantineDuration = absl::Seconds(4);
// An attempt that makes no progress for this long is stopped, and its task is started on another
// worker. Reports arrive once a second.
constexpr absl::Duration kStallTimeout = absl::Milliseconds(2500);
// Twice the interval of holds. A longer time between two reports means that the worker was
// unreachable or paused.
constexpr absl::Duration kMaxReportGap = absl::Seconds(2);
// Reported progress of a long-running attempt that is at work.
constexpr int kAtWorkPercent = 100;
// A long-running attempt that ends within this time of its start delays the next start of its task.
constexpr absl::Duration kShortAttempt = absl::Seconds(1);
// Delay after the second of several such attempts in a row; it doubles with each further one. A
// task must not be out of service for longer than three seconds.
constexpr absl::Duration kMinRestartDelay = absl::Milliseconds(250);
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(2);
// Longer than a worker needs to stop an attempt (at most 0.9 s). The attempt occupies its capacity
// until then, whether the worker still lists it or not.
constexpr absl::Duration kMaxStopDuration = absl::Milliseconds(1500);

// Returns whether an attempt is over that is neither running nor ended according to a report
// requested at `sent`.
bool IsOverWithoutEnd(const Attempt& attempt, absl::Time sent) {
  if (attempt.stop_sent_at > absl::InfinitePast() && attempt.listed) {
    return attempt.stop_sent_at + kMaxStopDuration < sent;
  }
  return attempt.stop_confirmed_at < sent ||
         (attempt.phase == AttemptPhase::kRunning && attempt.confirmed_at < sent);
}

}  // namespace

bool PoolScheduler::IsCurrent(const CellWorker& worker, const Attempt& attempt) {
  if (!attempt.task.has_value()) {
    return false;
  }
  const StepRun* run = FindStepRun(*attempt.task);
  if (run == nullptr) {
    return false;
  }
  const CellTask& task = run->tasks[attempt.task->task];
  return task.phase == TaskPhase::kActive && task.last_run == attempt.key.run &&
         task.worker == worker.description.id;
}

void PoolScheduler::DropAttempt(CellWorker* worker, const AttemptKey& key, const char* reason,
                                bool avoid_worker, absl::Time now) {
  const auto it = worker->attempts.find(key);
  if (it == worker->attempts.end()) {
    return;
  }
  const Attempt attempt = it->second;
  const bool current = IsCurrent(*worker, attempt);
  worker->used -= attempt.reserved;
  worker->attempts.erase(it);
  if (!current) {
    return;
  }
  StepRun* run = FindStepRun(*attempt.task);
  CellTask& task = run->tasks[attempt.task->task];
  task.phase = TaskPhase::kWaiting;
  ++run->waiting;
  if (attempt.estimate == absl::InfiniteDuration()) {
    task.restart.Begin(std::min(worker->unreachable_since, now), now);
  }
  KeepCheckpoint(attempt);
  CellJob* const job = FindJob(attempt.task->job);
  if (attempt.begun && !job->begun_in_store) {
    // No worker can tell the next owner any more that the job has begun.
    MarkChanged(job);
  }
  if (avoid_worker) {
    task.avoided_worker = worker->description.id;
  }
  if (reason == nullptr) {
    return;
  }
  StopGang(*attempt.task, key.run);
  events_->Record(EventCode::kTaskRequeued)
      .Job(attempt.task->job)
      .Task(TaskId(key.task))
      .With("run", key.run.value())
      .Worker(worker->description.id)
      .With(event_field::kReason, reason)
      .Emit();
}

void PoolScheduler::NoteBegun(Attempt* attempt) {
  attempt->begun = true;
  CellJob* const job = attempt->task.has_value() ? FindJob(attempt->task->job) : nullptr;
  if (job != nullptr) {
    NoteBegun(job);
  }
}

void PoolScheduler::NoteBegun(CellJob* job) {
  if (job->state == CellJobState::kQueued) {
    job->state = CellJobState::kRunning;
    job->visible = CellJobState::kRunning;
  }
}

void PoolScheduler::KeepCheckpoint(const Attempt& attempt) {
  if (attempt.checkpoint.empty()) {
    return;
  }
  StepRun* run = FindStepRun(*attempt.task);
  if (!FindJob(attempt.task->job)->Step(*run).gang) {
    run->tasks[attempt.task->task].checkpoint = attempt.checkpoint;
    return;
  }
  if (attempt.checkpoint_received_at < run->gang_checkpoint_received_at) {
    return;
  }
  run->gang_checkpoint_received_at = attempt.checkpoint_received_at;
  for (CellTask& member : run->tasks) {
    member.checkpoint = attempt.checkpoint;
  }
}

void PoolScheduler::ApplyReport(const WorkerId& id, const WorkerReport& report, absl::Time sent,
                                absl::Time received) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  if (worker->started_at == report.started_at) {
    if (worker->losses_expected) {
      RetractLosses(worker);
    }
  } else {
    if (worker->started_at != absl::InfinitePast()) {
      events_->Record(EventCode::kWorkerRestored)
          .Worker(id)
          .With(event_field::kReason, "the worker process was restarted")
          .Emit();
      LoseAttempts(worker, WorkerLossCause::kCrashed, received);
      speeds_.ForgetWorker(id);
      interference_.ForgetWorker(id);
    }
    worker->started_at = report.started_at;
    worker->last_reported_end = EndNumber(0);
    worker->acknowledged = EndNumber(0);
    worker->unacknowledged.clear();
    worker->fully_reported = false;
  }
  if (!worker->fenced) {
    worker->fenced = true;
    events_->Record(EventCode::kWorkerFenced)
        .Worker(id)
        .With("running", static_cast<int64_t>(report.running.size()))
        .With("ended", static_cast<int64_t>(report.ended.size()))
        .Emit();
  }
  worker->clock = report.clock;
  worker->clock_read_at = received;
  if (sent - worker->last_report > kMaxReportGap) {
    // A gap between reports is not evidence of a stalled attempt: the worker itself may have been
    // paused.
    ResetProgressTimers(worker, received);
    worker->reports_resumed_at = received;
  }
  worker->last_report = std::max(worker->last_report, sent);
  worker->unreachable_since = absl::InfiniteFuture();
  for (const EndedAttempt& ended : report.ended) {
    if (ended.number > worker->last_reported_end) {
      worker->last_reported_end = ended.number;
      ApplyEnd(worker, ended, received);
    }
  }
  for (const RunningAttempt& running : report.running) {
    ApplyRunning(worker, running, received);
  }
  ApplyAbsences(worker, report, sent, received);
  AdvanceAcknowledged(worker);
}

void PoolScheduler::ApplyAbsences(CellWorker* worker, const WorkerReport& report, absl::Time sent,
                                  absl::Time received) {
  const WorkerId& id = worker->description.id;
  const bool inherited = unreported_workers_.erase(id) > 0;
  if (report.may_omit_ends) {
    if (inherited) {
      partly_reported_workers_.insert(id);
    }
    // Attempts that seem to make no progress may have ended.
    ResetProgressTimers(worker, received);
    return;
  }
  partly_reported_workers_.erase(id);
  worker->fully_reported = true;
  DropUnlistedAttempts(worker, report, sent, received);
  StopStalledAttempts(worker, received);
  ClearSurvivors(worker);
}

void PoolScheduler::ResetProgressTimers(CellWorker* worker, absl::Time now) {
  for (auto& [key, attempt] : worker->attempts) {
    if (attempt.phase == AttemptPhase::kRunning) {
      attempt.progress_at = now;
    }
  }
}

void PoolScheduler::ApplyRunning(CellWorker* worker, const RunningAttempt& running,
                                 absl::Time now) {
  const auto it = worker->attempts.find(running.key);
  if (it == worker->attempts.end()) {
    AdoptAttempt(worker, running, now);
    return;
  }
  Attempt& attempt = it->second;
  if (!attempt.listed && attempt.task.has_value()) {
    RetractLoss(*attempt.task, attempt.key.run);
  }
  if (IsCurrent(*worker, attempt)) {
    EndWait(*attempt.task, worker->description.id, now);
  }
  attempt.phase = AttemptPhase::kRunning;
  attempt.listed = true;
  NoteBegun(&attempt);
  attempt.confirmed_at = std::min(attempt.confirmed_at, now);
  if (running.percent != attempt.percent) {
    // A long-running attempt never succeeds, but it shows that the worker can run tasks.
    if (attempt.estimate == absl::InfiniteDuration() && running.percent >= kAtWorkPercent) {
      worker->failed_jobs.clear();
    }
    attempt.percent = running.percent;
    attempt.progress_at = now;
  }
  attempt.ApplyCheckpoint(running.checkpoint, now);
  if (IsCurrent(*worker, attempt)) {
    const CellJob& job = *FindJob(attempt.task->job);
    const StepRun& run = job.runs[attempt.task->run];
    speeds_.NoteRunning(job, run, *worker, attempt, running, now);
    interference_.NoteRunning(job, run, *worker, attempt, running, now);
  }
}

bool PoolScheduler::BindAttempt(CellWorker* worker, Attempt* attempt) {
  attempt->task = ResolveTaskName(attempt->key.task);
  const CellJob* const known_job = FindJobOfTask(attempt->key.task);
  if (known_job != nullptr) {
    attempt->customer = known_job->intake.customer;
  }
  bool wanted = false;
  if (attempt->task.has_value()) {
    StepRun* run = FindStepRun(*attempt->task);
    CellJob* job = FindJob(attempt->task->job);
    CellTask& task = run->tasks[attempt->task->task];
    SetDemand(job->Step(*run), attempt);
    attempt->isolated = NeedsIsolation(job->Step(*run), task);
    // The roster may be older than the last starts of the earlier owner and list an attempt that
    // had already been replaced by a newer one.
    const bool replaces = task.phase == TaskPhase::kActive && attempt->key.run > task.last_run;
    const bool newest =
        (task.phase == TaskPhase::kWaiting || replaces) && attempt->key.run >= task.last_run;
    wanted = newest && !job->cancel_requested && !attempt->stop_wanted;
    if (newest) {
      // An attempt that is being stopped may still run, so its task does not wait for a start.
      if (replaces) {
        StopAttempt(task.worker, AttemptKey{attempt->key.task, task.last_run});
      } else {
        --run->waiting;
      }
      task.phase = TaskPhase::kActive;
      task.worker = worker->description.id;
      task.last_run = attempt->key.run;
    }
    if (wanted) {
      EndWait(*attempt->task, worker->description.id, attempt->known_since);
    }
  } else {
    ReserveForUnboundAttempt(attempt);
  }
  attempt->stop_wanted = !wanted;
  worker->used += attempt->reserved;
  return wanted;
}

void PoolScheduler::InheritAttempts(CellWorker* worker, const RosterEntry& entry, absl::Time now) {
  for (const AttemptKey& key : entry.attempts) {
    Attempt attempt;
    attempt.key = key;
    // The start counts as confirmed, since the earlier owner listed the attempt. The worker's first
    // report shows whether it still runs.
    attempt.phase = AttemptPhase::kRunning;
    attempt.confirmed_at = absl::InfinitePast();
    attempt.known_since = now;
    attempt.stop_wanted =
        std::find(entry.stopping.begin(), entry.stopping.end(), key) != entry.stopping.end();
    const bool wanted = BindAttempt(worker, &attempt);
    if (std::find(entry.unconfirmed.begin(), entry.unconfirmed.end(), key) ==
        entry.unconfirmed.end()) {
      NoteBegun(&attempt);
    }
    RecordAdoption(*worker, attempt, wanted, "roster");
    worker->attempts.emplace(key, std::move(attempt));
  }
}

void PoolScheduler::AdoptAttempt(CellWorker* worker, const RunningAttempt& running,
                                 absl::Time now) {
  Attempt attempt;
  attempt.key = running.key;
  attempt.phase = AttemptPhase::kRunning;
  attempt.listed = true;
  attempt.confirmed_at = now;
  attempt.known_since = now;
  attempt.percent = running.percent;
  attempt.progress_at = now;
  attempt.ApplyCheckpoint(running.checkpoint, now);
  const bool wanted = BindAttempt(worker, &attempt);
  NoteBegun(&attempt);
  if (attempt.task.has_value()) {
    RetractLoss(*attempt.task, attempt.key.run);
  }
  RecordAdoption(*worker, attempt, wanted, "report");
  worker->attempts.emplace(running.key, std::move(attempt));
}

void PoolScheduler::RecordAdoption(const CellWorker& worker, const Attempt& attempt, bool wanted,
                                   const char* source) const {
  events_->Record(EventCode::kTaskAdopted)
      .Task(TaskId(attempt.key.task))
      .With("run", attempt.key.run.value())
      .Worker(worker.description.id)
      .With(event_field::kState, wanted ? "adopted" : "stopping")
      .With("source", source)
      .With("begun", attempt.begun ? 1 : 0)
      .Emit();
}

void PoolScheduler::ReserveForUnboundAttempt(Attempt* attempt) {
  // A job in a final state has no tasks any more, but its specification still has the resource
  // demand of each step.
  const CellJob* const job = FindJobOfTask(attempt->key.task);
  TaskNameParts parts;
  ParseTaskName(attempt->key.task, &parts);
  if (job != nullptr && parts.step < static_cast<int>(job->intake.spec.steps.size())) {
    SetDemand(job->intake.spec.steps[parts.step], attempt);
  } else {
    attempt->unknown_demand = true;
  }
}

void PoolScheduler::ApplyEnd(CellWorker* worker, const EndedAttempt& ended, absl::Time now) {
  const std::optional<TaskRef> ref = ResolveTaskName(ended.key.task);
  const auto it = worker->attempts.find(ended.key);
  const bool superseded = it != worker->attempts.end() && !IsCurrent(*worker, it->second);
  if (it != worker->attempts.end() && !superseded) {
    CellTask& task = FindStepRun(*ref)->tasks[ref->task];
    DelayRestart(it->second, &task, now);
  }
  if (it != worker->attempts.end()) {
    it->second.ApplyCheckpoint(ended.checkpoint, now);
  }
  events_->Record(EventCode::kTaskEnded)
      .Task(TaskId(ended.key.task))
      .With("run", ended.key.run.value())
      .Worker(worker->description.id)
      .With("end", AttemptEndName(ended.end))
      .Emit();
  if (worker->fully_reported && it == worker->attempts.end()) {
    events_->Record(EventCode::kUnexpectedEnd)
        .Task(TaskId(ended.key.task))
        .With("run", ended.key.run.value())
        .Worker(worker->description.id)
        .With("number", ended.number.value())
        .Emit();
  }
  const bool succeeded = ended.end == AttemptEnd::kSucceeded;
  if (succeeded && it != worker->attempts.end() && !superseded) {
    LearnFromSuccess(*worker, it->second, now);
  }
  DropAttempt(worker, ended.key, succeeded ? nullptr : "the attempt ended without success",
              ended.end == AttemptEnd::kFailed, now);
  if (ref.has_value()) {
    RetractLoss(*ref, ended.key.run);
  }
  UnacknowledgedEnd pending{ended.number, ended.key, JobId(), 0};
  CellJob* job = ref.has_value() ? FindJob(ref->job) : nullptr;
  if (job != nullptr && !IsFinal(job->state)) {
    // A short attempt may end before any report lists it as running.
    NoteBegun(job);
    StepRun* run = FindStepRun(*ref);
    const JobId id = job->intake.id;
    if (succeeded) {
      if (job->Step(*run).long_running) {
        ApplyLongRunningEnd(job, run, *ref);
      } else {
        ApplySuccess(job, run, *ref, now);
      }
      worker->failed_jobs.clear();
    } else if (ended.end == AttemptEnd::kFailed && !superseded) {
      RecordWorkerFailure(worker, id, now);
      ApplyFailure(job, run, *ref, ended, now);
    } else {
      MarkChanged(job);
    }
  }
  // This includes jobs whose final state is not stored yet: the end of one member of a gang
  // completes the job, and the other members end after that.
  const CellJob* const known_job = FindJobOfTask(ended.key.task);
  if (known_job != nullptr) {
    pending.job = known_job->intake.id;
    pending.version = known_job->version;
  }
  worker->unacknowledged.push_back(pending);
}

void PoolScheduler::ApplySuccess(CellJob* job, StepRun* run, const TaskRef& ref, absl::Time now) {
  const bool gang = job->Step(*run).gang;
  for (size_t i = 0; i < run->tasks.size(); ++i) {
    CellTask& task = run->tasks[i];
    // The tasks of a gang succeed together: the successful end of one is applied to all.
    if ((!gang && static_cast<int>(i) != ref.task) || task.phase == TaskPhase::kSucceeded) {
      continue;
    }
    if (task.phase == TaskPhase::kWaiting) {
      --run->waiting;
    } else if (!gang) {
      // Stops a newer attempt that was started because the successful one was considered over.
      StopAttempt(task.worker,
                  AttemptKey{TaskName(*job, *run, static_cast<int>(i)), task.last_run});
    }
    task.phase = TaskPhase::kSucceeded;
    task.checkpoint.clear();
    ++run->succeeded;
  }
  MarkChanged(job);
  FinishIfComplete(job, now);
}

void PoolScheduler::StopGang(const TaskRef& task, std::optional<RunNumber> run) {
  const CellJob* job = FindJob(task.job);
  const StepRun* step_run = FindStepRun(task);
  if (step_run == nullptr || !job->Step(*step_run).gang) {
    return;
  }
  for (size_t i = 0; i < step_run->tasks.size(); ++i) {
    const CellTask& member = step_run->tasks[i];
    const AttemptKey key{TaskName(*job, *step_run, static_cast<int>(i)), member.last_run};
    if (member.phase == TaskPhase::kActive && key.run == run.value_or(key.run) &&
        StopAttempt(member.worker, key)) {
      events_->Record(EventCode::kTaskPreempted)
          .Task(TaskId(key.task))
          .Worker(member.worker)
          .With(event_field::kReason, "another member of the gang is missing")
          .Emit();
    }
  }
}

bool PoolScheduler::StopAttempt(const WorkerId& id, const AttemptKey& key) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return false;
  }
  const auto it = worker->attempts.find(key);
  if (it == worker->attempts.end() || it->second.stop_wanted) {
    return false;
  }
  it->second.stop_wanted = true;
  return true;
}

void PoolScheduler::ApplyLongRunningEnd(CellJob* job, StepRun* run, const TaskRef& ref) {
  run->tasks[ref.task].losses.Clear();
  MarkChanged(job);
}

void PoolScheduler::DelayRestart(const Attempt& attempt, CellTask* task, absl::Time now) {
  if (attempt.estimate < absl::InfiniteDuration() || attempt.stop_wanted) {
    return;
  }
  if (now - attempt.known_since > kShortAttempt) {
    task->short_attempts = 0;
    return;
  }
  ++task->short_attempts;
  absl::Duration delay = absl::ZeroDuration();
  for (int i = 1; i < task->short_attempts && delay < kMaxRestartDelay; ++i) {
    delay = std::max(kMinRestartDelay, delay * 2);
  }
  task->start_not_before = now + std::min(delay, kMaxRestartDelay);
}

void PoolScheduler::ApplyFailure(CellJob* job, StepRun* run, const TaskRef& ref,
                                 const EndedAttempt& ended, absl::Time now) {
  const StepSpec& step = job->Step(*run);
  if (step.long_running) {
    ApplyLongRunningEnd(job, run, ref);
    return;
  }
  run->tasks[ref.task].losses.Clear();
  std::set<RunNumber>& failed =
      step.gang ? run->gang_failed_runs : run->tasks[ref.task].failed_runs;
  failed.insert(ended.key.run);
  if (static_cast<int>(failed.size()) >= job->intake.policy.max_attempts) {
    Finish(job, CellJobState::kFailed, now, ended.key.task + " failed in its last allowed attempt");
  } else {
    MarkChanged(job);
  }
}

void PoolScheduler::RecordWorkerFailure(CellWorker* worker, const JobId& job, absl::Time now) {
  worker->failed_jobs.insert(job);
  if (worker->failed_jobs.size() >= kQuarantineFailedJobs) {
    worker->quarantined_until = now + kQuarantineDuration;
    events_->Record(EventCode::kWorkerQuarantined)
        .Worker(worker->description.id)
        .With("failed_jobs", static_cast<int64_t>(worker->failed_jobs.size()))
        .Emit();
  }
}

void PoolScheduler::DropUnlistedAttempts(CellWorker* worker, const WorkerReport& report,
                                         absl::Time sent, absl::Time received) {
  std::set<AttemptKey> running;
  for (const RunningAttempt& attempt : report.running) {
    running.insert(attempt.key);
  }
  std::vector<AttemptKey> unlisted;
  for (const auto& [key, attempt] : worker->attempts) {
    if (running.count(key) == 0 && IsOverWithoutEnd(attempt, sent)) {
      unlisted.push_back(key);
    }
  }
  for (const AttemptKey& key : unlisted) {
    DropAttempt(worker, key, "the worker no longer lists the attempt", false, received);
  }
}

void PoolScheduler::StopStalledAttempts(CellWorker* worker, absl::Time now) {
  std::vector<std::pair<TaskRef, RunNumber>> stalled;
  for (auto& [key, attempt] : worker->attempts) {
    if (attempt.phase != AttemptPhase::kRunning || attempt.stop_wanted ||
        attempt.percent >= kAtWorkPercent || now - attempt.progress_at < kStallTimeout ||
        !IsCurrent(*worker, attempt)) {
      continue;
    }
    attempt.stop_wanted = true;
    stalled.emplace_back(*attempt.task, key.run);
    FindStepRun(*attempt.task)->tasks[attempt.task->task].avoided_worker = worker->description.id;
    RecordWorkerFailure(worker, attempt.task->job, now);
    events_->Record(EventCode::kTaskPreempted)
        .Task(TaskId(key.task))
        .Worker(worker->description.id)
        .With(event_field::kReason, "the attempt made no progress")
        .With("percent", attempt.percent)
        .With("age_ms", absl::ToInt64Milliseconds(now - attempt.progress_at))
        .Emit();
  }
  for (const auto& [task, run] : stalled) {
    StopGang(task, run);
  }
}

void PoolScheduler::StartFinished(const WorkerId& id, const AttemptKey& key,
                                  const OrderOutcome& outcome, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr || worker->attempts.count(key) == 0) {
    return;
  }
  Attempt& attempt = worker->attempts[key];
  if (outcome.answer.has_value() && attempt.sent_at > absl::InfinitePast()) {
    statistics_.AddAnswered(now - attempt.sent_at, outcome.answer == OrderAnswer::kTicketRefused);
  }
  if (outcome.answer == OrderAnswer::kAccepted) {
    NoteBegun(&attempt);
    if (attempt.phase == AttemptPhase::kOrdered) {
      attempt.phase = AttemptPhase::kRunning;
      attempt.confirmed_at = now;
      attempt.progress_at = now;
      if (IsCurrent(*worker, attempt)) {
        EndWait(*attempt.task, id, now);
      }
    }
    return;
  }
  events_->Record(EventCode::kTaskStartRefused)
      .Task(TaskId(key.task))
      .With("run", key.run.value())
      .Worker(id)
      .With("answer", OrderOutcomeName(outcome))
      .Emit();
  if (!outcome.answer.has_value() && !outcome.never_sent) {
    if (attempt.phase == AttemptPhase::kOrdered) {
      attempt.phase = AttemptPhase::kUncertain;
      attempt.stop_wanted = true;
      if (IsCurrent(*worker, attempt)) {
        StopGang(*attempt.task, key.run);
      }
    }
    MarkUnreachable(worker, now);
    return;
  }
  if (outcome.never_sent && attempt.stop_wanted) {
    // The start was not sent because it is not wanted any more, which says nothing of the worker.
    DropAttempt(worker, key, "the start was given up before it was sent", false, now);
    return;
  }
  const bool ran_out =
      outcome.never_sent && attempt.sent_at == absl::InfinitePast() && attempt.TicketRanOut(now);
  if (ran_out || outcome.answer == OrderAnswer::kTicketRefused) {
    ExpireTicket(id, attempt);
  } else {
    worker->unanswered_at = now;
  }
  if (ran_out) {
    statistics_.AddTicketRanOut();
    DropAttempt(worker, key, "the ticket ran out before the start could be sent", false, now);
    return;
  }
  DropAttempt(worker, key, "the worker refused the start or it could not be sent", true, now);
}

void PoolScheduler::ExpireTicket(const WorkerId& id, const Attempt& attempt) {
  StepRun* run = attempt.task.has_value() ? FindStepRun(*attempt.task) : nullptr;
  if (run == nullptr) {
    return;
  }
  const auto ticket = run->advice.allowed.find(id);
  if (ticket != run->advice.allowed.end() &&
      ticket->second.received == attempt.ticket_received_at) {
    ticket->second.expires = absl::InfinitePast();
  }
}

bool PoolScheduler::ResolveStoppedAttempt(const WorkerId& id, const AttemptKey& key,
                                          const WorkerReport& report, absl::Time sent,
                                          absl::Time now) {
  CellWorker* worker = FindWorker(id);
  const auto it =
      worker == nullptr ? std::map<AttemptKey, Attempt>::iterator() : worker->attempts.find(key);
  if (worker == nullptr || it == worker->attempts.end()) {
    return false;
  }
  const Attempt& attempt = it->second;
  const auto is_key = [&key](const auto& entry) { return entry.key == key; };
  const bool listed = attempt.listed ||
                      std::any_of(report.running.begin(), report.running.end(), is_key) ||
                      std::any_of(report.ended.begin(), report.ended.end(), is_key);
  // Listed attempts are handled with the reports of holds, which also acknowledge ends.
  if (listed || report.may_omit_ends || attempt.phase != AttemptPhase::kUncertain ||
      attempt.stop_confirmed_at >= sent || report.started_at != worker->started_at) {
    return false;
  }
  DropAttempt(worker, key, "the worker never started the attempt", false, now);
  return true;
}

void PoolScheduler::StopFinished(const WorkerId& id, const AttemptKey& key,
                                 const OrderOutcome& outcome, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  const auto it = worker->attempts.find(key);
  if (it != worker->attempts.end() && outcome.answer == OrderAnswer::kAccepted) {
    it->second.stop_confirmed_at = std::min(it->second.stop_confirmed_at, now);
  }
}

}  // namespace pomelotray
