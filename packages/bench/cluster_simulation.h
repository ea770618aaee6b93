#ifndef POMELOTRAY_BENCH_CLUSTER_SIMULATION_H_
#define POMELOTRAY_BENCH_CLUSTER_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "bench/bench_limits.h"
#include "bench/event_loop.h"
#include "bench/samples.h"
#include "bench/workload.h"
#include "scheduler/shard_scheduler.h"

namespace pomelotray {

struct PolicyChoice {
  std::string order;
  std::string placement;
  bool admission = false;
};

struct LoadChoice {
  double load = 0;
  // Without festival peaks.
  bool steady = false;
};

struct ClusterOutcome {
  int64_t jobs = 0;
  int64_t refused = 0;
  // Jobs with a deadline, and those of them that expired or ended late.
  int64_t deadline_jobs = 0;
  int64_t deadline_misses = 0;
  int64_t preemptions = 0;
  // Seconds from arrival until the last task has started. A job that did not start counts with
  // its waiting time up to its expiry or the end of the run.
  Samples wait;
  Samples deadline_wait;
  Samples urgent_wait;
  // Parts of all accelerator time: free while a task that wants one waits, and free without cpu or
  // memory beside it.
  double idle_while_waiting = 0;
  double stranded = 0;
  // Smallest ratio over the customers of received to fair capacity, and Jain's index of these
  // ratios.
  double least_fair_ratio = 0;
  double jain_index = 0;
};

// Runs the real ShardScheduler against a model of workers that start tasks, checkpoint or ignore
// it, and end.
class ClusterSimulation {
 public:
  ClusterSimulation(const ShardModel& shard, const PolicyChoice& choice, const LoadChoice& load,
                    uint64_t seed);

  ClusterOutcome Run(absl::Duration length);

 private:
  struct JobState {
    SimulatedJob job;
    int64_t tasks_started = 0;
    int64_t tasks_left = 0;
    bool over = false;
  };
  struct RunningTask {
    JobId job;
    absl::Time start;
    absl::Duration left;
    Resources demand;
    // Distinguishes this run from earlier ones of the same task.
    uint64_t run = 0;
  };

  void Arrive(const SimulatedJob& job);
  void Tick();
  void Schedule();
  void Start(const Placement& placement);
  void End(const TaskId& task, uint64_t run);
  void Preempt(const Preemption& preemption);
  void StopTask(const TaskId& task, uint64_t run, bool checkpointed);
  void CountDone(const RunningTask& task);
  void Expire();
  void RecordWait(const JobState& state, absl::Duration wait);
  // Adds the time since the last call to the integrals over time.
  void Integrate();
  void CountUnstarted();
  void ComputeFairness(absl::Duration length);

  const ShardModel& shard_;
  PolicyChoice choice_;
  LoadChoice load_;
  uint64_t seed_;
  EventLoop loop_;
  BenchLimits limits_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::mt19937_64 random_;
  absl::flat_hash_map<JobId, JobState> jobs_;
  absl::flat_hash_map<TaskId, RunningTask> running_;
  absl::flat_hash_map<TaskId, absl::Duration> left_after_checkpoint_;
  std::map<std::string, double> offered_;
  std::map<std::string, double> received_;
  int64_t waiting_accelerator_tasks_ = 0;
  uint64_t next_run_ = 1;
  absl::Time integrated_to_;
  double idle_seconds_ = 0;
  double stranded_seconds_ = 0;
  ClusterOutcome outcome_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_CLUSTER_SIMULATION_H_
