// The part of ScheduleRound that explains why long-running tasks do not start.

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "cell/placement/schedule_round.h"

namespace pomelotray {

ScheduleRound::TaskCounts ScheduleRound::CountActiveTasks(const StepSpec& step,
                                                          const StepRun& run) {
  TaskCounts per_worker;
  if (step.max_per_worker == 0) {
    return per_worker;
  }
  for (const CellTask& task : run.tasks) {
    if (task.phase == TaskPhase::kActive) {
      ++per_worker[task.worker.value()];
    }
  }
  return per_worker;
}

void ScheduleRound::ExplainInheritedWaits(const CellJob& job) {
  for (size_t i = 0; explain_waits_ && i < job.runs.size(); ++i) {
    if (job.Step(job.runs[i]).long_running && IsStartable(job, job.runs[i], now_)) {
      StepWait wait;
      const std::vector<CellTask>& tasks = job.runs[i].tasks;
      const auto first = std::find_if(tasks.begin(), tasks.end(), [](const CellTask& task) {
        return task.phase == TaskPhase::kWaiting;
      });
      wait.task = TaskRef{job.intake.id, static_cast<int>(i),
                          static_cast<int>(std::distance(tasks.begin(), first))};
      wait.waiting = job.runs[i].waiting;
      wait.workers[WaitReason::kInheritedAttempts] = 1;
      result_.waits.push_back(std::move(wait));
    }
  }
}

void ScheduleRound::PlaceAndExplain(const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  // The free capacity that the step finds is not that which it leaves, so all its waiting tasks are
  // examined before.
  std::vector<StepWait> waits;
  for (size_t i = 0; i < run.tasks.size(); ++i) {
    if (run.tasks[i].phase == TaskPhase::kWaiting) {
      waits.push_back(ExplainWait(candidate, static_cast<int>(i), waits.size()));
    }
  }
  const size_t placed_before = result_.placed.size();
  PlaceStep(candidate);
  const auto is_placed = [this, placed_before](const StepWait& wait) {
    return std::any_of(
        result_.placed.begin() + static_cast<int64_t>(placed_before), result_.placed.end(),
        [&wait](const PlacedTask& placed) { return placed.task.task == wait.task.task; });
  };
  const auto first = std::find_if_not(waits.begin(), waits.end(), is_placed);
  if (first != waits.end()) {
    first->waiting = run.waiting - static_cast<int>(result_.placed.size() - placed_before);
    result_.waits.push_back(std::move(*first));
  }
}

bool ScheduleRound::IsHeldByCap(const Candidate& candidate, size_t before) const {
  if (policies_.gate == nullptr) {
    return false;
  }
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const int64_t needed = step.gang ? run.waiting : static_cast<int64_t>(before) + 1;
  return policies_.gate->MaxStarts(candidate.job->intake.customer, step.demand, needed) < needed;
}

StepWait ScheduleRound::ExplainWait(const Candidate& candidate, int task, size_t before) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  StepWait wait;
  wait.task = TaskRef{candidate.job->intake.id, candidate.run, task};
  if (run.tasks[task].start_not_before > now_) {
    wait.workers[WaitReason::kRestartDelay] = 1;
    return wait;
  }
  if (IsHeldByCap(candidate, before)) {
    wait.workers[WaitReason::kCap] = 1;
    return wait;
  }
  if (!LeavesHeadroom(candidate)) {
    wait.workers[WaitReason::kHeadroom] = 1;
    return wait;
  }
  const TaskCounts per_worker = CountActiveTasks(candidate.job->Step(run), run);
  for (const AvailableWorker& available : available_workers_) {
    const std::optional<WaitReason> obstacle =
        FindObstacle(candidate, run.tasks[task], available, per_worker);
    if (obstacle.has_value()) {
      ++wait.workers[*obstacle];
    }
  }
  return wait;
}

std::optional<WaitReason> ScheduleRound::FindObstacle(const Candidate& candidate,
                                                      const CellTask& task,
                                                      const AvailableWorker& available,
                                                      const TaskCounts& per_worker) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const WorkerId& id = available.worker->description.id;
  const bool needs_ticket = candidate.job->intake.policy.advice.has_value();
  if (!ReservedFor(step).FitsInto(available.free)) {
    return WaitReason::kCapacity;
  }
  if (!available.worker->HasLabel(step.required_label)) {
    return WaitReason::kLabel;
  }
  if ((available.has_serving && step.best_effort) ||
      (available.has_best_effort && IsServing(step))) {
    return WaitReason::kBestEffort;
  }
  if (needs_ticket && !HasTicket(run, id, /*valid=*/false)) {
    return run.advice.asked.count(id) > 0 ? WaitReason::kNotAllowed : WaitReason::kNoTicket;
  }
  if (available.reserved && !EndsBeforeReservation(step, available) &&
      !(step.long_running && MayUseReservation(candidate, task, available))) {
    return WaitReason::kReservation;
  }
  if (HasReachedWorkerLimit(step, id, per_worker)) {
    return WaitReason::kWorkerLimit;
  }
  if (!MayShareWorker(candidate, task, available)) {
    return WaitReason::kIsolation;
  }
  if (needs_ticket && !HasTicket(run, id, /*valid=*/true)) {
    return WaitReason::kExpiredTicket;
  }
  return std::nullopt;
}

}  // namespace pomelotray
