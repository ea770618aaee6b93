#ifndef POMELOTRAY_CELL_WORKFLOW_H_
#define POMELOTRAY_CELL_WORKFLOW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/resources.h"

namespace pomelotray {

// Tasks that are alike, started once all steps in `after` have succeeded.
struct StepSpec {
  int task_count = 0;
  // What one task needs.
  Resources demand;
  // Rough run time of one task; may be far off.
  absl::Duration estimate;
  // Indices of steps of the same workflow.
  std::vector<int> after;
  // The tasks make progress only while all of them run, and end together.
  bool gang = false;
  // Gang tasks on more than one rack are slower.
  bool same_rack = false;
  // Tasks save checkpoints from which a later attempt resumes.
  bool checkpoints = false;
  // Several attempts of a task may run at the same time.
  bool speculative = false;
  // Tasks run until the job is cancelled and are restarted however they end.
  bool long_running = false;
  // Tasks use capacity that others leave unused; their processors do not count.
  bool fills = false;
  // Label that a worker must have; empty: any worker.
  std::string required_label;
  // Rack that holds the data; empty: none.
  std::string preferred_rack;
  // What the tasks run; tasks of one image behave alike.
  std::string image;
  // Most tasks of the step on one worker; 0: no limit.
  int max_per_worker = 0;
  // Tasks of a long-running step that planned actions may make unavailable at the same time.
  int disruption_budget = 0;
  // Bound on the tail latency of a long-running task; zero: none.
  absl::Duration latency_target;
};

// A job: steps that depend on each other, run once or at a fixed interval.
struct WorkflowSpec {
  // Passed to each task unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  // 0: the steps run once, at once. Otherwise they run this many times, from `first_due` on.
  int occurrences = 0;
  absl::Time first_due;
  absl::Duration interval;
};

// Bounds on what one job may ask for.
struct WorkflowLimits {
  size_t max_payload_bytes = 4'000;  // The callers' documented maximum.
  int max_steps = 64;
  int max_tasks = 4'096;  // Over all steps and occurrences; bounds the memory of one job.
};

// Fails with kInvalidArgument when a count, an index or a size is out of bounds, or when the steps
// depend on each other in a cycle.
Result<void> CheckWorkflow(const WorkflowSpec& spec, const WorkflowLimits& limits);

// Estimated time from the start of each step to the end of the workflow.
std::vector<absl::Duration> PathsToEnd(const WorkflowSpec& spec);
// Sum over the longest dependency path of the steps' estimates.
absl::Duration CriticalPath(const WorkflowSpec& spec);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKFLOW_H_
