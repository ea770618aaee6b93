#include "cell/ownership/pool_scheduler.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Size of the range of attempt numbers that each owner uses. Larger than the number of attempts
// that one owner can start for one task.
constexpr int64_t kAttemptNumbersPerTerm = 100'000;
// A stop order that was not answered is sent again after this time, which covers several
// inter-region round trips.
constexpr absl::Duration kStopResendInterval = absl::Seconds(1);
// A stop order that was confirmed is sent again after this time if the attempt is still not over,
// by far longer than a stop takes. Nothing else would end a long-running attempt.
constexpr absl::Duration kConfirmedStopResendInterval = absl::Seconds(5);
// A worker is recorded as unreachable in the roster when it has not answered for this long after a
// call failed, or not reported for two intervals of holds.
constexpr absl::Duration kUnreachableAfter = absl::Milliseconds(500);
constexpr absl::Duration kMaxReportAge = absl::Seconds(2);
// A worker of the inherited roster that has not reported to a new owner for this long is recorded
// as one whose leases are not extended. Workers that answer report within a few round trips.
constexpr absl::Duration kUnreportedAfter = absl::Milliseconds(300);
// An earlier owner learns both of new jobs and of the loss of its claim through watches on the
// store. The delays of these watches differ by less than this, even if the store is slow.
constexpr absl::Duration kMaxStaleOwnerDelay = absl::Milliseconds(300);
// Delay before a failed question to the adviser is retried.
constexpr absl::Duration kAdviceRetryDelay = absl::Milliseconds(200);
// A ticket is tried for this long after it was received, even if it may have run out on the way.
// Otherwise, a step whose answers are always late would ask for ever and never start.
constexpr absl::Duration kMinTicketUse = absl::Milliseconds(300);
// Added to a lease for delays in reading clocks and scheduling threads, in addition to clock drift.
constexpr absl::Duration kLeaseSlack = absl::Milliseconds(300);

bool IsLeaseExpired(const CellWorker& worker, absl::Time now) {
  return worker.lease_over_at <= now;
}

// Returns the attempts that the next owner must not assume to be over without success: those that
// may be running, and those whose ends may not be stored yet, so that only the worker knows them.
std::vector<AttemptKey> UnsettledAttempts(const CellWorker& worker) {
  std::vector<AttemptKey> keys;
  for (const auto& [key, attempt] : worker.attempts) {
    keys.push_back(key);
  }
  for (const UnacknowledgedEnd& end : worker.unacknowledged) {
    keys.push_back(end.key);
  }
  return keys;
}

// Returns the attempts that were ordered but not confirmed.
std::vector<AttemptKey> UnconfirmedAttempts(const CellWorker& worker) {
  std::vector<AttemptKey> keys;
  for (const auto& [key, attempt] : worker.attempts) {
    if (!attempt.begun) {
      keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace

PoolScheduler::PoolScheduler(PoolPart part, int64_t term, PoolLimits limits, EventLog* events)
    : part_(std::move(part)),
      term_(term),
      limits_(limits),
      events_(events),
      first_run_((term - 1) * kAttemptNumbersPerTerm),
      shares_(limits.rate_tolerance) {
  caps_.SetRates(&shares_);
}

absl::Duration PoolScheduler::MaxLeaseDuration() const {
  return limits_.task_lease * (1 + 2 * limits_.clock_drift) + kLeaseSlack;
}

void PoolScheduler::LoadInheritedState(std::vector<JobIntake> jobs,
                                       const std::map<JobId, std::string>& progress,
                                       const std::optional<std::vector<RosterEntry>>& roster,
                                       const InheritedTimes& times) {
  const absl::Time now = times.now;
  loaded_at_ = now;
  for (JobIntake& intake : jobs) {
    const JobId id = intake.id;
    shares_.NoteArrival(intake, intake.accepted);
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
    // A placeholder for the unknown workers. It never reports, so inherited tasks wait until the
    // leases have expired.
    unreported_workers_[WorkerId()] = now + MaxLeaseDuration();
  }
  for (const RosterEntry& entry : roster.value_or(std::vector<RosterEntry>())) {
    InheritWorker(entry, times);
  }
  stale_owner_until_ = now + kMaxStaleOwnerDelay;
}

void PoolScheduler::InheritWorker(const RosterEntry& entry, const InheritedTimes& times) {
  CellWorker& worker = UpsertCellWorker(entry.worker);
  worker.lease_over_at =
      std::min(times.now, times.claimed + kMaxStaleOwnerDelay) + MaxLeaseDuration();
  if (entry.lease_left.has_value()) {
    worker.lease_over_at = std::min(worker.lease_over_at,
                                    std::min(times.now, times.roster_written) + *entry.lease_left);
  }
  worker.lease_withheld = entry.unreachable || entry.lease_left.has_value();
  worker.on_roster = !worker.lease_withheld;
  if (entry.unreachable) {
    worker.unreachable_since = std::min(times.now, times.roster_written) - entry.unreachable_for;
    InheritAttempts(&worker, entry, times.now);
  } else if (entry.handover_term + 1 == term_) {
    InheritAttempts(&worker, entry, times.now);
  } else {
    unreported_workers_[entry.worker.id] = worker.lease_over_at;
  }
}

bool PoolScheduler::CanStartInheritedTasks(absl::Time now) const {
  // The ends that a worker has yet to list outlast the leases.
  return partly_reported_workers_.empty() &&
         std::all_of(unreported_workers_.begin(), unreported_workers_.end(),
                     [now](const auto& entry) { return entry.second <= now; });
}

bool PoolScheduler::MayHaveUnknownAttempts(const WorkerId& id) const {
  return unreported_workers_.count(id) > 0 || partly_reported_workers_.count(id) > 0;
}

CellJob* PoolScheduler::FindJob(const JobId& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

CellJob* PoolScheduler::FindJobOfTask(const std::string& task_name) {
  TaskNameParts parts;
  return ParseTaskName(task_name, &parts) ? FindJob(JobId(parts.job)) : nullptr;
}

CellWorker* PoolScheduler::FindWorker(const WorkerId& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

StepRun* PoolScheduler::FindStepRun(const TaskRef& ref) {
  CellJob* job = FindJob(ref.job);
  if (job == nullptr || ref.run >= static_cast<int>(job->runs.size())) {
    return nullptr;
  }
  return &job->runs[ref.run];
}

std::optional<TaskRef> PoolScheduler::ResolveTaskName(const std::string& task_name) {
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
  const StepRun* run = parts.step < steps ? FindStepRun(ref) : nullptr;
  if (run == nullptr || parts.index >= static_cast<int>(run->tasks.size())) {
    return std::nullopt;
  }
  return ref;
}

CellWorker& PoolScheduler::UpsertCellWorker(const WorkerDescription& description) {
  CellWorker& worker = workers_[description.id];
  worker.description = description;
  return worker;
}

void PoolScheduler::AddFinishedJob(const JobId& id, const JobStatus& status, absl::Time now) {
  CellJob job;
  job.intake.id = id;
  job.intake.customer = status.customer;
  job.state = status.state;
  job.visible = status.state;
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
      .With("shape", SummarizeSteps(intake.spec))
      .With("age_ms", absl::ToInt64Milliseconds(now - intake.accepted))
      .Emit();
  shares_.NoteArrival(intake, now);
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
  Finish(job, CellJobState::kCancelled, now, "cancelled on request of the caller");
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
    if (known != nullptr && known->description.capacity != description.capacity) {
      events_->Record(EventCode::kWorkerCapacityChanged)
          .Worker(description.id)
          .With("before", absl::StrCat(known->description.capacity.cpu.value()))
          .With(event_field::kCapacity, absl::StrCat(description.capacity.cpu.value()))
          .With(event_field::kReserved, absl::StrCat(known->used.cpu.value()))
          .Emit();
    }
    UpsertCellWorker(description).listed = true;
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

std::vector<RosterEntry> PoolScheduler::BuildRoster(absl::Time now) {
  std::vector<RosterEntry> roster;
  for (auto& [id, worker] : workers_) {
    const bool usable = worker.listed && !worker.description.draining;
    const bool unreported = MayHaveUnknownAttempts(id);
    const bool withheld = IsLeaseToBeWithheld(id, worker, now);
    worker.lease_withheld = worker.lease_withheld || withheld;
    const bool unreachable = withheld && !unreported;
    if (unreachable || !usable) {
      worker.on_roster = worker.on_roster && unreported;
    }
    std::vector<AttemptKey> unsettled = UnsettledAttempts(worker);
    if (unsettled.empty() && !unreported && (unreachable || !usable)) {
      // Nothing runs there that a lease could cover.
      worker.lease_withheld = withheld;
      continue;
    }
    RosterEntry entry;
    entry.worker = worker.description;
    entry.unreachable = unreachable;
    if (withheld) {
      entry.lease_left = std::max(worker.lease_over_at - now, absl::ZeroDuration());
    }
    if (unreachable) {
      entry.unreachable_for = std::max(now - worker.unreachable_since, absl::ZeroDuration());
      entry.attempts = std::move(unsettled);
      entry.unconfirmed = UnconfirmedAttempts(worker);
    }
    roster.push_back(std::move(entry));
  }
  return roster;
}

bool PoolScheduler::IsLeaseToBeWithheld(const WorkerId& id, const CellWorker& worker,
                                        absl::Time now) const {
  if (IsTrusted(id) || worker.lease_withheld) {
    return !IsTrusted(id);
  }
  if (MayHaveUnknownAttempts(id)) {
    return now - loaded_at_ > kUnreportedAfter;
  }
  return now - worker.unreachable_since > kUnreachableAfter ||
         now - worker.last_report > kMaxReportAge;
}

std::vector<RosterEntry> PoolScheduler::BuildHandoverRoster(absl::Time now) {
  std::vector<RosterEntry> roster = BuildRoster(now);
  for (RosterEntry& entry : roster) {
    // A worker that has not reported to this owner may run attempts that are not known here.
    if (MayHaveUnknownAttempts(entry.worker.id)) {
      continue;
    }
    entry.handover_term = entry.unreachable ? 0 : term_;
    const CellWorker& worker = workers_.at(entry.worker.id);
    entry.attempts = UnsettledAttempts(worker);
    entry.unconfirmed = UnconfirmedAttempts(worker);
    for (const auto& [key, attempt] : worker.attempts) {
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
      worker->lease_withheld = false;
    }
  }
}

bool PoolScheduler::NeedsRosterToExtendLease(const WorkerId& id) const {
  return IsTrusted(id) && workers_.at(id).lease_withheld;
}

void PoolScheduler::MarkChanged(CellJob* job) {
  ++job->version;
  changed_.insert(job->intake.id);
}

void PoolScheduler::Finish(CellJob* job, CellJobState state, absl::Time now,
                           const std::string& reason) {
  job->state = state;
  job->final_since = now;
  open_jobs_.erase(job->intake.id);
  shares_.ForgetJob(job->intake.id);
  speeds_.ForgetJob(job->intake.id);
  interference_.ForgetJob(job->intake.id);
  MarkChanged(job);
  RequestStops(*job);
  events_->Record(EventCode::kJobFinished)
      .Job(job->intake.id)
      .With(event_field::kState, CellJobStateName(state))
      .With(event_field::kReason, reason)
      .With("took_ms", absl::ToInt64Milliseconds(now - job->intake.accepted))
      .With("objective_left_ms", absl::ToInt64Milliseconds(job->objective - now))
      .Emit();
  // Attempts that still run are recorded with their workers and stopped from there, so the tasks
  // are no longer needed.
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

void PoolScheduler::RequestStops(const CellJob& job) {
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
  StepRun* run = FindStepRun(request.step);
  if (run == nullptr) {
    return;
  }
  run->advice.question_pending = false;
  run->advice.pending_workers.clear();
  statistics_.AddAdvice(now - run->advice.asked_at, request.cost);
  if (!advice.has_value()) {
    run->advice.retry_at = now + kAdviceRetryDelay;
    return;
  }
  size_t newly_asked = 0;
  size_t newly_allowed = 0;
  for (const WorkerId& id : request.question.workers) {
    // A renewal names workers that are known to be allowed.
    if (advice->tickets.count(id) == 0 && run->advice.allowed.erase(id) > 0) {
      // The step may ask about the worker once more, in case the refusal was temporary.
      run->advice.asked.erase(id);
    } else if (run->advice.asked.insert(id).second) {
      ++newly_asked;
      newly_allowed += advice->tickets.count(id);
    }
  }
  advice_shares_.Record(FindJob(request.step.job)->intake.policy.name, newly_asked, newly_allowed);
  const Resources needed = ReservedFor(FindJob(request.step.job)->Step(*run));
  int64_t usable = 0;
  const absl::Time expires =
      std::max(std::min(advice->decided_after, now) + advice->validity, now + kMinTicketUse);
  for (const auto& [id, ticket] : advice->tickets) {
    run->advice.allowed[id] = StepAdvice::Ticket{ticket, now, expires};
    const CellWorker* worker = FindWorker(id);
    usable += worker != nullptr && worker->AcceptsStarts(now) && needed.FitsInto(worker->Free());
  }
  events_->Record(EventCode::kAdviceReceived)
      .Job(request.step.job)
      .With("step", request.question.step)
      .With("asked", static_cast<int64_t>(request.question.workers.size()))
      .With("allowed", static_cast<int64_t>(advice->tickets.size()))
      .With("usable", usable)
      .With("took_ms", absl::ToInt64Milliseconds(now - run->advice.asked_at))
      .Emit();
}

void PoolScheduler::DropExpiredWorkers(absl::Time now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    CellWorker& worker = it->second;
    if (IsLeaseExpired(worker, now)) {
      partly_reported_workers_.erase(worker.description.id);
    }
    if (IsLeaseExpired(worker, now) && !worker.attempts.empty()) {
      LoseAttempts(&worker, worker.listed ? WorkerLossCause::kCutOff : WorkerLossCause::kVanished,
                   now);
    }
    if (!worker.listed && IsLeaseExpired(worker, now)) {
      // The loss of a worker without attempts is part of a wave as well.
      if (!worker.description.draining && worker.unreachable_since < now) {
        RememberLoss(worker, worker.unreachable_since);
      }
      speeds_.ForgetWorker(it->first);
      interference_.ForgetWorker(it->first);
      it = workers_.erase(it);
    } else {
      ++it;
    }
  }
}

void PoolScheduler::BeginAttempt(const PlacedTask& placed, absl::Time now,
                                 ScheduledOrders* result) {
  CellJob* job = FindJob(placed.task.job);
  StepRun* run = FindStepRun(placed.task);
  CellTask& task = run->tasks[placed.task.task];
  CellWorker* worker = FindWorker(placed.worker);
  const StepSpec& step = job->Step(*run);
  RunNumber last = std::max(task.last_run, first_run_);
  if (step.gang) {
    // All tasks of a gang get the same attempt number.
    for (const CellTask& member : run->tasks) {
      last = std::max(last, member.phase == TaskPhase::kWaiting ? member.last_run
                                                                : member.last_run - RunNumber(1));
    }
  }
  task.last_run = last + RunNumber(1);
  task.phase = TaskPhase::kActive;
  task.worker = placed.worker;
  task.moving_to = WorkerId();
  --run->waiting;
  Attempt attempt;
  attempt.key = AttemptKey{TaskName(*job, *run, placed.task.task), task.last_run};
  attempt.task = placed.task;
  attempt.customer = job->intake.customer;
  SetDemand(step, &attempt);
  attempt.isolated = placed.isolated;
  attempt.checkpoint = task.checkpoint;
  attempt.ordered_at = now;
  attempt.ticket_received_at = placed.ticket.received;
  attempt.ticket_expires = placed.ticket.expires;
  statistics_.AddOrdered(placed.late);
  if (task.restart.active()) {
    task.restart.Ordered(now, run->advice.asked_at, placed.ticket.received);
  }
  worker->used += attempt.reserved;
  events_->Record(EventCode::kTaskStartSent)
      .Task(TaskId(attempt.key.task))
      .With("run", attempt.key.run.value())
      .Worker(placed.worker)
      .With("waited_ms",
            absl::ToInt64Milliseconds(now - (step.long_running ? std::min(task.waiting_since, now)
                                                               : job->intake.accepted)))
      .With("report_age_ms", absl::ToInt64Milliseconds(now - worker->last_report))
      .Emit();
  WorkerOrder order;
  order.kind = WorkerOrder::Kind::kStart;
  order.key = attempt.key;
  order.payload = job->intake.spec.payload;
  order.checkpoint = task.checkpoint;
  order.ticket = placed.ticket.text;
  order.probe_first = step.long_running;
  result->orders.emplace_back(placed.worker, std::move(order));
  worker->attempts.emplace(attempt.key, std::move(attempt));
}

void PoolScheduler::StopAttempts(CellWorker* worker, absl::Time now, ScheduledOrders* result) {
  for (auto& [key, attempt] : worker->attempts) {
    const bool confirmed = attempt.stop_confirmed_at < absl::InfiniteFuture();
    if (!attempt.stop_wanted ||
        now - attempt.stop_sent_at <
            (confirmed ? kConfirmedStopResendInterval : kStopResendInterval)) {
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
  DropExpiredWorkers(now);
  NoteWaits(now);
  ScheduledOrders result;
  RoundResult round;
  if (may_start) {
    const bool explain_waits = IsWaitReportDue(now);
    round = ScheduleRound(open_jobs_, workers_, advice_shares_, now, PrepareRound(now))
                .Run(CanStartInheritedTasks(now), explain_waits);
    if (explain_waits) {
      RecordWaits(round.waits, now);
    }
  }
  result.workers_examined = round.workers_examined;
  RecordStarts(round, now);
  RecordInterference(round, now);
  RecordPoolState(round, now);
  // The attempt number of a gang is derived from the numbers of all its tasks, so attempts of a
  // gang are created in the same round.
  for (const PlacedTask& placed : round.placed) {
    // An earlier owner may have been lost before it could give the task up.
    if (!GiveUpIfItCrashesWorkers(placed.task, now)) {
      BeginAttempt(placed, now, &result);
    }
  }
  // An earlier owner may have been lost before it had started all members.
  for (const TaskRef& task : round.incomplete_gangs) {
    StopGang(task, std::nullopt);
  }
  for (AdviceRequest& request : round.advice) {
    StepRun* run = FindStepRun(request.step);
    if (run == nullptr) {
      continue;
    }
    run->advice.question_pending = true;
    run->advice.pending_workers = request.question.workers;
    run->advice.asked_at = now;
    result.advice.push_back(std::move(request));
  }
  BeginMoves(round.moves, now);
  for (const WorkerId& id : round.workers_to_clear) {
    for (auto& [key, attempt] : workers_[id].attempts) {
      attempt.stop_wanted = attempt.stop_wanted || attempt.best_effort;
    }
  }
  for (auto& [id, worker] : workers_) {
    StopAttempts(&worker, now, &result);
  }
  return result;
}

std::optional<WorkerTime> PoolScheduler::ExtendLease(const WorkerId& id, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr || !IsTrusted(id) || worker->lease_withheld) {
    return std::nullopt;
  }
  worker->lease_over_at = now + MaxLeaseDuration();
  return WorkerTime(worker->clock.value() +
                    absl::ToInt64Milliseconds(now - worker->clock_read_at + limits_.task_lease));
}

std::optional<WorkerTime> PoolScheduler::PrepareStart(const WorkerId& id, const AttemptKey& key,
                                                      absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return std::nullopt;
  }
  const auto it = worker->attempts.find(key);
  if (it == worker->attempts.end() || it->second.stop_wanted || it->second.TicketRanOut(now)) {
    return std::nullopt;
  }
  const std::optional<WorkerTime> lease_end = ExtendLease(id, now);
  if (lease_end.has_value()) {
    Attempt& attempt = it->second;
    attempt.sent_at = now;
    attempt.known_since = now;
    statistics_.AddSent(now - attempt.ordered_at);
    if (attempt.ticket_received_at > absl::InfinitePast()) {
      statistics_.AddTicketAge(now - attempt.ticket_received_at);
    }
  }
  return lease_end;
}

bool PoolScheduler::IsTrusted(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it != workers_.end() && it->second.unanswered_at < it->second.last_report;
}

}  // namespace pomelotray
