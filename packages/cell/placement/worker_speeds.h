#ifndef POMELOTRAY_CELL_PLACEMENT_WORKER_SPEEDS_H_
#define POMELOTRAY_CELL_PLACEMENT_WORKER_SPEEDS_H_

#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cell/placement/round_policies.h"
#include "cell/placement/speed_estimate.h"
#include "cell/placement/step_run_times.h"
#include "cell/placement/worker_progress.h"

namespace pomelotray {

// A worker has become slow or has recovered.
struct SpeedChange {
  WorkerId worker;
  bool slow = false;
  // The change is known from the progress of running attempts, not from run times.
  bool from_progress = false;
  // Expected slowdown of its tasks from now on, as a logarithm.
  double log_slowdown = 0;
};

// Learns how fast the workers of a pool part run tasks, relative to each other, and places tasks
// accordingly. Gangs, the most urgent jobs and steps on the critical path prefer fast workers,
// patient steps prefer slow ones. All state is in memory; a new owner learns it again. Used by one
// thread at a time.
class WorkerSpeeds : public PlacementCost {
 public:
  // Largest number of steps whose run times are kept: 80 s of the busiest deployment's 47 jobs a
  // second, if each has one. What was learned from older ones stays in the workers' estimates.
  static constexpr size_t kMaxSteps = 4096;

  // Takes note of an attempt of `run` that has just succeeded on the worker, before the attempt is
  // removed from it.
  void NoteSuccess(const CellJob& job, const StepRun& run, const CellWorker& worker,
                   const Attempt& attempt, absl::Time now);
  // Takes note of a running attempt in a report, after the report has been applied to it.
  void NoteRunning(const CellJob& job, const StepRun& run, const CellWorker& worker,
                   const Attempt& attempt, const RunningAttempt& reported, absl::Time now);
  // Drops what is known of the job, which is in a final state, or of the worker's process, which
  // has ended.
  void ForgetJob(const JobId& id);
  void ForgetWorker(const WorkerId& id);

  // Called before each scheduling round with the jobs that are not in a final state. Writes the
  // estimates to the workers (CellWorker::log_slowdown), at most every 100 ms, and returns which
  // workers have become slow or have recovered since then.
  std::vector<SpeedChange> BeginRound(const std::map<JobId, const CellJob*>& open_jobs,
                                      std::map<WorkerId, CellWorker>* workers, absl::Time now);

  double LogSlowdown(const PlacementOption& option) const override;

  size_t KnownSteps() const { return step_count_; }

 private:
  struct Worker {
    std::shared_ptr<SpeedEstimate> estimate = std::make_shared<SpeedEstimate>();
    WorkerProgress progress;
  };
  struct Job {
    // By index in WorkflowSpec::steps. The occurrences of a step do the same work.
    std::map<int, StepRunTimes> steps;
    std::list<JobId>::iterator position;
  };

  // Returns the run times of the step, or null if it has none.
  const StepRunTimes* FindStep(const JobId& job, int step) const;
  StepRunTimes* AddStep(const JobId& job, int step);
  // Updates the estimate that the worker shows, and adds to `changes` if it has become slow or has
  // recovered.
  static void UpdateWorker(Worker* known, CellWorker* worker, absl::Time now,
                           std::vector<SpeedChange>* changes);

  absl::flat_hash_map<WorkerId, std::unique_ptr<Worker>> workers_;
  absl::flat_hash_map<JobId, Job> jobs_;
  // The keys of `jobs_`, oldest first.
  std::list<JobId> job_order_;
  size_t step_count_ = 0;
  absl::Time updated_at_ = absl::InfinitePast();
  // Of the present round: its time and the priority of the most urgent open jobs.
  absl::Time now_ = absl::InfinitePast();
  int highest_priority_ = std::numeric_limits<int>::min();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_WORKER_SPEEDS_H_
