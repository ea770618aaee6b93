#include "cell/pool_scheduler.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Distance between the attempt numbers of successive owners: more attempts than one owner can give
// one task.
constexpr int64_t kRunsPerTerm = 100'000;
// A stop without an answer is sent again after this time: several inter-region round trips.
constexpr absl::Duration kStopResend = absl::Seconds(1);
// A worker without a report for this long, two holds, is written into the roster as unreachable.
constexpr absl::Duration kFreezeAfter = absl::Seconds(2);
// An earlier owner whose claim was taken away learns of it, like of new jobs, by watches: this is
// more than their answers can differ, also when the store is slow.
constexpr absl::Duration kStaleOwnerLimit = absl::Milliseconds(300);
// Pause after a question that failed.
constexpr absl::Duration kAdviceRetry = absl::Milliseconds(200);
// Clock reading and scheduling delays beyond the drift of a lease.
constexpr absl::Duration kLeaseSlack = absl::Milliseconds(300);

bool IsLost(const CellWorker& worker, absl::Time now) { return worker.lease_over_at <= now; }

}  // namespace

PoolScheduler::PoolScheduler(PoolPart part, int64_t term, PoolLimits limits, EventLog* events)
    : part_(std::move(part)),
      term_(term),
      limits_(limits),
      events_(events),
      first_run_((term - 1) * kRunsPerTerm) {}

absl::Duration PoolScheduler::LeaseBound() const {
  return limits_.task_lease * (1 + 2 * limits_.clock_drift) + kLeaseSlack;
}

void PoolScheduler::Inherit(std::vector<JobIntake> jobs,
                            const std::map<JobId, std::string>& progress,
                            const std::optional<std::vector<RosterEntry>>& roster, absl::Time now) {
  for (JobIntake& intake : jobs) {
    const JobId id = intake.id;
    CellJob job = MakeCellJob(std::move(intake));
    job.inherited = true;
    const auto record = progress.find(id);
    if (record != progress.end()) {
      job.has_stored_progress = true;
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
    const auto added = jobs_.emplace(id, std::move(job)).first;
    if (!IsFinal(added->second.state)) {
      open_jobs_.emplace(id, &added->second);
    }
  }
  if (!roster.has_value()) {
    // Stands for the workers that are not known, and never reports.
    unreported_.insert(WorkerId());
  }
  for (const RosterEntry& entry : roster.value_or(std::vector<RosterEntry>())) {
    CellWorker& worker = WorkerFor(entry.worker);
    worker.lease_over_at = now + LeaseBound();
    worker.on_roster = !entry.frozen;
    if (entry.frozen || entry.handed_over_by + 1 == term_) {
      InheritAttempts(&worker, entry);
    } else {
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

void PoolScheduler::AddFinished(const JobId& id, CellJobState state, absl::Time now) {
  CellJob job;
  job.intake.id = id;
  job.state = state;
  job.visible = state;
  job.final_since = now;
  jobs_.emplace(id, std::move(job));
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
  open_jobs_.emplace(id, &jobs_.emplace(id, std::move(job)).first->second);
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
    RosterEntry entry;
    entry.worker = worker.description;
    entry.frozen = frozen;
    for (const auto& [key, attempt] : worker.attempts) {
      if (frozen) {
        entry.attempts.push_back(key);
      }
    }
    roster.push_back(std::move(entry));
  }
  return roster;
}

std::vector<RosterEntry> PoolScheduler::HandOverRoster(absl::Time now) {
  std::vector<RosterEntry> roster = NextRoster(now);
  for (RosterEntry& entry : roster) {
    // What runs on a worker that has not reported to this owner is unknown.
    if (unreported_.count(entry.worker.id) > 0) {
      continue;
    }
    entry.handed_over_by = entry.frozen ? 0 : term_;
    entry.attempts.clear();
    for (const auto& [key, attempt] : workers_.at(entry.worker.id).attempts) {
      entry.attempts.push_back(key);
      if (attempt.stop_wanted) {
        entry.stopping.push_back(key);
      }
    }
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
  open_jobs_.erase(job->intake.id);
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
    order.check = attempt.phase == AttemptPhase::kUncertain;
    result->orders.emplace_back(worker->description.id, std::move(order));
  }
}

ScheduledOrders PoolScheduler::Schedule(absl::Time now, bool may_start) {
  DropGoneWorkers(now);
  ScheduledOrders result;
  RoundResult round;
  if (may_start) {
    round = ScheduleRound(open_jobs_, workers_, now).Run(InheritedMayStart(now));
  }
  result.rooms_considered = round.rooms_considered;
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

}  // namespace pomelotray
