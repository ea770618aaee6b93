#ifndef POMELOTRAY_CELL_CELL_JOB_H_
#define POMELOTRAY_CELL_CELL_JOB_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cell/cell_configuration.h"
#include "cell/cell_ports.h"
#include "cell/workflow.h"

namespace pomelotray {

enum class CellJobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

inline bool IsFinal(CellJobState state) {
  return state != CellJobState::kQueued && state != CellJobState::kRunning;
}

// A job as the entry VM stored it when it was accepted. Never changes afterwards.
struct JobIntake {
  JobId id;
  QueuePolicy policy;
  WorkflowSpec spec;
  absl::Time accepted;
};

enum class TaskPhase {
  // No attempt exists.
  kWaiting,
  // An attempt may be running.
  kActive,
  kSucceeded,
};

struct CellTask {
  TaskPhase phase = TaskPhase::kWaiting;
  // Attempts that failed. An end may be listed again, and in another order, to a later owner.
  std::set<RunNumber> failed_runs;
  // Highest number given to an attempt.
  RunNumber last_run;
  // Where the active attempt is.
  WorkerId worker;
  // Where the last attempt went wrong; empty: nowhere.
  WorkerId avoid;
  std::string checkpoint;
};

// What the adviser said about one step.
struct StepAdvice {
  struct Ticket {
    std::string text;
    absl::Time expires;
  };
  std::map<WorkerId, Ticket> allowed;
  // Workers that were named in a question that was answered.
  std::set<WorkerId> asked;
  bool outstanding = false;
  // No question before this time, after one failed.
  absl::Time retry_at = absl::InfinitePast();
};

// One step of one occurrence.
struct StepRun {
  int occurrence = 0;
  int step = 0;
  absl::Time due = absl::InfinitePast();
  // A step that starts later will hardly end its job, or its occurrence, within the objective.
  absl::Time latest_start = absl::InfiniteFuture();
  std::vector<CellTask> tasks;
  int succeeded = 0;
  int waiting = 0;
  // Attempts that failed of a gang as a whole.
  std::set<RunNumber> gang_failed_runs;
  StepAdvice advice;

  bool IsDone() const { return succeeded == static_cast<int>(tasks.size()); }
};

// A job with the state that its pool's owner keeps.
struct CellJob {
  JobIntake intake;
  CellJobState state = CellJobState::kQueued;
  bool cancel_requested = false;
  // Occurrence by occurrence, the steps of each in order. Empty once the job is final.
  std::vector<StepRun> runs;
  // Raised by each change that must last; `committed` is the version in the store.
  int64_t version = 0;
  int64_t committed = 0;
  // The store holds progress of the job.
  bool has_stored_progress = false;
  // State that callers may be told: final states only once they are stored.
  CellJobState visible = CellJobState::kQueued;
  // Accepted by an earlier owner: its tasks may be running although no attempt is known.
  bool inherited = false;
  absl::Time objective = absl::InfiniteFuture();
  absl::Time worthless_after = absl::InfiniteFuture();
  absl::Time final_since = absl::InfiniteFuture();

  const StepSpec& Step(const StepRun& run) const { return intake.spec.steps[run.step]; }
};

// A task of a job: indices into CellJob::runs and StepRun::tasks.
struct TaskRef {
  JobId job;
  int run = 0;
  int task = 0;
};

// Builds the job with all its step runs, nothing started.
CellJob MakeCellJob(JobIntake intake);

// <job>.<occurrence>.<step> and <job>.<occurrence>.<step>.<index>
std::string StepName(const CellJob& job, const StepRun& run);
std::string TaskName(const CellJob& job, const StepRun& run, int index);
// Finds the job's id and the indices in a task's name; false when it is not such a name.
struct TaskNameParts {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;
};
bool ParseTaskName(const std::string& name, TaskNameParts* parts);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_JOB_H_
