#include "cell/pool_scheduler.h"

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Distance between the attempt numbers of successive owners: more attempts than one owner can give
// one task.
constexpr int64_t kRunsPerTerm = 100'000;
// A stop without an answer is sent again after this time: several inter-region round trips.
constexpr absl::Duration kStopResend = absl::Seconds(1);
// Failures of this many jobs without a success in between make a worker suspect: with a twentieth
// of all tasks failing by their own fault, three in a row happen once in 8,000.
constexpr size_t kQuarantineJobs = 3;
// Two thirds of the shortest published failure of a worker (6.5 s).
constexpr absl::Duration kQuarantine = absl::Seconds(4);
// A task whose progress stands still this long is started elsewhere. Reports arrive once a second.
constexpr absl::Duration kStallLimit = absl::Milliseconds(2500);
// A worker without a report for this long, two holds, is written into the roster as unreachable.
constexpr absl::Duration kFreezeAfter = absl::Seconds(2);
// An earlier owner whose claim was taken away learns of it, like of new jobs, by watches: this is
// more than their answers can differ, also when the store is slow.
constexpr absl::Duration kStaleOwnerLimit = absl::Milliseconds(300);
// Pause after a question that failed.
constexpr absl::Duration kAdviceRetry = absl::Milliseconds(200);
// A stop takes at most 0.9 s; a task that is being stopped occupies its room meanwhile, whether the
// worker still lists it or not.
constexpr absl::Duration kStopTime = absl::Milliseconds(1500);
// Clock reading and scheduling delays beyond the drift of a lease.
constexpr absl::Duration kLeaseSlack = absl::Milliseconds(300);

// Whether an attempt that is missing from a report, which was asked for at `sent`, is over although
// no end was listed.
bool HasVanished(const Attempt& attempt, absl::Time sent) {
  if (attempt.stop_sent_at > absl::InfinitePast() && attempt.listed) {
    return attempt.stop_sent_at + kStopTime < sent;
  }
  return attempt.stop_confirmed_at < sent ||
         (attempt.phase == AttemptPhase::kRunning && attempt.confirmed_at < sent);
}

void SetNeeds(const StepSpec& step, Attempt* attempt) {
  attempt->reserved = ReservedFor(step);
  attempt->serves = IsServing(step);
  attempt->fills = step.fills;
}

const char* EndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return "succeeded";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kStopped:
      return "stopped";
    case AttemptEnd::kLeaseExpired:
      return "lease expired";
    case AttemptEnd::kGangBroken:
      return "gang broken";
    case AttemptEnd::kGangIncomplete:
      return "gang incomplete";
  }
  return "unknown";
}

const char* AnswerName(const OrderOutcome& outcome) {
  if (!outcome.answer.has_value()) {
    return outcome.never_sent ? "not sent" : "no answer";
  }
  switch (*outcome.answer) {
    case OrderAnswer::kAccepted:
      return "accepted";
    case OrderAnswer::kFenced:
      return "fenced";
    case OrderAnswer::kSuperseded:
      return "superseded";
    case OrderAnswer::kLeaseOver:
      return "lease over";
    case OrderAnswer::kNoRoom:
      return "no room";
    case OrderAnswer::kTicketRefused:
      return "ticket refused";
    case OrderAnswer::kUnhealthy:
      return "unhealthy";
    case OrderAnswer::kMalformed:
      return "malformed";
    case OrderAnswer::kWrongWorker:
      return "wrong worker";
  }
  return "unknown";
}

// The steps of a job for the log: tasks, and what binds them.
std::string DescribeShape(const WorkflowSpec& spec) {
  std::string shape;
  for (const StepSpec& step : spec.steps) {
    absl::StrAppend(
        &shape, shape.empty() ? "" : " ", step.task_count, "x", step.demand.cpu.value(), "c",
        step.demand.accelerators.value(), "a", absl::ToInt64Milliseconds(step.estimate), "ms",
        step.gang ? " gang" : "", step.long_running ? " long" : "", step.speculative ? " spec" : "",
        step.fills ? " fills" : "", step.max_per_worker > 0 ? " spread" : "",
        step.latency_target > absl::ZeroDuration() ? " serves" : "",
        step.disruption_budget > 0 ? " budget" : "", step.required_label.empty() ? "" : " label",
        step.preferred_rack.empty() ? "" : " rack", step.same_rack ? " same" : "");
  }
  if (spec.occurrences > 0) {
    absl::StrAppend(&shape, " times ", spec.occurrences);
  }
  return shape;
}

bool IsLost(const CellWorker& worker, absl::Time now) { return worker.lease_over_at <= now; }

}  // namespace

PoolScheduler::PoolScheduler(PoolPart part, int64_t term, PoolLimits limits, EventLog* events)
    : part_(std::move(part)),
      limits_(limits),
      events_(events),
      first_run_((term - 1) * kRunsPerTerm) {}

absl::Duration PoolScheduler::LeaseBound() const {
  return limits_.task_lease * (1 + 2 * limits_.clock_drift) + kLeaseSlack;
}

void PoolScheduler::Inherit(std::vector<JobIntake> jobs,
                            const std::map<JobId, std::string>& progress,
                            const std::vector<RosterEntry>& roster, absl::Time now) {
  for (JobIntake& intake : jobs) {
    const JobId id = intake.id;
    CellJob job = MakeCellJob(std::move(intake));
    job.inherited = true;
    const auto record = progress.find(id);
    if (record != progress.end()) {
      const Outcome<void> applied = Capture([&] { return ApplyProgress(record->second, &job); });
      if (!applied.ok()) {
        events_->Record(EventCode::kJournalRecovered)
            .Job(id)
            .With(event_field::kReason, applied.error().message)
            .Emit();
      }
    }
    if (IsFinal(job.state)) {
      job.final_since = now;
    }
    jobs_.emplace(id, std::move(job));
  }
  for (const RosterEntry& entry : roster) {
    CellWorker& worker = WorkerFor(entry.worker);
    worker.lease_over_at = now + LeaseBound();
    if (entry.frozen) {
      InheritFrozen(&worker, entry.attempts);
    } else {
      worker.on_roster = true;
      unreported_.insert(entry.worker.id);
    }
  }
  inherited_leases_over_ = now + LeaseBound();
  stale_owner_until_ = now + kStaleOwnerLimit;
}

bool PoolScheduler::InheritedMayStart(absl::Time now) const {
  return unreported_.empty() || now >= inherited_leases_over_;
}

CellJob* PoolScheduler::FindJob(const JobId& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

CellWorker* PoolScheduler::FindWorker(const WorkerId& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

StepRun* PoolScheduler::FindRun(const TaskRef& ref) {
  CellJob* job = FindJob(ref.job);
  if (job == nullptr || ref.run >= static_cast<int>(job->runs.size())) {
    return nullptr;
  }
  return &job->runs[ref.run];
}

std::optional<TaskRef> PoolScheduler::Locate(const std::string& task_name) {
  TaskNameParts parts;
  if (!ParseTaskName(task_name, &parts)) {
    return std::nullopt;
  }
  const CellJob* job = FindJob(JobId(parts.job));
  if (job == nullptr) {
    return std::nullopt;
  }
  const int steps = static_cast<int>(job->intake.spec.steps.size());
  const TaskRef ref{JobId(parts.job), parts.occurrence * steps + parts.step, parts.index};
  const StepRun* run = parts.step < steps ? FindRun(ref) : nullptr;
  if (run == nullptr || parts.index >= static_cast<int>(run->tasks.size())) {
    return std::nullopt;
  }
  return ref;
}

CellWorker& PoolScheduler::WorkerFor(const WorkerDescription& description) {
  CellWorker& worker = workers_[description.id];
  worker.description = description;
  return worker;
}

void PoolScheduler::AddJob(JobIntake intake, absl::Time now) {
  const JobId id = intake.id;
  if (jobs_.count(id) > 0) {
    return;
  }
  events_->Record(EventCode::kJobAccepted)
      .Job(id)
      .With("queue", intake.policy.name)
      .With("priority", intake.policy.priority)
      .With("shape", DescribeShape(intake.spec))
      .With("age_ms", absl::ToInt64Milliseconds(now - intake.accepted))
      .Emit();
  CellJob job = MakeCellJob(std::move(intake));
  job.inherited = now < stale_owner_until_;
  jobs_.emplace(id, std::move(job));
}

void PoolScheduler::CancelJob(const JobId& id, absl::Time now) {
  CellJob* job = FindJob(id);
  if (job == nullptr || job->cancel_requested || IsFinal(job->state)) {
    return;
  }
  job->cancel_requested = true;
  Finish(job, CellJobState::kCancelled, now, "cancelled by the caller");
}

void PoolScheduler::UpdateDirectory(const std::vector<WorkerDescription>& workers, absl::Time now) {
  std::set<WorkerId> listed;
  for (const WorkerDescription& description : workers) {
    if (description.pool != part_.pool || !part_.Owns(description.id)) {
      continue;
    }
    listed.insert(description.id);
    const CellWorker* known = FindWorker(description.id);
    if (known != nullptr && !known->description.draining && description.draining) {
      events_->Record(EventCode::kWorkerLeaving).Worker(description.id).Emit();
    }
    WorkerFor(description).listed = true;
  }
  for (auto& [id, worker] : workers_) {
    if (worker.listed && listed.count(id) == 0) {
      worker.listed = false;
      events_->Record(EventCode::kWorkerGone)
          .Worker(id)
          .With("attempts", static_cast<int64_t>(worker.attempts.size()))
          .With("lease_left_ms", absl::ToInt64Milliseconds(worker.lease_over_at - now))
          .Emit();
    }
  }
}

std::vector<RosterEntry> PoolScheduler::NextRoster(absl::Time now) {
  std::vector<RosterEntry> roster;
  for (auto& [id, worker] : workers_) {
    const bool usable = worker.listed && !worker.description.draining;
    const bool unreported = unreported_.count(id) > 0;
    const bool frozen = !unreported && !IsTrusted(id) && now - worker.last_report > kFreezeAfter;
    if (frozen || !usable) {
      worker.on_roster = worker.on_roster && unreported;
    }
    if (worker.attempts.empty() && !unreported && (frozen || !usable)) {
      continue;
    }
    RosterEntry entry{worker.description, frozen, {}};
    for (const auto& [key, attempt] : worker.attempts) {
      if (frozen) {
        entry.attempts.push_back(key);
      }
    }
    roster.push_back(std::move(entry));
  }
  return roster;
}

void PoolScheduler::ConfirmRoster(const std::vector<WorkerId>& ids) {
  for (const WorkerId& id : ids) {
    CellWorker* worker = FindWorker(id);
    if (worker != nullptr) {
      worker->on_roster = true;
    }
  }
}

void PoolScheduler::Touch(CellJob* job) {
  ++job->version;
  changed_.insert(job->intake.id);
}

void PoolScheduler::Finish(CellJob* job, CellJobState state, absl::Time now,
                           const std::string& reason) {
  job->state = state;
  job->final_since = now;
  Touch(job);
  WantStops(*job);
  events_->Record(EventCode::kJobFinished)
      .Job(job->intake.id)
      .With(event_field::kState, CellJobStateName(state))
      .With(event_field::kReason, reason)
      .With("took_ms", absl::ToInt64Milliseconds(now - job->intake.accepted))
      .With("objective_left_ms", absl::ToInt64Milliseconds(job->objective - now))
      .Emit();
  // What runs is stopped by the workers' books; the tasks are needed no more.
  job->runs.clear();
  job->intake.spec.payload.clear();
}

void PoolScheduler::FinishIfComplete(CellJob* job, absl::Time now) {
  const bool complete = std::all_of(job->runs.begin(), job->runs.end(),
                                    [](const StepRun& run) { return run.IsDone(); });
  if (complete) {
    Finish(job, CellJobState::kCompleted, now, "all tasks succeeded");
  }
}

void PoolScheduler::WantStops(const CellJob& job) {
  for (auto& [id, worker] : workers_) {
    for (auto& [key, attempt] : worker.attempts) {
      if (attempt.task.has_value() && attempt.task->job == job.intake.id) {
        attempt.stop_wanted = true;
      }
    }
  }
}

bool PoolScheduler::IsCurrent(const CellWorker& worker, const Attempt& attempt) {
  if (!attempt.task.has_value()) {
    return false;
  }
  const StepRun* run = FindRun(*attempt.task);
  if (run == nullptr) {
    return false;
  }
  const CellTask& task = run->tasks[attempt.task->task];
  return task.phase == TaskPhase::kActive && task.last_run == attempt.key.run &&
         task.worker == worker.description.id;
}

void PoolScheduler::DropAttempt(CellWorker* worker, const AttemptKey& key, const char* reason,
                                bool avoid_worker) {
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
  StepRun* run = FindRun(*attempt.task);
  CellTask& task = run->tasks[attempt.task->task];
  task.phase = TaskPhase::kWaiting;
  ++run->waiting;
  if (!attempt.checkpoint.empty()) {
    task.checkpoint = attempt.checkpoint;
  }
  if (avoid_worker) {
    task.avoid = worker->description.id;
  }
  if (reason == nullptr) {
    return;
  }
  events_->Record(EventCode::kTaskRequeued)
      .Job(attempt.task->job)
      .Task(TaskId(key.task))
      .With("run", key.run.value())
      .Worker(worker->description.id)
      .With(event_field::kReason, reason)
      .Emit();
}

void PoolScheduler::DropAllAttempts(CellWorker* worker, const char* reason) {
  while (!worker->attempts.empty()) {
    DropAttempt(worker, AttemptKey(worker->attempts.begin()->first), reason, true);
  }
}

void PoolScheduler::ApplyReport(const WorkerId& id, const WorkerReport& report, absl::Time sent,
                                absl::Time received) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  if (worker->born != report.born) {
    if (worker->born != absl::InfinitePast()) {
      events_->Record(EventCode::kWorkerRestored)
          .Worker(id)
          .With(event_field::kReason, "started again")
          .Emit();
      DropAllAttempts(worker, "the worker started again");
    }
    worker->born = report.born;
    worker->seen_end = EndNumber(0);
    worker->acknowledged = EndNumber(0);
    worker->unacknowledged.clear();
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
  worker->last_report = std::max(worker->last_report, sent);
  for (const EndedAttempt& ended : report.ended) {
    if (ended.number > worker->seen_end) {
      worker->seen_end = ended.number;
      ApplyEnd(worker, ended, received);
    }
  }
  for (const RunningAttempt& running : report.running) {
    ApplyRunning(worker, running, received);
  }
  DropVanished(worker, report, sent);
  StopStalled(worker, received);
  AdvanceAcknowledged(worker);
  unreported_.erase(id);
}

void PoolScheduler::ApplyRunning(CellWorker* worker, const RunningAttempt& running,
                                 absl::Time now) {
  const auto it = worker->attempts.find(running.key);
  if (it == worker->attempts.end()) {
    Adopt(worker, running, now);
    return;
  }
  Attempt& attempt = it->second;
  attempt.phase = AttemptPhase::kRunning;
  attempt.listed = true;
  attempt.confirmed_at = std::min(attempt.confirmed_at, now);
  if (running.percent != attempt.percent) {
    attempt.percent = running.percent;
    attempt.progress_at = now;
  }
  if (!running.checkpoint.empty()) {
    attempt.checkpoint = running.checkpoint;
  }
}

bool PoolScheduler::BindAttempt(CellWorker* worker, Attempt* attempt) {
  attempt->task = Locate(attempt->key.task);
  bool wanted = false;
  if (attempt->task.has_value()) {
    StepRun* run = FindRun(*attempt->task);
    CellJob* job = FindJob(attempt->task->job);
    CellTask& task = run->tasks[attempt->task->task];
    SetNeeds(job->Step(*run), attempt);
    wanted = task.phase == TaskPhase::kWaiting && !job->cancel_requested &&
             attempt->key.run >= task.last_run;
    if (wanted) {
      task.phase = TaskPhase::kActive;
      task.worker = worker->description.id;
      task.last_run = attempt->key.run;
      --run->waiting;
      job->state = CellJobState::kRunning;
      job->visible = CellJobState::kRunning;
    }
  } else {
    ReserveUnwanted(attempt);
  }
  attempt->stop_wanted = !wanted;
  worker->used += attempt->reserved;
  return wanted;
}

void PoolScheduler::InheritFrozen(CellWorker* worker, const std::vector<AttemptKey>& attempts) {
  for (const AttemptKey& key : attempts) {
    Attempt attempt;
    attempt.key = key;
    // Confirmed by the earlier owner: the worker's first report says whether it still runs.
    attempt.phase = AttemptPhase::kRunning;
    attempt.confirmed_at = absl::InfinitePast();
    BindAttempt(worker, &attempt);
    worker->attempts.emplace(key, std::move(attempt));
  }
}

void PoolScheduler::Adopt(CellWorker* worker, const RunningAttempt& running, absl::Time now) {
  Attempt attempt;
  attempt.key = running.key;
  attempt.phase = AttemptPhase::kRunning;
  attempt.listed = true;
  attempt.confirmed_at = now;
  attempt.percent = running.percent;
  attempt.progress_at = now;
  attempt.checkpoint = running.checkpoint;
  const bool wanted = BindAttempt(worker, &attempt);
  events_->Record(EventCode::kTaskAdopted)
      .Task(TaskId(running.key.task))
      .With("run", running.key.run.value())
      .Worker(worker->description.id)
      .With(event_field::kState, wanted ? "adopted" : "stopping")
      .Emit();
  worker->attempts.emplace(running.key, std::move(attempt));
}

void PoolScheduler::ReserveUnwanted(Attempt* attempt) {
  // A final job has no tasks any more, but its steps still say what each of them needs.
  TaskNameParts parts;
  const CellJob* job =
      ParseTaskName(attempt->key.task, &parts) ? FindJob(JobId(parts.job)) : nullptr;
  if (job != nullptr && parts.step < static_cast<int>(job->intake.spec.steps.size())) {
    SetNeeds(job->intake.spec.steps[parts.step], attempt);
  } else {
    attempt->unknown_load = true;
  }
}

void PoolScheduler::ApplyEnd(CellWorker* worker, const EndedAttempt& ended, absl::Time now) {
  const std::optional<TaskRef> ref = Locate(ended.key.task);
  const auto it = worker->attempts.find(ended.key);
  const bool lost_race = it != worker->attempts.end() && !IsCurrent(*worker, it->second);
  if (it != worker->attempts.end() && !ended.checkpoint.empty()) {
    it->second.checkpoint = ended.checkpoint;
  }
  events_->Record(EventCode::kTaskEnded)
      .Task(TaskId(ended.key.task))
      .With("run", ended.key.run.value())
      .Worker(worker->description.id)
      .With("end", EndName(ended.end))
      .Emit();
  const bool succeeded = ended.end == AttemptEnd::kSucceeded;
  DropAttempt(worker, ended.key, succeeded ? nullptr : "ended without success",
              ended.end == AttemptEnd::kFailed);
  UnacknowledgedEnd pending{ended.number, JobId(), 0};
  CellJob* job = ref.has_value() ? FindJob(ref->job) : nullptr;
  if (job != nullptr && !IsFinal(job->state)) {
    StepRun* run = FindRun(*ref);
    const JobId id = job->intake.id;
    if (succeeded) {
      ApplySuccess(job, run, *ref, now);
      worker->failed_jobs.clear();
    } else if (ended.end == AttemptEnd::kFailed && !lost_race) {
      RecordWorkerFailure(worker, id, now);
      ApplyFailure(job, run, *ref, ended, now);
    } else {
      Touch(job);
    }
    pending.job = id;
    pending.version = job->version;
  }
  worker->unacknowledged.push_back(pending);
}

void PoolScheduler::ApplySuccess(CellJob* job, StepRun* run, const TaskRef& ref, absl::Time now) {
  const bool gang = job->Step(*run).gang;
  for (size_t i = 0; i < run->tasks.size(); ++i) {
    CellTask& task = run->tasks[i];
    // Gang tasks succeed together; one end stands for all.
    if ((!gang && static_cast<int>(i) != ref.task) || task.phase == TaskPhase::kSucceeded) {
      continue;
    }
    if (task.phase == TaskPhase::kWaiting) {
      --run->waiting;
    } else if (!gang) {
      // An attempt that was started since then, because this one was thought to be over.
      StopAttempt(task.worker,
                  AttemptKey{TaskName(*job, *run, static_cast<int>(i)), task.last_run});
    }
    task.phase = TaskPhase::kSucceeded;
    task.checkpoint.clear();
    ++run->succeeded;
  }
  Touch(job);
  FinishIfComplete(job, now);
}

void PoolScheduler::StopAttempt(const WorkerId& id, const AttemptKey& key) {
  CellWorker* worker = FindWorker(id);
  const auto it =
      worker == nullptr ? std::map<AttemptKey, Attempt>::iterator() : worker->attempts.find(key);
  if (worker != nullptr && it != worker->attempts.end()) {
    it->second.stop_wanted = true;
  }
}

void PoolScheduler::ApplyFailure(CellJob* job, StepRun* run, const TaskRef& ref,
                                 const EndedAttempt& ended, absl::Time now) {
  const StepSpec& step = job->Step(*run);
  if (step.long_running) {
    Touch(job);
    return;
  }
  std::set<RunNumber>& failed =
      step.gang ? run->gang_failed_runs : run->tasks[ref.task].failed_runs;
  failed.insert(ended.key.run);
  if (static_cast<int>(failed.size()) >= job->intake.policy.max_attempts) {
    Finish(job, CellJobState::kFailed, now, ended.key.task + " failed in its last attempt");
  } else {
    Touch(job);
  }
}

void PoolScheduler::RecordWorkerFailure(CellWorker* worker, const JobId& job, absl::Time now) {
  worker->failed_jobs.insert(job);
  if (worker->failed_jobs.size() >= kQuarantineJobs) {
    worker->quarantined_until = now + kQuarantine;
    events_->Record(EventCode::kWorkerQuarantined)
        .Worker(worker->description.id)
        .With("failed_jobs", static_cast<int64_t>(worker->failed_jobs.size()))
        .Emit();
  }
}

void PoolScheduler::DropVanished(CellWorker* worker, const WorkerReport& report, absl::Time sent) {
  std::set<AttemptKey> running;
  for (const RunningAttempt& attempt : report.running) {
    running.insert(attempt.key);
  }
  std::vector<AttemptKey> vanished;
  for (const auto& [key, attempt] : worker->attempts) {
    if (running.count(key) == 0 && HasVanished(attempt, sent)) {
      vanished.push_back(key);
    }
  }
  for (const AttemptKey& key : vanished) {
    DropAttempt(worker, key, "the worker no longer lists it", false);
  }
}

void PoolScheduler::StopStalled(CellWorker* worker, absl::Time now) {
  for (auto& [key, attempt] : worker->attempts) {
    if (attempt.phase != AttemptPhase::kRunning || attempt.stop_wanted || attempt.percent >= 100 ||
        now - attempt.progress_at < kStallLimit || !IsCurrent(*worker, attempt)) {
      continue;
    }
    attempt.stop_wanted = true;
    FindRun(*attempt.task)->tasks[attempt.task->task].avoid = worker->description.id;
    RecordWorkerFailure(worker, attempt.task->job, now);
    events_->Record(EventCode::kTaskPreempted)
        .Task(TaskId(key.task))
        .Worker(worker->description.id)
        .With(event_field::kReason, "no progress")
        .With("percent", attempt.percent)
        .With("age_ms", absl::ToInt64Milliseconds(now - attempt.progress_at))
        .Emit();
  }
}

void PoolScheduler::HoldFailed(const WorkerId& id, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  if (worker->suspect_since < worker->last_report) {
    events_->Record(EventCode::kWorkerUnreachable)
        .Worker(id)
        .With("attempts", static_cast<int64_t>(worker->attempts.size()))
        .With("report_age_ms", absl::ToInt64Milliseconds(now - worker->last_report))
        .Emit();
  }
  worker->suspect_since = now;
}

void PoolScheduler::WorkerReplaced(const WorkerId& id, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  worker->suspect_since = now;
  worker->lease_over_at = now;
  unreported_.erase(id);
  DropAllAttempts(worker, "another worker has its address");
}

void PoolScheduler::StartFinished(const WorkerId& id, const AttemptKey& key,
                                  const OrderOutcome& outcome, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr || worker->attempts.count(key) == 0) {
    return;
  }
  Attempt& attempt = worker->attempts[key];
  if (outcome.answer == OrderAnswer::kAccepted) {
    if (attempt.phase == AttemptPhase::kOrdered) {
      attempt.phase = AttemptPhase::kRunning;
      attempt.confirmed_at = now;
      attempt.progress_at = now;
    }
    return;
  }
  events_->Record(EventCode::kTaskStartRefused)
      .Task(TaskId(key.task))
      .With("run", key.run.value())
      .Worker(id)
      .With("answer", AnswerName(outcome))
      .Emit();
  if (!outcome.answer.has_value() && !outcome.never_sent) {
    if (attempt.phase == AttemptPhase::kOrdered) {
      attempt.phase = AttemptPhase::kUncertain;
      attempt.stop_wanted = true;
    }
    worker->suspect_since = now;
    return;
  }
  if (outcome.answer == OrderAnswer::kTicketRefused && attempt.task.has_value()) {
    StepRun* run = FindRun(*attempt.task);
    if (run != nullptr) {
      run->advice.allowed[id].expires = absl::InfinitePast();
    }
  } else {
    worker->suspect_since = now;
  }
  DropAttempt(worker, key, "the start was refused", true);
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

void PoolScheduler::AdviceFinished(const AdviceRequest& request,
                                   const std::optional<Advice>& advice, absl::Time now) {
  StepRun* run = FindRun(request.step);
  if (run == nullptr) {
    return;
  }
  run->advice.outstanding = false;
  if (!advice.has_value()) {
    run->advice.retry_at = now + kAdviceRetry;
    return;
  }
  for (const WorkerId& id : request.question.workers) {
    run->advice.asked.insert(id);
  }
  for (const auto& [id, ticket] : advice->tickets) {
    run->advice.allowed[id] = StepAdvice::Ticket{ticket, now + advice->validity};
  }
  events_->Record(EventCode::kAdviceReceived)
      .Job(request.step.job)
      .With("step", request.question.step)
      .With("asked", static_cast<int64_t>(request.question.workers.size()))
      .With("allowed", static_cast<int64_t>(advice->tickets.size()))
      .Emit();
}

void PoolScheduler::DropGoneWorkers(absl::Time now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    CellWorker& worker = it->second;
    if (IsLost(worker, now) && !worker.attempts.empty()) {
      DropAllAttempts(&worker, "the worker's lease is over");
    }
    if (!worker.listed && IsLost(worker, now)) {
      it = workers_.erase(it);
    } else {
      ++it;
    }
  }
}

void PoolScheduler::BeginAttempt(const PlacedTask& placed, absl::Time now,
                                 ScheduledOrders* result) {
  CellJob* job = FindJob(placed.task.job);
  StepRun* run = FindRun(placed.task);
  CellTask& task = run->tasks[placed.task.task];
  CellWorker* worker = FindWorker(placed.worker);
  const StepSpec& step = job->Step(*run);
  RunNumber last = std::max(task.last_run, first_run_);
  if (step.gang) {
    // All members of one gang run carry the same number.
    for (const CellTask& member : run->tasks) {
      last = std::max(last, member.phase == TaskPhase::kWaiting ? member.last_run
                                                                : member.last_run - RunNumber(1));
    }
  }
  task.last_run = last + RunNumber(1);
  task.phase = TaskPhase::kActive;
  task.worker = placed.worker;
  --run->waiting;
  Attempt attempt;
  attempt.key = AttemptKey{TaskName(*job, *run, placed.task.task), task.last_run};
  attempt.task = placed.task;
  SetNeeds(step, &attempt);
  attempt.checkpoint = task.checkpoint;
  worker->used += attempt.reserved;
  if (job->state == CellJobState::kQueued) {
    job->state = CellJobState::kRunning;
    job->visible = CellJobState::kRunning;
  }
  events_->Record(EventCode::kTaskStartSent)
      .Task(TaskId(attempt.key.task))
      .With("run", attempt.key.run.value())
      .Worker(placed.worker)
      .With("waited_ms", absl::ToInt64Milliseconds(now - job->intake.accepted))
      .With("report_age_ms", absl::ToInt64Milliseconds(now - worker->last_report))
      .Emit();
  WorkerOrder order;
  order.kind = WorkerOrder::Kind::kStart;
  order.key = attempt.key;
  order.payload = job->intake.spec.payload;
  order.checkpoint = task.checkpoint;
  order.ticket = placed.ticket;
  result->orders.emplace_back(placed.worker, std::move(order));
  worker->attempts.emplace(attempt.key, std::move(attempt));
}

void PoolScheduler::StopAttempts(CellWorker* worker, absl::Time now, ScheduledOrders* result) {
  for (auto& [key, attempt] : worker->attempts) {
    if (!attempt.stop_wanted || attempt.stop_confirmed_at < absl::InfiniteFuture() ||
        now - attempt.stop_sent_at < kStopResend) {
      continue;
    }
    attempt.stop_sent_at = now;
    WorkerOrder order;
    order.kind = WorkerOrder::Kind::kStop;
    order.key = key;
    result->orders.emplace_back(worker->description.id, std::move(order));
  }
}

ScheduledOrders PoolScheduler::Schedule(absl::Time now, bool may_start) {
  DropGoneWorkers(now);
  ScheduledOrders result;
  RoundResult round;
  if (may_start) {
    round = ScheduleRound(jobs_, workers_, now).Run(InheritedMayStart(now));
  }
  // The members of a gang see each other's old numbers, so a gang's tasks begin together.
  for (const PlacedTask& placed : round.placed) {
    BeginAttempt(placed, now, &result);
  }
  for (AdviceRequest& request : round.advice) {
    FindRun(request.step)->advice.outstanding = true;
    result.advice.push_back(std::move(request));
  }
  for (const WorkerId& id : round.to_clear) {
    for (auto& [key, attempt] : workers_[id].attempts) {
      attempt.stop_wanted = attempt.stop_wanted || attempt.fills;
    }
  }
  for (auto& [id, worker] : workers_) {
    StopAttempts(&worker, now, &result);
  }
  return result;
}

std::optional<WorkerTime> PoolScheduler::ExtendLease(const WorkerId& id, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr || !IsTrusted(id)) {
    return std::nullopt;
  }
  worker->lease_over_at = now + LeaseBound();
  return WorkerTime(worker->clock.value() +
                    absl::ToInt64Milliseconds(now - worker->clock_read_at + limits_.task_lease));
}

std::optional<WorkerTime> PoolScheduler::PrepareStart(const WorkerId& id, const AttemptKey& key,
                                                      absl::Time now) {
  const CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return std::nullopt;
  }
  const auto it = worker->attempts.find(key);
  if (it == worker->attempts.end() || it->second.stop_wanted) {
    return std::nullopt;
  }
  return ExtendLease(id, now);
}

bool PoolScheduler::IsTrusted(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it != workers_.end() && it->second.suspect_since < it->second.last_report;
}

EndNumber PoolScheduler::Acknowledged(const WorkerId& id) const {
  // After a failed hold the worker may be in a new life, whose ends have other numbers.
  return IsTrusted(id) ? workers_.at(id).acknowledged : EndNumber(0);
}

bool PoolScheduler::HasUnacknowledged(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it != workers_.end() && !it->second.unacknowledged.empty();
}

void PoolScheduler::AdvanceAcknowledged(CellWorker* worker) {
  while (!worker->unacknowledged.empty()) {
    const UnacknowledgedEnd& end = worker->unacknowledged.front();
    const CellJob* job = end.job.empty() ? nullptr : FindJob(end.job);
    if (job != nullptr && job->committed < end.version) {
      return;
    }
    worker->acknowledged = end.number;
    worker->unacknowledged.pop_front();
  }
}

std::vector<ProgressRecord> PoolScheduler::TakeChanged(size_t limit, size_t lane, size_t lanes) {
  std::vector<ProgressRecord> records;
  for (auto it = changed_.begin(); it != changed_.end() && records.size() < limit;) {
    const JobId id = *it;
    if (absl::Hash<JobId>()(id) % lanes != lane) {
      ++it;
      continue;
    }
    changed_.erase(it++);
    const CellJob* job = FindJob(id);
    if (job != nullptr) {
      records.push_back(ProgressRecord{id, job->version, EncodeProgress(*job), job->state});
    }
  }
  return records;
}

void PoolScheduler::Committed(const std::vector<ProgressRecord>& records) {
  for (const ProgressRecord& record : records) {
    CellJob* job = FindJob(record.job);
    if (job != nullptr) {
      job->committed = std::max(job->committed, record.version);
      job->visible = record.state;
    }
  }
  for (auto& [id, worker] : workers_) {
    AdvanceAcknowledged(&worker);
  }
}

bool PoolScheduler::HasUnstored() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    return entry.second.committed < entry.second.version;
  });
}

std::optional<CellJobState> PoolScheduler::VisibleState(const JobId& id) const {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return std::nullopt;
  }
  return it->second.visible;
}

std::map<std::string, int64_t> PoolScheduler::PendingByQueue() const {
  std::map<std::string, int64_t> pending;
  for (const auto& [id, job] : jobs_) {
    if (job.state == CellJobState::kQueued && !job.cancel_requested) {
      ++pending[job.intake.policy.name];
    }
  }
  return pending;
}

std::vector<JobId> PoolScheduler::TakeExpired(absl::Time now, size_t limit) {
  std::vector<JobId> expired;
  for (const auto& [id, job] : jobs_) {
    if (expired.size() < limit && job.committed == job.version &&
        now - job.final_since > limits_.retention) {
      expired.push_back(id);
    }
  }
  for (const JobId& id : expired) {
    jobs_.erase(id);
  }
  return expired;
}

}  // namespace pomelotray
