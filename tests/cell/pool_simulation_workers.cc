// The part of PoolSimulation that holds the simulated workers, runs tasks on them and checks each
// start.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "tests/cell/pool_simulation.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kHoldRetryInterval = absl::Milliseconds(250);
constexpr absl::Duration kGangTimeout = absl::Seconds(3);
constexpr int kMaxStartsAfterThirdCrash = 2;

}  // namespace

void PoolSimulation::HoldWorkers() {
  std::vector<WorkerDescription> known;
  for (const auto& [id, worker] : scheduler_->workers()) {
    known.push_back(worker.description);
  }
  for (const WorkerDescription& description : known) {
    const WorkerEntry it = workers_.find(description.id.value());
    if (it == workers_.end()) {
      FailHold(description);
    } else if (it->second.next_hold <= Now()) {
      Hold(description, &it->second);
    }
  }
}

void PoolSimulation::FailHold(const WorkerDescription& description) {
  const bool replaced =
      std::any_of(workers_.begin(), workers_.end(), [&description](const auto& entry) {
        return entry.second.up && entry.second.description.address == description.address &&
               entry.second.description.id != description.id;
      });
  if (replaced) {
    scheduler_->WorkerReplaced(description.id, Now());
  } else {
    scheduler_->HoldFailed(description.id, Now());
  }
}

void PoolSimulation::Hold(const WorkerDescription& description, Worker* worker) {
  if (!worker->up || Now() < worker->cut_until) {
    worker->next_hold = Now() + kHoldRetryInterval;
    FailHold(description);
    return;
  }
  const WorkerId& worker_id = description.id;
  worker->next_hold = Now() + Millis(20, 200);
  worker->token = FencingToken(term_);
  const EndNumber acknowledged = scheduler_->AcknowledgedEnd(worker_id);
  const std::optional<WorkerTime> lease_end = scheduler_->ExtendLease(worker_id, Now());
  if (lease_end.has_value()) {
    worker->lease_end =
        std::max(worker->lease_end, worker->started_at + absl::Milliseconds(lease_end->value()));
  }
  WorkerReport report;
  report.clock = ClockOf(*worker);
  report.started_at = worker->started_at;
  for (const TaskRun& run : worker->runs) {
    const double share = absl::FDivDuration(Now() - run.started, run.duration);
    report.running.push_back(
        RunningAttempt{run.key, "", run.long_running ? 100 : static_cast<int>(share * 100), 0});
  }
  for (size_t i = 0; i < worker->ends.size();) {
    const EndedAttempt& end = worker->ends[i];
    if (end.number <= acknowledged) {
      if (end.end == AttemptEnd::kSucceeded) {
        acknowledged_successes_.insert(end.key.task);
      }
      worker->ends.erase(worker->ends.begin() + static_cast<int64_t>(i));
    } else {
      report.ended.push_back(end);
      ++i;
    }
  }
  for (const RunningAttempt& running : report.running) {
    NoteTold(running.key);
  }
  for (const EndedAttempt& end : report.ended) {
    NoteTold(end.key);
  }
  scheduler_->ApplyReport(worker_id, report, Now(), Now());
}

OrderAnswer PoolSimulation::Execute(Worker* worker, const WorkerOrder& order, FencingToken token,
                                    WorkerTime lease_end) {
  if (token < worker->token) {
    return OrderAnswer::kFenced;
  }
  worker->token = token;
  const auto same_task = [&order](const TaskRun& run) { return run.key.task == order.key.task; };
  const auto present = std::find_if(worker->runs.begin(), worker->runs.end(), same_task);
  if (order.kind == WorkerOrder::Kind::kStop) {
    worker->refused[order.key.task] = std::max(worker->refused[order.key.task], order.key.run);
    if (present != worker->runs.end() && present->key.run <= order.key.run && !present->stopping) {
      present->stopping = true;
      present->stopped_at = Now() + Millis(50, 900);
    }
    return OrderAnswer::kAccepted;
  }
  if (present != worker->runs.end() && present->key.run == order.key.run) {
    return OrderAnswer::kAccepted;
  }
  const auto refused = worker->refused.find(order.key.task);
  if (present != worker->runs.end() ||
      (refused != worker->refused.end() && order.key.run <= refused->second)) {
    return OrderAnswer::kSuperseded;
  }
  if (Now() < worker->refuses_until) {
    return OrderAnswer::kUnhealthy;
  }
  if (lease_end <= ClockOf(*worker)) {
    return OrderAnswer::kLeaseOver;
  }
  if (load_.adviser && !AcceptsTicket(*worker, order)) {
    return OrderAnswer::kTicketRefused;
  }
  worker->lease_end =
      std::max(worker->lease_end, worker->started_at + absl::Milliseconds(lease_end.value()));
  TaskNameParts parts;
  ParseTaskName(order.key.task, &parts);
  JobTruth& job = jobs_.at(parts.job);
  job.begun = true;
  const StepSpec& step = job.intake.spec.steps[parts.step];
  TaskRun run;
  run.key = order.key;
  run.demand = step.demand;
  run.started = Now();
  run.duration = step.estimate;
  run.long_running = step.long_running;
  if (step.gang) {
    run.gang =
        absl::StrCat(parts.job, ".", parts.occurrence, ".", parts.step, "#", order.key.run.value());
  }
  if (order.key.task == job.crashing_task) {
    run.crash_after = job.crash_after;
  }
  worker->runs.push_back(run);
  NoteStart(run);
  CheckStart(*worker, run);
  return OrderAnswer::kAccepted;
}

void PoolSimulation::CheckStart(const Worker& worker, const TaskRun& started) {
  Resources used;
  for (const TaskRun& run : worker.runs) {
    used += run.demand;
  }
  const std::string& task = started.key.task;
  if (worker.draining_counts_at <= Now()) {
    Violation(absl::StrCat(task, " is started on ", worker.description.id.value(),
                           ", which is about to leave"));
  }
  if (!used.FitsInto(CapacityThatCounts(worker))) {
    Violation(absl::StrCat(task, " exceeds the capacity of ", worker.description.id.value(), ": ",
                           used.cpu.value(), " of ", CapacityThatCounts(worker).cpu.value()));
  }
  int places = 0;
  for (const auto& [id, other] : workers_) {
    places += static_cast<int>(
        std::count_if(other.runs.begin(), other.runs.end(),
                      [&task](const TaskRun& run) { return run.key.task == task; }));
  }
  if (places > 1) {
    Violation(absl::StrCat(task, " runs twice"));
  }
  if (acknowledged_successes_.count(task) > 0) {
    Violation(absl::StrCat(task, " is started after it succeeded"));
  }
  if (crashes_[task] >= 3 && ++starts_after_third_crash_[task] > kMaxStartsAfterThirdCrash) {
    Violation(absl::StrCat(task, " is started after ", crashes_[task], " crashes"));
  }
}

void PoolSimulation::AdvanceRuns(Worker* worker) {
  if (!worker->up) {
    return;
  }
  for (size_t i = 0; i < worker->runs.size();) {
    const TaskRun run = worker->runs[i];
    if (run.started + run.crash_after <= Now()) {
      CrashWorker(worker, run.key.task);
      return;
    }
    if (worker->lease_end <= Now()) {
      EndRun(worker, i, AttemptEnd::kLeaseExpired);
    } else if (run.stopping && run.stopped_at <= Now()) {
      EndRun(worker, i, AttemptEnd::kStopped);
    } else if (!run.stopping && !run.long_running && run.gang.empty() &&
               run.started + run.duration <= Now()) {
      EndRun(worker, i, AttemptEnd::kSucceeded);
    } else {
      ++i;
    }
  }
}

void PoolSimulation::EndRun(Worker* worker, size_t index, AttemptEnd end) {
  const AttemptKey key = worker->runs[index].key;
  NoteEnd(worker->runs[index]);
  if (end != AttemptEnd::kSucceeded) {
    broken_gangs_.insert(worker->runs[index].gang);
  }
  worker->runs.erase(worker->runs.begin() + static_cast<int64_t>(index));
  worker->last_end = EndNumber(worker->last_end.value() + 1);
  worker->ends.push_back(EndedAttempt{worker->last_end, key, end, ""});
  worker->refused[key.task] = std::max(worker->refused[key.task], key.run);
}

void PoolSimulation::AdvanceGangs() {
  std::map<std::string, int> members;
  for (const auto& [id, worker] : workers_) {
    for (const TaskRun& run : worker.runs) {
      ++members[run.gang];
    }
  }
  for (auto& [id, worker] : workers_) {
    for (size_t i = 0; i < worker.runs.size();) {
      const TaskRun run = worker.runs[i];
      if (run.gang.empty() || run.stopping) {
        ++i;
        continue;
      }
      TaskNameParts parts;
      ParseTaskName(run.key.task, &parts);
      const int size = jobs_.at(parts.job).intake.spec.steps[parts.step].task_count;
      if (members[run.gang] == size) {
        complete_gangs_.emplace(run.gang, Now());
      }
      const auto complete = complete_gangs_.find(run.gang);
      if (complete != complete_gangs_.end() && complete->second + run.duration <= Now() &&
          broken_gangs_.count(run.gang) == 0) {
        EndRun(&worker, i, AttemptEnd::kSucceeded);
      } else if (broken_gangs_.count(run.gang) > 0) {
        EndRun(&worker, i, AttemptEnd::kGangBroken);
      } else if (complete == complete_gangs_.end() && Now() - run.started > kGangTimeout) {
        EndRun(&worker, i, AttemptEnd::kGangIncomplete);
      } else {
        ++i;
      }
    }
  }
}

}  // namespace pomelotray
