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
#include "cell/ownership/pool_scheduler.h"

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
    // Number of waves, each of which crashes a third of the workers at once. They are spread evenly
    // over the first part of the run, so that tasks have to start again between them.
    int crash_waves = 0;
    // If the maximum is not zero, each wave crashes a share of the workers between these, in
    // percent.
    int min_wave_percent = 0;
    int max_wave_percent = 0;
    // Workers that announce that they leave, and leave some seconds later.
    double departures = 0;
    // Workers that lose a half to three quarters of their CPU capacity.
    double shrinks = 0;
    // Workers that crash without a next process at their address. Half of the machines stay.
    double final_losses = 0;
    // Workers that refuse all starts for some seconds.
    double refusals = 0;
    double cut_offs = 3;
    double owner_changes = 3;
    // Planned stops of the owner, which list for the next one what may run on each worker.
    double planned_stops = 0;
    // Share of the start orders after which the worker is cut off, so that the answer is lost.
    double lost_answers = 0;
    double store_outages = 2;
    double capacity_changes = 10;
  };

  // The workers and jobs of the run, apart from faults.
  struct Load {
    // Of this many jobs with one step, the given number is long-running.
    static constexpr int kJobsWithOneStep = 30;
    int long_running_jobs = 1;
    // Makes a third of the long-running steps run at most one task per worker, gives them up to 6
    // tasks, and cancels more of their jobs, up to 15 s after they are accepted. Capacity then
    // becomes free at any time of the run.
    bool wide_long_running_jobs = false;
    // The workers have 4, 8 and 16 cores instead of 8.
    bool mixed_workers = false;
    // All queues use an adviser, which allows each step on 30% to 50% of the workers.
    bool adviser = false;
    // Checks at any time of the run that long-running tasks run if workers have capacity for them.
    bool check_waits = false;
    // With `check_waits`: the time with capacity counts from the start of the job, or from 6 s
    // after the last run of the task on; one worker with capacity is enough, which may be another
    // one at each moment, and only the workers that a start order can be sent to count.
    bool strict_waits = false;
    // Number of unfinished jobs of short tasks that callers keep in the pool; they submit another
    // one for each that ends, so that capacity is free for moments only.
    int short_jobs = 0;
    // The answers of the adviser take 0.3 to 1.5 s.
    bool slow_adviser = false;
  };

  using Trace = std::function<void(const std::string&)>;
  // `trace` gets a line for each event of the scheduler and each fault, if it is not null.
  PoolSimulation(int seed, Faults faults, Load load, Trace trace = nullptr);

  // Returns the violated guarantees; empty if there were none.
  std::vector<std::string> Run();
  int crashing_jobs() const;
  // Losses of workers that a task other than the crashing ones suffered.
  int bystander_losses() const { return bystander_losses_; }
  // Number of starts of long-running tasks that had run before.
  int long_running_restarts() const { return long_running_restarts_; }
  // Number of waits of long-running tasks that the check of waits applied to for some time, and the
  // longest such time.
  int checked_waits() const { return checked_waits_; }
  absl::Duration longest_checked_wait() const { return longest_checked_wait_; }

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
    // When the worker that drains leaves.
    absl::Time leaves_at = absl::InfiniteFuture();
    // An owner must have noticed by then that the worker drains.
    absl::Time draining_counts_at = absl::InfiniteFuture();
    // The directory that the owner read last has an entry of this process.
    bool listed = false;
    absl::Time cut_until = absl::InfinitePast();
    absl::Time refuses_until = absl::InfinitePast();
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
    // A worker has started a task of the job.
    bool begun = false;
    // The owner, by its number, that a worker has told this last.
    int told_owner = -1;
    // The stored progress says that the job has begun.
    bool stored_as_begun = false;
  };
  // A task of a long-running job.
  struct LongRunningTask {
    const JobTruth* job = nullptr;
    // Number of workers that run the task.
    int runs = 0;
    bool has_run = false;
    // When the job was accepted or the last run ended.
    absl::Time waiting_since;
    // Since when workers have had capacity for the waiting task without faults.
    absl::Time could_run_since = absl::InfiniteFuture();
    // The wait is counted as checked, or reported as a violation.
    bool checked = false;
    bool reported = false;
  };
  // An owner must have noticed this long after the entry says so that a worker drains: the
  // directory is read every 500 ms, and orders can be under way.
  static constexpr absl::Duration kDrainNotice = absl::Seconds(1);
  // How long the tickets of the adviser are valid.
  static constexpr absl::Duration kTicketValidity = absl::Seconds(2);
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
  // Crashes the given part of the workers that are up.
  void CrashWorkers(double share);
  double DrawWaveShare();
  // Draws whether a fault happens in this step that happens `mean` times in the first part of the
  // run.
  bool Happens(double mean);
  // Lets workers leave, shrink and be lost for good. Draws no random numbers for faults that are
  // off, so that the runs without them stay as they are.
  void InjectWorkerChanges();
  // Returns a random worker that is up and does not drain, or null if the first choice is not.
  Worker* ChooseStayingWorker();
  void DrainRandomWorker();
  void ShrinkRandomWorker();
  void LoseRandomWorker();
  // Ends the processes of the workers that have drained for long enough.
  void EndDrainedWorkers();
  void ChangeCapacityOfRandomWorker();
  void SetCapacity(Worker* worker, int64_t cpu);
  void CrashWorker(Worker* worker, const std::string& cause);
  void RestartWorkers();
  void AdvanceRuns(Worker* worker);
  void EndRun(Worker* worker, size_t index, AttemptEnd end);
  // Ends the members of gangs that are complete for long enough, were broken or wait too long.
  void AdvanceGangs();
  JobIntake MakeJob();
  void MakeLongRunning(StepSpec* step);
  JobIntake MakeShortJob();
  QueuePolicy MakePolicy();
  // Replaces the jobs of short tasks that have ended.
  void SubmitShortJobs();
  void Cancel(const JobId& id);
  void Publish();
  void UpdateDirectory();
  void CommitProgress();
  // The next owner takes over. With `planned`, the former one stores its handover list first.
  void ChangeOwner(bool planned = false);
  void SendOrders();
  // Cuts the worker off if the answer to the order, which it has just executed, is to be lost.
  // Returns whether it is.
  bool LosesAnswer(const WorkerOrder& order, Worker* worker);
  void SendQuestion(const AdviceRequest& request);
  Advice Answer(const AdviceQuestion& question) const;
  // Writes which of the named workers the adviser allows to the trace.
  void NoteAnswer(const AdviceQuestion& question, const Advice& advice) const;
  bool Allows(const std::string& step, const std::string& worker) const;
  // Whether the ticket permits the task to start on the worker now.
  bool AcceptsTicket(const Worker& worker, const WorkerOrder& order) const;
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
  // Returns the number of workers on which a task of the step could start now.
  int CountWorkersWithCapacity(const std::string& job, const StepSpec& step) const;
  bool HasCapacity(const Worker& worker, const std::string& job, const StepSpec& step) const;
  // Whether an owner can send a start order to the worker.
  bool AcceptsOrders(const Worker& worker) const;
  // Checks that no long-running task waits for long while workers have capacity for it.
  void CheckWaits();
  void CheckWait(const std::string& name, LongRunningTask* task);
  // Returns for how long the task may wait before the time with capacity counts. In the strict
  // form, a task that has never run has to start as soon as workers have capacity.
  absl::Duration MayWait(const LongRunningTask& task) const;
  // Describes what the scheduler holds against starting the task on the workers with capacity.
  std::string DescribeWait(const std::string& name, const LongRunningTask& task) const;
  std::string DescribeWorker(const CellWorker& worker, const std::string& job) const;
  // Checks that the jobs that the scheduler counts as pending are those without a start.
  void CheckPending();
  // Takes note that a worker has told the owner that a task of the job has begun.
  void NoteTold(const AttemptKey& key);
  void RefuseOnRandomWorker();
  // Updates the time since which no fault has happened.
  void NoteFaults();
  void NoteStart(const TaskRun& run);
  void NoteEnd(const TaskRun& run);
  // Whether the workers that may run the job's steps have capacity for each of them.
  bool CanComplete(const std::string& id, const JobTruth& job) const;
  bool HaveAllJobsEnded() const;
  void CheckFinalStates();
  // Writes a line with the time to the trace, if there is one.
  void Note(const std::string& text) const;
  // Writes the events of the scheduler to the trace and keeps what it says about waiting steps.
  void TakeEvent(const Event& event);
  void Violation(const std::string& text);

  WorkerTime ClockOf(const Worker& worker) const;
  Resources CapacityThatCounts(const Worker& worker) const;

  const Faults faults_;
  const Load load_;
  std::mt19937 random_;
  ManualClock clock_;
  HybridClock hybrid_clock_{&clock_};
  const absl::Time begin_;
  const Trace trace_;
  EventLog events_{"simulation", &hybrid_clock_, [this](const Event& event) { TakeEvent(event); },
                   /*capacity=*/0};
  int64_t term_ = 1;
  std::unique_ptr<PoolScheduler> scheduler_;
  // Number of owner changes; answers to earlier owners are dropped.
  int owner_ = 0;
  std::map<std::string, Worker> workers_;
  int next_worker_ = 0;
  // CPU capacity of each machine, by address, while no fault has changed it.
  std::map<std::string, int64_t> nominal_cpu_;
  std::map<std::string, JobTruth> jobs_;
  int next_job_ = 0;
  std::set<JobId> open_short_jobs_;
  int lost_machines_ = 0;
  std::multimap<absl::Time, std::function<void()>> actions_;
  absl::Time next_wave_ = absl::InfiniteFuture();
  absl::Time store_down_until_ = absl::InfinitePast();
  absl::Time next_directory_;
  absl::Time next_round_;
  absl::Time next_pending_check_;
  std::map<JobId, std::string> stored_progress_;
  std::set<JobId> stored_final_;
  std::string stored_roster_;
  std::string stored_roster_without_times_;
  absl::Time roster_written_ = absl::InfinitePast();
  std::set<std::string> acknowledged_successes_;
  std::map<std::string, int> crashes_;
  std::map<std::string, int> starts_after_third_crash_;
  // When each gang became complete, and the gangs that have lost a member.
  std::map<std::string, absl::Time> complete_gangs_;
  std::set<std::string> broken_gangs_;
  int bystander_losses_ = 0;
  // By task name.
  std::map<std::string, LongRunningTask> long_running_;
  absl::Time last_fault_ = absl::InfinitePast();
  // When all leases that earlier owners granted are over.
  absl::Time inherited_leases_end_ = absl::InfinitePast();
  // By job: what the scheduler logged last about its waiting step.
  std::map<std::string, std::string> wait_reasons_;
  int long_running_restarts_ = 0;
  int checked_waits_ = 0;
  absl::Duration longest_checked_wait_;
  std::vector<std::string> violations_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_POOL_SIMULATION_H_
