// The part of PoolScheduler that handles the loss of workers and finds the tasks that cause it.

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cell/ownership/pool_scheduler.h"

namespace pomelotray {
namespace {

// A crash that follows the start of a task by more than this is not one at its start.
constexpr absl::Duration kMaxCrashDelayAfterStart = absl::Seconds(1);
// Attempts that ran hardly longer than the one that was started last are as likely to have caused
// the loss: up to this factor and time longer, since start orders are answered one by one.
constexpr double kStartedLastFactor = 2;
constexpr absl::Duration kStartedLastMargin = absl::Milliseconds(50);
// An attempt of another job that ran longer by this factor and time has not caused the loss if the
// loss followed a start: a loss may be noticed 250 ms late.
constexpr double kStartedApartFactor = 2;
constexpr absl::Duration kStartedApartMargin = absl::Milliseconds(250);

// Time for which a certain loss is kept for the judgement of others: IsInWave() goes back by
// kSettleTime from the time at which a worker was lost, which is certain up to a lease later.
constexpr absl::Duration kLossMemory = absl::Seconds(30);

// Returns for how long the attempt can have run before the worker was lost at `lost_at`.
absl::Duration RunTime(const Attempt& attempt, absl::Time lost_at) {
  return std::max(lost_at - attempt.sent_at, absl::ZeroDuration());
}

// Returns the run time of the attempt that was started last and confirmed by the worker.
absl::Duration ShortestRunTime(const CellWorker& worker, absl::Time lost_at) {
  absl::Duration shortest = absl::InfiniteDuration();
  for (const auto& [key, attempt] : worker.attempts) {
    if (attempt.phase == AttemptPhase::kRunning) {
      shortest = std::min(shortest, RunTime(attempt, lost_at));
    }
  }
  return shortest;
}

}  // namespace

LostAttempt PoolScheduler::DescribeLoss(const CellWorker& worker, const Attempt& attempt,
                                        absl::Time lost_at) {
  LostAttempt lost;
  lost.run = attempt.key.run;
  lost.ran_for = RunTime(attempt, lost_at);
  lost.alone = std::all_of(worker.attempts.begin(), worker.attempts.end(), [&](const auto& entry) {
    const Attempt& other = entry.second;
    const bool same_job = other.task.has_value() && other.task->job == attempt.task->job;
    return same_job || other.IsSettled(lost_at);
  });
  const absl::Duration limit =
      std::min(ShortestRunTime(worker, lost_at) * kStartedLastFactor + kStartedLastMargin,
               kMaxCrashDelayAfterStart);
  lost.started_last = lost.ran_for <= limit;
  lost.started_apart =
      std::all_of(worker.attempts.begin(), worker.attempts.end(), [&](const auto& entry) {
        const Attempt& other = entry.second;
        const bool same_job = other.task.has_value() && other.task->job == attempt.task->job;
        return same_job ||
               RunTime(other, lost_at) > lost.ran_for * kStartedApartFactor + kStartedApartMargin;
      });
  return lost;
}

void PoolScheduler::RememberLoss(const CellWorker& worker, absl::Time lost_at) {
  absl::Time& remembered = lost_workers_[worker.description.id];
  remembered = std::max(remembered, lost_at);
  for (auto it = lost_workers_.begin(); it != lost_workers_.end();) {
    it = it->second < lost_at - kLossMemory ? lost_workers_.erase(it) : std::next(it);
  }
}

std::vector<absl::Time> PoolScheduler::LossesOfOthers(const CellWorker& worker) const {
  std::vector<absl::Time> losses;
  for (const auto& [id, lost_at] : lost_workers_) {
    if (id != worker.description.id) {
      losses.push_back(lost_at);
    }
  }
  for (const auto& [id, other] : workers_) {
    if (id != worker.description.id && other.unreachable_since < absl::InfiniteFuture() &&
        lost_workers_.count(id) == 0) {
      losses.push_back(other.unreachable_since);
    }
  }
  return losses;
}

size_t PoolScheduler::CountListedWorkers() const {
  return static_cast<size_t>(std::count_if(workers_.begin(), workers_.end(),
                                           [](const auto& entry) { return entry.second.listed; }));
}

void PoolScheduler::RecordLosses(CellWorker* worker, absl::Time now, bool certain) {
  if (worker->attempts.empty()) {
    return;
  }
  const absl::Time lost_at = std::min(worker->unreachable_since, now);
  const std::vector<absl::Time> others = LossesOfOthers(*worker);
  const size_t workers = CountListedWorkers();
  for (auto& [key, attempt] : worker->attempts) {
    // A worker that did not confirm the start may have been lost before the order arrived.
    // A settled attempt outlives many workers.
    if (attempt.phase != AttemptPhase::kRunning || !IsCurrent(*worker, attempt) ||
        attempt.IsSettled(lost_at)) {
      continue;
    }
    CellJob* job = FindJob(attempt.task->job);
    StepRun* run = FindStepRun(*attempt.task);
    LostAttempt lost = DescribeLoss(*worker, attempt, lost_at);
    lost.in_wave = IsInWave(lost.ran_for, lost_at, others, workers);
    WorkerLossHistory& losses = run->tasks[attempt.task->task].losses;
    const bool suspect = lost.started_last || !losses.empty();
    if ((certain || suspect) && losses.Add(lost)) {
      worker->losses_expected = !certain;
      MarkChanged(job);
    } else if (lost.ran_for < absl::InfiniteDuration() &&
               losses.SetInWave(lost.run, lost.in_wave)) {
      // Otherwise an earlier owner saw the loss, and knew more of the losses at that time.
      MarkChanged(job);
    }
  }
}

void PoolScheduler::RetractLosses(CellWorker* worker) {
  for (const auto& [key, attempt] : worker->attempts) {
    if (attempt.task.has_value()) {
      RetractLoss(*attempt.task, key.run);
    }
  }
  worker->losses_expected = false;
}

void PoolScheduler::RetractLoss(const TaskRef& task, RunNumber attempt) {
  StepRun* run = FindStepRun(task);
  if (run != nullptr && run->tasks[task.task].losses.Remove(attempt)) {
    MarkChanged(FindJob(task.job));
  }
}

void PoolScheduler::LoseAttempts(CellWorker* worker, WorkerLossCause cause, absl::Time now) {
  if (worker->description.draining) {
    cause = WorkerLossCause::kLeft;
  }
  const absl::Time lost_at = std::min(worker->unreachable_since, now);
  events_->Record(EventCode::kWorkerLost)
      .Worker(worker->description.id)
      .With("cause", WorkerLossCauseName(cause))
      .With("attempts", static_cast<int64_t>(worker->attempts.size()))
      .With("unreachable_ms", absl::ToInt64Milliseconds(now - lost_at))
      .Emit();
  if (MayBeCausedByTask(cause)) {
    RememberLoss(*worker, lost_at);
    RecordLosses(worker, now, /*certain=*/true);
  } else {
    RetractLosses(worker);
  }
  std::vector<std::pair<TaskRef, RunNumber>> tasks;
  for (const auto& [key, attempt] : worker->attempts) {
    if (IsCurrent(*worker, attempt)) {
      RecordTaskWorkerLost(*worker, attempt, cause, lost_at);
      tasks.emplace_back(*attempt.task, key.run);
    }
  }
  // A worker that was only cut off may still report the ends of these attempts.
  worker->fully_reported = false;
  while (!worker->attempts.empty()) {
    DropAttempt(worker, AttemptKey(worker->attempts.begin()->first), nullptr, true, now);
  }
  for (const auto& [task, run] : tasks) {
    StopGang(task, run);
    GiveUpIfItCrashesWorkers(task, now);
  }
}

void PoolScheduler::RecordTaskWorkerLost(const CellWorker& worker, const Attempt& attempt,
                                         WorkerLossCause cause, absl::Time lost_at) {
  const auto of_other_job = [&attempt](const auto& entry) {
    return !entry.second.task.has_value() || entry.second.task->job != attempt.task->job;
  };
  const LostAttempt lost = DescribeLoss(worker, attempt, lost_at);
  const WorkerLossHistory& losses = FindStepRun(*attempt.task)->tasks[attempt.task->task].losses;
  const auto recorded =
      std::find_if(losses.attempts().begin(), losses.attempts().end(),
                   [&lost](const LostAttempt& known) { return known.run == lost.run; });
  const bool in_wave = recorded != losses.attempts().end() && recorded->in_wave;
  events_->Record(EventCode::kTaskWorkerLost)
      .Job(attempt.task->job)
      .Task(TaskId(attempt.key.task))
      .With("run", attempt.key.run.value())
      .Worker(worker.description.id)
      .With("cause", WorkerLossCauseName(cause))
      // -1: another owner sent the start order.
      .With("ran_ms", lost.ran_for < absl::InfiniteDuration()
                          ? absl::ToInt64Milliseconds(lost.ran_for)
                          : int64_t{-1})
      .With("beside", static_cast<int64_t>(std::count_if(worker.attempts.begin(),
                                                         worker.attempts.end(), of_other_job)))
      .With("started_last", lost.started_last ? 1 : 0)
      .With("started_apart", lost.started_apart ? 1 : 0)
      .With("in_wave", in_wave ? 1 : 0)
      .With("losses", static_cast<int64_t>(losses.attempts().size()))
      .With("suspected", losses.IsSuspected() ? 1 : 0)
      .Emit();
}

bool PoolScheduler::GiveUpIfItCrashesWorkers(const TaskRef& task, absl::Time now) {
  CellJob* job = FindJob(task.job);
  const StepRun* run = FindStepRun(task);
  if (run == nullptr) {
    return true;
  }
  const WorkerLossHistory& losses = run->tasks[task.task].losses;
  if (!losses.CrashesWorkers()) {
    return false;
  }
  Finish(job, CellJobState::kFailed, now,
         absl::StrCat(TaskName(*job, *run, task.task), " crashes its workers: ",
                      losses.attempts().size(), " were lost while they ran it"));
  return true;
}

void PoolScheduler::ClearSurvivors(CellWorker* worker) {
  for (auto& [key, attempt] : worker->attempts) {
    const bool long_running = attempt.estimate == absl::InfiniteDuration();
    if ((!attempt.isolated && !long_running) || !attempt.listed || !IsCurrent(*worker, attempt)) {
      continue;
    }
    WorkerLossHistory& losses = FindStepRun(*attempt.task)->tasks[attempt.task->task].losses;
    const absl::Duration probation =
        long_running ? losses.LongRunningTaskProbation() : losses.Probation();
    const bool suspicious = attempt.isolated || !losses.empty();
    if (suspicious && worker->last_report - attempt.known_since >= probation) {
      attempt.isolated = false;
      losses.Clear();
      MarkChanged(FindJob(attempt.task->job));
    }
  }
}

void PoolScheduler::MarkUnreachable(CellWorker* worker, absl::Time now) {
  worker->unreachable_since = std::min(worker->unreachable_since, now);
  worker->unanswered_at = now;
}

void PoolScheduler::HoldFailed(const WorkerId& id, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  if (worker->unanswered_at < worker->last_report) {
    events_->Record(EventCode::kWorkerUnreachable)
        .Worker(id)
        .With("attempts", static_cast<int64_t>(worker->attempts.size()))
        .With("report_age_ms", absl::ToInt64Milliseconds(now - worker->last_report))
        .Emit();
  }
  MarkUnreachable(worker, now);
  // If the worker has crashed and this owner is lost before it is certain of that, the next owner
  // learns of the crash from these records only.
  RecordLosses(worker, now, /*certain=*/false);
}

void PoolScheduler::WorkerMoved(const WorkerId& id, absl::Time now) {
  CellWorker* const worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  // The next owner calls the address in the roster. If another worker answers there, it concludes
  // that nothing runs on this one.
  worker->on_roster = false;
  std::vector<AttemptKey> unanswered;
  for (const auto& [key, attempt] : worker->attempts) {
    if (attempt.phase == AttemptPhase::kOrdered) {
      unanswered.push_back(key);
    }
  }
  for (const AttemptKey& key : unanswered) {
    StartFinished(id, key, OrderOutcome{std::nullopt, /*never_sent=*/false}, now);
  }
}

void PoolScheduler::WorkerReplaced(const WorkerId& id, absl::Time now) {
  CellWorker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  MarkUnreachable(worker, now);
  worker->lease_over_at = now;
  unreported_workers_.erase(id);
  partly_reported_workers_.erase(id);
  LoseAttempts(worker, WorkerLossCause::kCrashed, now);
}

}  // namespace pomelotray
