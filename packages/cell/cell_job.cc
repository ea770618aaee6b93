#include "cell/cell_job.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace pomelotray {
namespace {

// By contract, a job that takes more than three times its latency objective earns nothing.
constexpr int kNoValueFactor = 3;
// Assumed minimum run time of a step as a share of its estimate. Most estimates are off by up to
// 50%, a few by up to 90%.
constexpr double kMinRunTimeShare = 0.5;

// Above the number of tasks of any job, and low enough for products with a number of steps.
constexpr int kMaxNameIndex = 1'000'000;

bool ParseIndex(const std::string& text, int* index) {
  return absl::SimpleAtoi(text, index) && *index >= 0 && *index <= kMaxNameIndex;
}

}  // namespace

absl::Duration LatencyObjective(const QueuePolicy& policy, const WorkflowSpec& spec) {
  return CriticalPath(spec) * policy.stretch + policy.target_latency;
}

bool NeedsIsolation(const StepSpec& step, const CellTask& task) {
  return step.long_running ? task.losses.IsLongRunningTaskSuspected() : task.losses.IsSuspected();
}

bool HasWaitingSuspects(const StepSpec& step, const StepRun& run) {
  return std::any_of(run.tasks.begin(), run.tasks.end(), [&step](const CellTask& task) {
    return task.phase == TaskPhase::kWaiting && NeedsIsolation(step, task);
  });
}

CellJob MakeCellJob(JobIntake intake) {
  CellJob job;
  const WorkflowSpec& spec = intake.spec;
  const int occurrences = std::max(spec.occurrences, 1);
  const absl::Duration objective = LatencyObjective(intake.policy, spec);
  const std::vector<absl::Duration> paths = LongestPathsToEnd(spec);
  const std::vector<bool> critical = StepsOnCriticalPath(spec, paths);
  for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (size_t step = 0; step < spec.steps.size(); ++step) {
      StepRun run;
      run.occurrence = occurrence;
      run.step = static_cast<int>(step);
      if (spec.occurrences > 0) {
        run.due = spec.first_due + spec.interval * occurrence;
      }
      const absl::Time begins = spec.occurrences > 0 ? run.due : intake.accepted;
      run.latest_start = begins + objective - paths[step] * kMinRunTimeShare;
      run.critical = critical[step];
      run.tasks.resize(spec.steps[step].task_count);
      run.waiting = spec.steps[step].task_count;
      job.runs.push_back(std::move(run));
    }
  }
  const absl::Time start = spec.occurrences > 0 ? spec.first_due : intake.accepted;
  job.objective = start + objective;
  // A long-running job has value for as long as its tasks run.
  const bool long_running = std::any_of(spec.steps.begin(), spec.steps.end(),
                                        [](const StepSpec& step) { return step.long_running; });
  job.no_value_after = long_running ? absl::InfiniteFuture() : start + objective * kNoValueFactor;
  job.intake = std::move(intake);
  return job;
}

std::string StepName(const CellJob& job, const StepRun& run) {
  return absl::StrCat(job.intake.id.value(), ".", run.occurrence, ".", run.step);
}

std::string TaskName(const CellJob& job, const StepRun& run, int index) {
  return absl::StrCat(job.intake.id.value(), ".", run.occurrence, ".", run.step, ".", index);
}

bool ParseTaskName(const std::string& name, TaskNameParts* parts) {
  const std::vector<std::string> fields = absl::StrSplit(name, '.');
  if (fields.size() != 4) {
    return false;
  }
  parts->job = fields[0];
  return ParseIndex(fields[1], &parts->occurrence) && ParseIndex(fields[2], &parts->step) &&
         ParseIndex(fields[3], &parts->index);
}

}  // namespace pomelotray
