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
#include "cell/workers/restart_times.h"
#include "cell/workers/worker_loss.h"
#include "cell/workflow.h"

namespace pomelotray {

// State of a job in the cell. A job is running once a worker has said that a task of it has begun.
// The last three are final.
enum class CellJobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

inline bool IsFinal(CellJobState state) {
  return state != CellJobState::kQueued && state != CellJobState::kRunning;
}

// What callers may learn about a job.
struct JobStatus {
  CellJobState state = CellJobState::kQueued;
  // The customer that submitted the job; empty if there is none.
  CustomerId customer;
};

// A job as stored by the VM that accepted it. Immutable.
struct JobIntake {
  JobId id;
  QueuePolicy policy;
  WorkflowSpec spec;
  absl::Time accepted;
  // The customer that submitted the job; empty if its queue needed no API key.
  CustomerId customer;
};

enum class TaskPhase {
  // The task has no attempt that may be running.
  kWaiting,
  // An attempt of the task may be running.
  kActive,
  kSucceeded,
};

// Scheduling state of one task.
struct CellTask {
  TaskPhase phase = TaskPhase::kWaiting;
  // Numbers of the failed attempts. A set, because a worker may report an ended attempt to a later
  // owner again and in another order.
  std::set<RunNumber> failed_runs;
  // Highest attempt number assigned so far.
  RunNumber last_run;
  // Worker of the active attempt.
  WorkerId worker;
  // Worker on which the last attempt failed or made no progress. The next attempt avoids it if
  // possible. Empty if there is none.
  WorkerId avoided_worker;
  // The workers that were lost under the task's attempts.
  WorkerLossHistory losses;
  std::string checkpoint;
  // When the current wait of a long-running task began: since then the task could have started and
  // no attempt of it has run. Infinite if it does not wait.
  absl::Time waiting_since = absl::InfiniteFuture();
  // The wait is long enough to be part of the stored progress, so that a later owner knows of it.
  bool wait_stored = false;
  // The times of the current restart of a long-running task.
  RestartTimes restart;
  // The worker on which capacity is held for the task while its attempt on a leaving worker is
  // stopped, and when that stop was decided. Empty if the task was not moved since its last start.
  WorkerId moving_to;
  absl::Time moving_since = absl::InfinitePast();
  // Number of consecutive attempts of a long-running task that ended soon after their start, and
  // the time before which the task is not started again because of them.
  int short_attempts = 0;
  absl::Time start_not_before = absl::InfinitePast();
};

// The adviser's answers about one step. The adviser issues a ticket for each worker on which the
// step may run.
struct StepAdvice {
  struct Ticket {
    std::string text;
    absl::Time received = absl::InfinitePast();
    absl::Time expires = absl::InfiniteFuture();
  };
  std::map<WorkerId, Ticket> allowed;
  // Workers named in the questions that the adviser has answered.
  std::set<WorkerId> asked;
  // A question about `pending_workers` is waiting for its answer since `asked_at`.
  bool question_pending = false;
  std::vector<WorkerId> pending_workers;
  absl::Time asked_at = absl::InfinitePast();
  // After a failed question, the time before which no other one is sent.
  absl::Time retry_at = absl::InfinitePast();
};

// Scheduling state of one step in one occurrence of the job.
struct StepRun {
  int occurrence = 0;
  int step = 0;
  absl::Time due = absl::InfinitePast();
  // If the step starts later, its occurrence (or the job, if it runs once) will probably miss the
  // latency objective.
  absl::Time latest_start = absl::InfiniteFuture();
  // The step is on a longest path of the workflow, so each delay of it delays the job.
  bool critical = false;
  std::vector<CellTask> tasks;
  // Numbers of tasks in the phases kSucceeded and kWaiting.
  int succeeded = 0;
  int waiting = 0;
  // Attempt numbers with which the whole gang failed.
  std::set<RunNumber> gang_failed_runs;
  // When the checkpoint that all tasks of a gang have was received from a worker.
  absl::Time gang_checkpoint_received_at = absl::InfinitePast();
  StepAdvice advice;

  bool IsDone() const { return succeeded == static_cast<int>(tasks.size()); }
};

// A job with the scheduling state that the owner of its pool part keeps in memory.
struct CellJob {
  JobIntake intake;
  CellJobState state = CellJobState::kQueued;
  bool cancel_requested = false;
  // Ordered by occurrence, then by step. Empty once the job is in a final state.
  std::vector<StepRun> runs;
  // Incremented by each change that must be persisted; `committed` is the version in the store.
  int64_t version = 0;
  int64_t committed = 0;
  // The store has a progress record of the job.
  bool has_stored_progress = false;
  // That record says that the job has begun.
  bool begun_in_store = false;
  // State shown to callers. A final state is shown only once it is stored.
  CellJobState visible = CellJobState::kQueued;
  // An earlier owner may have started tasks of the job, so they may be running although no attempt
  // is known.
  bool inherited = false;
  // Latency objective: the time by which the job should be completed.
  absl::Time objective = absl::InfiniteFuture();
  // A job that completes after this time has no value.
  absl::Time no_value_after = absl::InfiniteFuture();
  absl::Time final_since = absl::InfiniteFuture();

  const StepSpec& Step(const StepRun& run) const { return intake.spec.steps[run.step]; }
};

// Whether the task is suspected of crashing its workers, so that it shares them with its own job
// only.
bool NeedsIsolation(const StepSpec& step, const CellTask& task);
// Whether this holds for a waiting task of the run.
bool HasWaitingSuspects(const StepSpec& step, const StepRun& run);

// Identifies a task of a job by its indices in CellJob::runs and StepRun::tasks.
struct TaskRef {
  JobId job;
  int run = 0;
  int task = 0;
};

// Returns the time after its acceptance by which a job should be completed.
absl::Duration LatencyObjective(const QueuePolicy& policy, const WorkflowSpec& spec);

// Creates the scheduling state of a newly accepted job, with all tasks waiting.
CellJob MakeCellJob(JobIntake intake);

// Names of a step, <job>.<occurrence>.<step>, and of a task, <job>.<occurrence>.<step>.<index>.
std::string StepName(const CellJob& job, const StepRun& run);
std::string TaskName(const CellJob& job, const StepRun& run, int index);
// The job id and the indices that a task name contains.
struct TaskNameParts {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;
};
// Splits a task name into its parts. Returns false if `name` is not a valid task name. The indices
// are between 0 and a million, but may be beyond the ends of the job's arrays.
bool ParseTaskName(const std::string& name, TaskNameParts* parts);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_JOB_H_
