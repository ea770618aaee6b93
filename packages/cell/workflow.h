#ifndef POMELOTRAY_CELL_WORKFLOW_H_
#define POMELOTRAY_CELL_WORKFLOW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/resources.h"

namespace pomelotray {

// A set of identical tasks that start once all steps in `after` have succeeded.
struct StepSpec {
  int task_count = 0;
  // Resources that each task needs.
  Resources demand;
  // Estimated run time of a task; may be wrong by up to 90%.
  absl::Duration estimate;
  // Indices of the steps of the same workflow that this step depends on.
  std::vector<int> after;
  // Gang scheduling: the tasks make progress only while all of them run, and they end together.
  bool gang = false;
  // The tasks of a gang should run on one rack; they are slower when spread over several.
  bool same_rack = false;
  // Tasks save checkpoints from which a later attempt resumes.
  bool checkpoints = false;
  // Speculative execution: several attempts of a task may run at the same time.
  bool speculative = false;
  // Tasks run until the job is cancelled. A task that ends is always restarted, even if it
  // succeeded.
  bool long_running = false;
  // Best effort: the tasks use CPU capacity that others leave unused, and their CPU demand is not
  // reserved.
  bool best_effort = false;
  // Label that a worker must have to run the step; empty if any worker will do.
  std::string required_label;
  // Rack that holds the input data; empty if there is no preference.
  std::string preferred_rack;
  // Image that the tasks run. Tasks of the same image are expected to behave alike.
  std::string image;
  // Maximum number of tasks of the step on one worker; 0 means no limit.
  int max_per_worker = 0;
  // Maximum number of tasks of a long-running step that may be unavailable at the same time because
  // of voluntary disruptions.
  int disruption_budget = 0;
  // Upper bound for the tail latency of a serving (long-running) task; zero if there is none.
  absl::Duration latency_target;
};

// The steps of a job and their dependencies, run once or repeatedly at a fixed interval.
struct WorkflowSpec {
  // Passed to each task unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  // 0 if the steps run once and immediately; else the number of times that they run, at `first_due`
  // and then once every `interval`.
  int occurrences = 0;
  absl::Time first_due;
  absl::Duration interval;
};

// Limits on the size of one job.
struct WorkflowLimits {
  size_t max_payload_bytes = 4'000;  // The documented maximum for callers.
  int max_steps = 64;
  int max_tasks = 4'096;  // Over all steps and occurrences; limits the memory that a job uses.
};

// Fails with kInvalidArgument if a count, an index or a size is out of range, or if the
// dependencies between the steps form a cycle.
Result<void> ValidateWorkflow(const WorkflowSpec& spec, const WorkflowLimits& limits);

// Returns for each step the estimated time from its start to the end of the workflow, which is the
// longest path through the steps that depend on it.
std::vector<absl::Duration> LongestPathsToEnd(const WorkflowSpec& spec);
// Returns for each step whether it is on a longest dependency path. `paths` is the result of
// LongestPathsToEnd().
std::vector<bool> StepsOnCriticalPath(const WorkflowSpec& spec,
                                      const std::vector<absl::Duration>& paths);
// Returns the sum of the estimates along the longest dependency path.
absl::Duration CriticalPath(const WorkflowSpec& spec);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKFLOW_H_
