// The part of ScheduleRound that moves long-running tasks away from workers that are leaving.

#include <algorithm>
#include <utility>

#include "cell/placement/schedule_round.h"

namespace pomelotray {
namespace {

// Time that a ticket has to last: a worker takes up to 0.9 s to stop an attempt, and its report
// follows.
constexpr absl::Duration kStopTime = absl::Seconds(1);
// Capacity is held for a task that is moved until this time after the decision. A stop order that
// was not answered is sent again after 1 s.
constexpr absl::Duration kMaxMoveTime = absl::Seconds(2);
// Number of tasks that are moved at a time. Each takes capacity on two workers and is out of
// service until it has been stopped: 0.3 to 1.0 s on the plays of issue 42.
constexpr size_t kMaxMoves = 8;

}  // namespace

std::optional<ScheduleRound::LeavingTask> ScheduleRound::FindLeavingTask(
    const CellWorker& worker, const Attempt& attempt, bool inherited_allowed) const {
  if (!attempt.task.has_value() || attempt.phase != AttemptPhase::kRunning) {
    return std::nullopt;
  }
  const auto job = jobs_.find(attempt.task->job);
  // A task that may not be started again yet must not be stopped.
  if (job == jobs_.end() || job->second->cancel_requested ||
      (job->second->inherited && !inherited_allowed)) {
    return std::nullopt;
  }
  const StepRun& run = job->second->runs[attempt.task->run];
  const StepSpec& step = job->second->Step(run);
  const CellTask& task = run.tasks[attempt.task->task];
  const bool current = task.phase == TaskPhase::kActive && task.last_run == attempt.key.run &&
                       task.worker == worker.description.id;
  // Other tasks may end before the worker leaves.
  if (!current || !step.long_running || step.gang) {
    return std::nullopt;
  }
  return LeavingTask{Candidate{job->second, attempt.task->run}, attempt.task->task, &worker,
                     attempt.key};
}

void ScheduleRound::CollectLeavingTasks(bool inherited_allowed) {
  for (const CellWorker* worker : leaving_workers_) {
    for (const auto& [key, attempt] : worker->attempts) {
      std::optional<LeavingTask> leaving = FindLeavingTask(*worker, attempt, inherited_allowed);
      if (!leaving.has_value()) {
        continue;
      }
      if (attempt.stop_wanted) {
        HoldPlaceOfMove(*leaving);
      } else {
        leaving_tasks_.push_back(*std::move(leaving));
      }
    }
  }
}

void ScheduleRound::HoldPlaceOfMove(const LeavingTask& leaving) {
  const StepRun& run = leaving.candidate.job->runs[leaving.candidate.run];
  const CellTask& task = run.tasks[leaving.task];
  if (task.moving_to.empty() || now_ - task.moving_since > kMaxMoveTime) {
    return;
  }
  ++moves_;
  const auto index = available_index_.find(task.moving_to.value());
  if (index == available_index_.end()) {
    return;
  }
  AvailableWorker& available = available_workers_[index->second];
  if (ReservedFor(leaving.candidate.job->Step(run)).FitsInto(available.free)) {
    Allocate(leaving.candidate, task, &available);
  }
}

void ScheduleRound::PlanMoves() {
  for (const LeavingTask& leaving : leaving_tasks_) {
    if (moves_ >= kMaxMoves) {
      return;
    }
    PlanMove(leaving);
  }
}

void ScheduleRound::PlanMove(const LeavingTask& leaving) {
  const Candidate& candidate = leaving.candidate;
  const StepRun& run = candidate.job->runs[candidate.run];
  const CellTask& task = run.tasks[leaving.task];
  TaskCounts per_worker = CountActiveTasks(candidate.job->Step(run), run);
  CountDecidedTasks(candidate, &per_worker);
  const std::vector<EligibleWorker> eligible_workers = FindWorkersToMoveTo(candidate);
  for (const bool require_valid_ticket : {true, false}) {
    AvailableWorker* const available =
        FindWorker(candidate, task, eligible_workers, require_valid_ticket, per_worker);
    if (available == nullptr) {
      continue;
    }
    const WorkerId& id = available->worker->description.id;
    Allocate(candidate, task, available);
    ++moves_;
    if (require_valid_ticket) {
      result_.moves.push_back(
          TaskMove{TaskRef{candidate.job->intake.id, candidate.run, leaving.task}, leaving.attempt,
                   leaving.worker->description.id, id});
    } else {
      RenewTickets(candidate, {id}, per_worker);
    }
    return;
  }
  RequestAdviceAboutNewWorkers(candidate);
}

std::vector<ScheduleRound::EligibleWorker> ScheduleRound::FindWorkersToMoveTo(
    const Candidate& candidate) {
  std::vector<EligibleWorker> eligible_workers = FindEligibleWorkers(candidate);
  const std::optional<AdvicePolicy>& policy = candidate.job->intake.policy.advice;
  if (!policy.has_value()) {
    return eligible_workers;
  }
  // No ticket would last for the whole stop if the adviser issued short ones only.
  const absl::Duration margin = std::min(kStopTime, policy->validity / 2);
  const StepAdvice& advice = candidate.job->runs[candidate.run].advice;
  for (EligibleWorker& eligible : eligible_workers) {
    const StepAdvice::Ticket& ticket =
        advice.allowed.at(eligible.available->worker->description.id);
    eligible.has_valid_ticket = eligible.has_valid_ticket && ticket.expires > now_ + margin;
  }
  return eligible_workers;
}

void ScheduleRound::CountDecidedTasks(const Candidate& candidate, TaskCounts* per_worker) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  if (candidate.job->Step(run).max_per_worker == 0) {
    return;
  }
  const auto is_of_step = [&candidate](const TaskRef& task) {
    return task.run == candidate.run && task.job == candidate.job->intake.id;
  };
  for (const CellTask& task : run.tasks) {
    if (task.phase == TaskPhase::kActive && !task.moving_to.empty() &&
        now_ - task.moving_since <= kMaxMoveTime) {
      ++(*per_worker)[task.moving_to.value()];
    }
  }
  for (const PlacedTask& placed : result_.placed) {
    if (is_of_step(placed.task)) {
      ++(*per_worker)[placed.worker.value()];
    }
  }
  for (const TaskMove& move : result_.moves) {
    if (is_of_step(move.task)) {
      ++(*per_worker)[move.to.value()];
    }
  }
}

}  // namespace pomelotray
