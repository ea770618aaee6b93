#include "cell/placement/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelotray {
namespace {

// Bounds the time spent on updates: rounds may follow each other within milliseconds.
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(100);
// Runs are not measured more exactly than the 20 ms that an order takes, so shorter ones say little
// about their worker.
constexpr absl::Duration kMinRunTime = absl::Milliseconds(100);
// What is left of a worker's estimate, in runs, when its speed has changed.
constexpr double kRunsAfterChange = 2;
// A step is patient if its latest start is further away than this and its estimate: 5 s as in
// ScheduleRound, and the time that it may lose on a slow worker.
constexpr absl::Duration kPatientSlack = absl::Seconds(5);

// Whether the tasks of the step do the same work on the same kind of capacity, so that their run
// times show the speeds of their workers. The members of a gang end together, best-effort tasks get
// what their neighbors leave, and long-running tasks do not end.
bool IsComparable(const StepSpec& step) {
  return !step.gang && !step.best_effort && !step.long_running;
}

// Whether the attempt has done all its work on this worker, under the usual conditions and known to
// this owner since its start.
bool IsComparable(const StepSpec& step, const StepRun& run, const CellWorker& worker,
                  const Attempt& attempt) {
  return IsComparable(step) && attempt.ordered_at > absl::InfinitePast() &&
         attempt.confirmed_at > absl::InfinitePast() &&
         attempt.confirmed_at < absl::InfiniteFuture() &&
         run.tasks[attempt.task->task].checkpoint.empty() && worker.HasLabel(step.preferred_rack);
}

}  // namespace

const StepRunTimes* WorkerSpeeds::FindStep(const JobId& job, int step) const {
  const auto known_job = jobs_.find(job);
  if (known_job == jobs_.end()) {
    return nullptr;
  }
  const auto known_step = known_job->second.steps.find(step);
  return known_step == known_job->second.steps.end() ? nullptr : &known_step->second;
}

StepRunTimes* WorkerSpeeds::AddStep(const JobId& job, int step) {
  const auto [known_job, added_job] = jobs_.try_emplace(job);
  if (added_job) {
    known_job->second.position = job_order_.insert(job_order_.end(), job);
  }
  const auto [known_step, added_step] = known_job->second.steps.try_emplace(step);
  StepRunTimes* const times = &known_step->second;
  step_count_ += added_step ? 1 : 0;
  return times;
}

void WorkerSpeeds::NoteSuccess(const CellJob& job, const StepRun& run, const CellWorker& worker,
                               const Attempt& attempt, absl::Time now) {
  const StepSpec& step = job.Step(run);
  // The end of an attempt is learned late after a gap in the reports.
  if (!IsComparable(step, run, worker, attempt) ||
      attempt.confirmed_at < worker.reports_resumed_at ||
      now - attempt.confirmed_at < kMinRunTime ||
      (step.task_count == 1 && job.intake.spec.occurrences <= 1)) {
    return;
  }
  std::unique_ptr<Worker>& known = workers_[worker.description.id];
  if (known == nullptr) {
    known = std::make_unique<Worker>();
  }
  AddStep(job.intake.id, run.step)
      ->Add(known->estimate, std::log(absl::ToDoubleSeconds(now - attempt.confirmed_at)), now);
  while (step_count_ > kMaxSteps && job_order_.front() != job.intake.id) {
    ForgetJob(JobId(job_order_.front()));
  }
}

void WorkerSpeeds::NoteRunning(const CellJob& job, const StepRun& run, const CellWorker& worker,
                               const Attempt& attempt, const RunningAttempt& reported,
                               absl::Time now) {
  const StepSpec& step = job.Step(run);
  if (!IsComparable(step, run, worker, attempt) || attempt.stop_wanted) {
    return;
  }
  std::unique_ptr<Worker>& known = workers_[worker.description.id];
  if (known == nullptr) {
    known = std::make_unique<Worker>();
  }
  const SpeedEstimate* const estimate = known->estimate.get();
  const TypicalRunTimeSource typical = [&]() -> std::optional<TypicalRunTime> {
    const StepRunTimes* const times = FindStep(job.intake.id, run.step);
    return times == nullptr ? std::nullopt : times->TypicalElsewhere(estimate, now);
  };
  known->progress.Note(
      attempt.key, ProgressReport{reported.percent, absl::Milliseconds(worker.clock.value()), now},
      worker.reports_resumed_at, typical, step.estimate);
}

void WorkerSpeeds::ForgetJob(const JobId& id) {
  const auto job = jobs_.find(id);
  if (job != jobs_.end()) {
    step_count_ -= job->second.steps.size();
    job_order_.erase(job->second.position);
    jobs_.erase(job);
  }
}

void WorkerSpeeds::ForgetWorker(const WorkerId& id) { workers_.erase(id); }

std::vector<SpeedChange> WorkerSpeeds::BeginRound(const std::map<JobId, const CellJob*>& open_jobs,
                                                  std::map<WorkerId, CellWorker>* workers,
                                                  absl::Time now) {
  now_ = now;
  highest_priority_ = std::numeric_limits<int>::max();
  for (const auto& [id, job] : open_jobs) {
    highest_priority_ = std::min(highest_priority_, job->intake.policy.priority);
  }
  std::vector<SpeedChange> changes;
  if (now - updated_at_ < kUpdateInterval) {
    return changes;
  }
  updated_at_ = now;
  for (auto& [id, worker] : *workers) {
    const auto known = workers_.find(id);
    if (known != workers_.end()) {
      UpdateWorker(known->second.get(), &worker, now, &changes);
    } else {
      worker.log_slowdown = 0;
      worker.slow = false;
    }
  }
  return changes;
}

void WorkerSpeeds::UpdateWorker(Worker* known, CellWorker* worker, absl::Time now,
                                std::vector<SpeedChange>* changes) {
  WorkerProgress& progress = known->progress;
  const bool was_slow_by_progress = progress.slow();
  progress.Update(*worker, now);
  const bool became_slow = progress.slow() && !was_slow_by_progress;
  if (became_slow || (worker->slow && progress.normal())) {
    known->estimate->LimitMemory(kRunsAfterChange, now);
  }
  worker->log_slowdown = known->estimate->LogSlowdown(now);
  if (progress.slow()) {
    worker->log_slowdown = std::max(worker->log_slowdown, progress.log_slowdown());
  }
  const bool slow =
      worker->log_slowdown >= (worker->slow ? kRecoveredLogSlowdown : kSlowLogSlowdown);
  if (slow != worker->slow) {
    worker->slow = slow;
    changes->push_back(SpeedChange{worker->description.id, slow,
                                   slow ? progress.slow() : progress.normal(),
                                   worker->log_slowdown});
  }
}

double WorkerSpeeds::LogSlowdown(const PlacementOption& option) const {
  const CellWorker& worker = option.worker;
  if (worker.log_slowdown == 0) {
    return 0;
  }
  const StepRun& run = option.run;
  const StepSpec& step = option.Step();
  const bool urgent = step.gang || option.job.intake.policy.priority <= highest_priority_;
  const bool patient =
      !urgent && !step.long_running && run.latest_start > now_ + kPatientSlack + step.estimate;
  // A slow worker may cost a step more than its slack, so only patient steps do not avoid it. They
  // do not seek it, either.
  if (patient) {
    return worker.slow ? 0 : -worker.log_slowdown;
  }
  return urgent || run.critical || worker.slow ? worker.log_slowdown : 0;
}

}  // namespace pomelotray
