#ifndef POMELOTRAY_TESTS_CELL_POOL_SIMULATION_H_
#define POMELOTRAY_TESTS_CELL_POOL_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/manual_clock.h"
#include "cell/pool_scheduler.h"

namespace pomelotray {

// One run of PoolScheduler on a paused clock against simulated workers, callers and a store, with
// faults that depend on the seed. What the workers see is the ground truth that the scheduler is
// judged by. Single-threaded, so a seed always gives the same run.
class PoolSimulation {
 public:
  // Mean number of faults of each kind in the first part of the run, unless noted otherwise.
  struct Faults {
    // Share of the jobs that have a task that crashes each worker that starts it.
    double crashing_jobs = 0.04;
    // Share of the other jobs that are cancelled.
    double cancelled_jobs = 0.1;
    double worker_crashes = 6;
    double cut_offs = 3;
    double owner_changes = 3;
    double store_outages = 2;
    double capacity_changes = 10;
  };

  PoolSimulation(int seed, Faults faults);

  // Returns the violated guarantees; empty if there were none.
  std::vector<std::string> Run();
  int crashing_jobs() const;
  // Losses of workers that a task other than the crashing ones suffered.
  int bystander_losses() const { return bystander_losses_; }

 private:
  struct TaskRun {
    AttemptKey key;
    Resources demand;
    absl::Time started;
    absl::Duration duration;
    // Infinite unless the task crashes its worker.
    absl::Duration crash_after = absl::InfiniteDuration();
    bool long_running = false;
    // Identifies the attempts of a gang that work together; empty if the task is not in a gang.
    std::string gang;
    bool stopping = false;
    absl::Time stopped_at = absl::InfiniteFuture();
  };
  struct Worker {
    WorkerDescription description;
    // What the worker last published in the store.
    WorkerDescription published;
    bool up = true;
    absl::Time back_at = absl::InfiniteFuture();
    absl::Time cut_until = absl::InfinitePast();
    absl::Time started_at;
    absl::Time lease_end = absl::InfinitePast();
    absl::Time next_hold;
    absl::Time next_beat;
    absl::Time last_beat;
    // Starts may use this capacity until `lower_counts_at`.
    Resources earlier_capacity;
    absl::Time lower_counts_at = absl::InfinitePast();
    FencingToken token;
    EndNumber last_end;
    std::vector<TaskRun> runs;
    std::vector<EndedAttempt> ends;
    std::map<std::string, RunNumber> refused;
  };
  // What the simulation knows of a job.
  struct JobTruth {
    JobIntake intake;
    std::string crashing_task;
    absl::Duration crash_after;
    bool cancelled = false;
  };
  using WorkerEntry = std::map<std::string, Worker>::iterator;

  int Below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
  absl::Duration Millis(int from, int to) { return absl::Milliseconds(from + Below(to - from)); }
  absl::Time Now() const { return clock_.Now(); }
  void After(absl::Duration delay, std::function<void()> action);

  void AddWorker(const std::string& machine);
  void Step();
  void SubmitJobs();
  void InjectFaults();
  void CrashRandomWorker();
  void ChangeCapacityOfRandomWorker();
  void SetCapacity(Worker* worker, int64_t cpu);
  void CrashWorker(Worker* worker, const std::string& cause);
  void RestartWorkers();
  void AdvanceRuns(Worker* worker);
  void EndRun(Worker* worker, size_t index, AttemptEnd end);
  // Ends the members of gangs that are complete for long enough, were broken or wait too long.
  void AdvanceGangs();
  JobIntake MakeJob();
  void Cancel(const JobId& id);
  void Publish();
  void UpdateDirectory();
  void CommitProgress();
  void ChangeOwner();
  void SendOrders();
  void Deliver(const std::string& id, const WorkerOrder& order, FencingToken token,
               WorkerTime lease_end, int owner);
  OrderAnswer Execute(Worker* worker, const WorkerOrder& order, FencingToken token,
                      WorkerTime lease_end);
  void CheckStart(const Worker& worker, const TaskRun& started);
  void HoldWorkers();
  void Hold(const WorkerDescription& description, Worker* worker);
  // Reports a hold that the worker did not answer, or that its next process answered.
  void FailHold(const WorkerDescription& description);
  bool IsRunning(const std::string& task) const;
  // Checks that each long-running task runs unless the workers have too little capacity.
  void CheckLongRunningTasks();
  // Returns the number of workers on which a task could start now.
  int CountWorkersWithCapacity(const Resources& demand) const;
  void CheckFinalStates();
  void Violation(const std::string& text);

  WorkerTime ClockOf(const Worker& worker) const;
  Resources CapacityThatCounts(const Worker& worker) const;

  const Faults faults_;
  std::mt19937 random_;
  ManualClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"simulation", &hybrid_clock_, nullptr, /*capacity=*/0};
  const absl::Time begin_;
  int64_t term_ = 1;
  std::unique_ptr<PoolScheduler> scheduler_;
  // Number of owner changes; answers to earlier owners are dropped.
  int owner_ = 0;
  std::map<std::string, Worker> workers_;
  int next_worker_ = 0;
  std::map<std::string, JobTruth> jobs_;
  int next_job_ = 0;
  std::multimap<absl::Time, std::function<void()>> actions_;
  absl::Time store_down_until_ = absl::InfinitePast();
  absl::Time next_directory_;
  absl::Time next_round_;
  std::map<JobId, std::string> stored_progress_;
  std::set<JobId> stored_final_;
  std::string stored_roster_;
  std::set<std::string> acknowledged_successes_;
  std::map<std::string, int> crashes_;
  std::map<std::string, int> starts_after_third_crash_;
  // When each gang became complete, and the gangs that have lost a member.
  std::map<std::string, absl::Time> complete_gangs_;
  std::set<std::string> broken_gangs_;
  int bystander_losses_ = 0;
  // When each long-running task was last at work.
  std::map<std::string, absl::Time> last_ran_;
  std::vector<std::string> violations_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_POOL_SIMULATION_H_
