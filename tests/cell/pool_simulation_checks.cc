// The part of PoolSimulation that checks which tasks run and how the jobs end, and writes the
// trace.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "base/event.h"
#include "tests/cell/pool_simulation.h"

namespace pomelotray {
namespace {

// A long-running task must run once workers have had capacity for it for this time, ...
constexpr absl::Duration kMaxWait = absl::Seconds(3);
// ... which starts when the last fault is this long ago. A fault can cost this much time before the
// owner has noticed it.
constexpr absl::Duration kFaultNotice = absl::Seconds(4);
// No task has to run again sooner after its last run: the owner may be sure of the end of the run
// only when the worker has restarted, which takes up to 4 s.
constexpr absl::Duration kMinWait = absl::Seconds(6);
// Number of workers that must have capacity for the task, and the number in the strict form.
constexpr int kMinWorkers = 2;
constexpr int kStrictMinWorkers = 1;
// A job need not complete if the only workers that it may use have been up for less than this,
// which covers the time to list the worker, two answers of the adviser and the tasks of a step.
constexpr absl::Duration kStepTime = absl::Seconds(10);

}  // namespace

void PoolSimulation::Note(const std::string& text) const {
  if (trace_ != nullptr) {
    trace_(absl::StrCat(absl::ToDoubleSeconds(Now() - begin_), " ", text));
  }
}

void PoolSimulation::TakeEvent(const Event& event) {
  if (event.code == EventCode::kTaskWaiting) {
    wait_reasons_[event.fields.at(event_field::kJob)] =
        absl::StrCat(event.fields.at(event_field::kReason), " (", event.fields.at("workers"), ")");
  }
  if (trace_ != nullptr) {
    Note(nlohmann::json(event).dump());
  }
}

void PoolSimulation::NoteStart(const TaskRun& run) {
  const auto it = long_running_.find(run.key.task);
  if (it != long_running_.end()) {
    ++it->second.runs;
    long_running_restarts_ += it->second.has_run ? 1 : 0;
    it->second.has_run = true;
  }
}

void PoolSimulation::NoteEnd(const TaskRun& run) {
  const auto it = long_running_.find(run.key.task);
  if (it != long_running_.end()) {
    --it->second.runs;
    it->second.waiting_since = Now();
  }
}

void PoolSimulation::NoteFaults() {
  const bool cut_off = std::any_of(workers_.begin(), workers_.end(), [this](const auto& entry) {
    return Now() < entry.second.cut_until;
  });
  if (cut_off || Now() < store_down_until_) {
    last_fault_ = Now();
  }
}

void PoolSimulation::CheckWaits() {
  NoteFaults();
  const int min_workers = load_.strict_waits ? kStrictMinWorkers : kMinWorkers;
  const bool quiet = last_fault_ + kFaultNotice <= Now() && inherited_leases_end_ <= Now();
  for (auto& [name, task] : long_running_) {
    const bool may_wait = !quiet || task.runs > 0 || task.job->cancelled ||
                          !task.job->crashing_task.empty() ||
                          CountWorkersWithCapacity(task.job->intake.id.value(),
                                                   task.job->intake.spec.steps[0]) < min_workers;
    if (may_wait) {
      task.could_run_since = absl::InfiniteFuture();
      task.checked = false;
      task.reported = false;
    } else {
      task.could_run_since = std::min(task.could_run_since, Now());
      CheckWait(name, &task);
    }
  }
}

absl::Duration PoolSimulation::MayWait(const LongRunningTask& task) const {
  if (!load_.strict_waits) {
    return kMinWait - kMaxWait;
  }
  return task.has_run ? kMinWait : absl::ZeroDuration();
}

void PoolSimulation::CheckWait(const std::string& name, LongRunningTask* task) {
  const absl::Duration checked =
      Now() - std::max(task->could_run_since, task->waiting_since + MayWait(*task));
  if (checked <= absl::ZeroDuration()) {
    return;
  }
  checked_waits_ += task->checked ? 0 : 1;
  task->checked = true;
  longest_checked_wait_ = std::max(longest_checked_wait_, checked);
  if (checked < kMaxWait || task->reported) {
    return;
  }
  task->reported = true;
  Violation(absl::StrCat(name, task->has_run ? " waits since its last run ended " : " never ran, ",
                         absl::ToDoubleSeconds(Now() - task->waiting_since),
                         " s ago, although workers have had capacity for it for ",
                         absl::ToDoubleSeconds(Now() - task->could_run_since),
                         " s: ", DescribeWait(name, *task)));
}

std::string PoolSimulation::DescribeWait(const std::string& name,
                                         const LongRunningTask& task) const {
  const JobIntake& job = task.job->intake;
  const StepSpec& step = job.spec.steps[0];
  std::string text = absl::StrCat(step.demand.cpu.value(), " millicores");
  if (step.max_per_worker > 0) {
    absl::StrAppend(&text, ", one task per worker");
  }
  const auto known = scheduler_->jobs().find(job.id);
  TaskNameParts parts;
  ParseTaskName(name, &parts);
  if (known != scheduler_->jobs().end() && !known->second.runs.empty() &&
      known->second.runs[0].tasks[parts.index].losses.IsSuspected()) {
    absl::StrAppend(&text, ", suspected");
  }
  for (const auto& [id, worker] : workers_) {
    if (!HasCapacity(worker, job.id.value(), step)) {
      continue;
    }
    const auto seen = scheduler_->workers().find(WorkerId(id));
    absl::StrAppend(&text, ", ", id, " (",
                    seen == scheduler_->workers().end()
                        ? "unknown"
                        : DescribeWorker(seen->second, job.id.value()),
                    ")");
  }
  const auto reason = wait_reasons_.find(job.id.value());
  return absl::StrCat(
      text, "; last logged reason: ", reason == wait_reasons_.end() ? "none" : reason->second);
}

std::string PoolSimulation::DescribeWorker(const CellWorker& worker, const std::string& job) const {
  const StepAdvice& advice = scheduler_->jobs().at(JobId(job)).runs[0].advice;
  const auto ticket = advice.allowed.find(worker.description.id);
  std::string text = absl::StrCat("free ", worker.Free().cpu.value());
  if (!worker.AcceptsStarts(Now())) {
    absl::StrAppend(&text, ", accepts no starts");
  }
  if (worker.HasIsolated()) {
    absl::StrAppend(&text, ", isolated");
  } else if (!worker.IsOpenToSuspects(Now())) {
    absl::StrAppend(&text, ", closed to suspects");
  }
  if (load_.adviser && ticket == advice.allowed.end()) {
    absl::StrAppend(&text, ", no ticket");
  } else if (load_.adviser && ticket->second.expires <= Now()) {
    absl::StrAppend(&text, ", expired ticket");
  }
  return text;
}

void PoolSimulation::NoteTold(const AttemptKey& key) {
  TaskNameParts parts;
  ParseTaskName(key.task, &parts);
  jobs_.at(parts.job).told_owner = owner_;
}

void PoolSimulation::CheckPending() {
  int64_t without_start = 0;
  int64_t untold = 0;
  std::string differing;
  for (const auto& [id, truth] : jobs_) {
    const auto known = scheduler_->jobs().find(JobId(id));
    if (known == scheduler_->jobs().end() || IsFinal(known->second.state) || truth.cancelled) {
      continue;
    }
    const bool told = truth.told_owner == owner_ || truth.stored_as_begun;
    without_start += truth.begun ? 0 : 1;
    untold += told ? 0 : 1;
    const bool queued = known->second.visible == CellJobState::kQueued;
    if (queued ? told : !truth.begun) {
      absl::StrAppend(&differing, " ", id, queued ? " (has begun)" : " (has not begun)");
    }
  }
  int64_t pending = 0;
  for (const auto& [queue, count] : scheduler_->PendingByQueue()) {
    pending += count;
  }
  // An owner that neither a worker nor the store has told of a start may count the job.
  if (pending < without_start || pending > untold || !differing.empty()) {
    Violation(absl::StrCat(pending, " jobs are pending; ", without_start, " have no start and ",
                           untold, " none that the owner was told of:", differing));
  }
}

bool PoolSimulation::IsRunning(const std::string& task) const {
  return std::any_of(workers_.begin(), workers_.end(), [&task](const auto& entry) {
    return std::any_of(entry.second.runs.begin(), entry.second.runs.end(),
                       [&task](const TaskRun& run) { return run.key.task == task; });
  });
}

void PoolSimulation::CheckLongRunningTasks() {
  for (const auto& [id, job] : jobs_) {
    const StepSpec& step = job.intake.spec.steps[0];
    if (!step.long_running || job.cancelled || !job.crashing_task.empty()) {
      continue;
    }
    for (int i = 0; i < step.task_count; ++i) {
      const std::string task = absl::StrCat(id, ".0.0.", i);
      const bool lost_lately = Now() - long_running_.at(task).waiting_since < kMinWait + kMaxWait;
      if (!IsRunning(task) && !lost_lately && CountWorkersWithCapacity(id, step) >= kMinWorkers) {
        Violation(absl::StrCat(task, " does not run although workers have capacity for it: ",
                               DescribeWait(task, long_running_.at(task))));
      }
    }
  }
}

int PoolSimulation::CountWorkersWithCapacity(const std::string& job, const StepSpec& step) const {
  return static_cast<int>(std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
    return HasCapacity(entry.second, job, step);
  }));
}

bool PoolSimulation::HasCapacity(const Worker& worker, const std::string& job,
                                 const StepSpec& step) const {
  if (!worker.up || (load_.strict_waits && !AcceptsOrders(worker))) {
    return false;
  }
  Resources used = step.demand;
  int tasks_of_step = 0;
  for (const TaskRun& run : worker.runs) {
    used += run.demand;
    tasks_of_step += run.key.task.compare(0, job.size() + 1, job + ".") == 0 ? 1 : 0;
  }
  return used.FitsInto(worker.description.capacity) &&
         (step.max_per_worker == 0 || tasks_of_step < step.max_per_worker) &&
         Allows(absl::StrCat(job, ".0.0"), worker.description.id.value());
}

bool PoolSimulation::AcceptsOrders(const Worker& worker) const {
  return worker.listed && !worker.description.draining && worker.cut_until <= Now();
}

bool PoolSimulation::CanComplete(const std::string& id, const JobTruth& job) const {
  const std::vector<StepSpec>& steps = job.intake.spec.steps;
  const int occurrences = std::max(job.intake.spec.occurrences, 1);
  for (int i = 0; i < occurrences * static_cast<int>(steps.size()); ++i) {
    const int occurrence = i / static_cast<int>(steps.size());
    const StepSpec& step = steps[i % steps.size()];
    const std::string name = absl::StrCat(id, ".", occurrence, ".", i % steps.size());
    int64_t places = 0;
    for (const auto& [worker_id, worker] : workers_) {
      const bool counts = !load_.strict_waits || worker.started_at + kStepTime <= Now();
      if (worker.up && counts && Allows(name, worker_id)) {
        places += worker.description.capacity.cpu.value() / step.demand.cpu.value();
      }
    }
    if (places < (step.gang ? step.task_count : 1)) {
      return false;
    }
  }
  return true;
}

void PoolSimulation::CheckFinalStates() {
  for (const auto& [id, job] : jobs_) {
    const std::optional<CellJobState> state = scheduler_->VisibleState(JobId(id));
    if (job.cancelled && state.has_value() && IsFinal(*state)) {
      continue;
    }
    // The adviser may allow a step on too few workers.
    if (load_.adviser && !CanComplete(id, job)) {
      continue;
    }
    const CellJobState expected =
        job.crashing_task.empty() ? CellJobState::kCompleted : CellJobState::kFailed;
    if (state != expected) {
      const std::string shown(state.has_value() ? CellJobStateName(*state) : "unknown");
      const std::string wanted(CellJobStateName(expected));
      Violation(absl::StrCat(id, " is ", shown, ", not ", wanted));
    }
  }
}

}  // namespace pomelotray
