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

// The scheduling policies of one simulation run.
struct PolicyConfig {
  std::string order;
  std::string placement;
  bool admission = false;
};

// The offered load of one simulation run.
struct LoadConfig {
  // Mean load relative to the capacity of the dominant resource.
  double load = 0;
  // Whether the arrival rate is constant instead of having periodic peaks.
  bool steady = false;
};

// The measurements of one simulation run.
struct ClusterOutcome {
  int64_t jobs = 0;
  int64_t refused = 0;
  // Number of jobs with a deadline, and how many of them expired or finished after it.
  int64_t deadline_jobs = 0;
  int64_t deadline_misses = 0;
  int64_t preemptions = 0;
  // Seconds from the arrival of a job until its last task started. A job that did not start
  // completely is counted with the time until it expired or the run ended.
  Samples wait;
  Samples deadline_wait;
  Samples urgent_wait;
  // Fractions of the total accelerator time: accelerators that are free while a task that needs
  // one is queued, and free accelerators whose worker has too little CPU or memory left to use
  // them.
  double idle_while_waiting = 0;
  double stranded = 0;
  // The ratio of received capacity to fair share is computed per customer. These are the smallest
  // ratio and Jain's fairness index of all ratios.
  double least_fair_ratio = 0;
  double jain_index = 0;
};

// Discrete-event simulation that runs the production ShardScheduler against modelled workers. The
// workers start tasks, finish them, and checkpoint or stop them when they are preempted.
class ClusterSimulation {
 public:
  ClusterSimulation(const ShardModel& shard, const PolicyConfig& choice, const LoadConfig& load,
                    uint64_t seed);

  ClusterOutcome Run(absl::Duration length);

 private:
  struct JobState {
    SimulatedJob job;
    int64_t tasks_started = 0;
    int64_t unfinished_tasks = 0;
    bool finished = false;
  };
  struct RunningTask {
    JobId job;
    absl::Time start;
    absl::Duration remaining;
    Resources demand;
    // Run number; pending events of an earlier run of the same task are ignored.
    uint64_t run = 0;
  };

  void Arrive(const SimulatedJob& job);
  void RunPeriodicRound();
  void Schedule();
  void Start(const Placement& placement);
  void End(const TaskId& task, uint64_t run);
  void Preempt(const Preemption& preemption);
  void StopTask(const TaskId& task, uint64_t run, bool checkpointed);
  void AddReceivedCapacity(const RunningTask& task);
  void Expire();
  void RecordWait(const JobState& state, absl::Duration wait);
  // Adds the time since the last call to the idle and stranded accelerator time.
  void UpdateTimeIntegrals();
  void CountUnfinished();
  void ComputeFairness(absl::Duration length);

  const ShardModel& shard_;
  PolicyConfig policy_;
  LoadConfig load_;
  uint64_t seed_;
  EventLoop loop_;
  BenchLimits limits_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::mt19937_64 random_;
  absl::flat_hash_map<JobId, JobState> jobs_;
  absl::flat_hash_map<TaskId, RunningTask> running_;
  absl::flat_hash_map<TaskId, absl::Duration> remaining_after_stop_;
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
