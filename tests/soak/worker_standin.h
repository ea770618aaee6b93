#ifndef POMELOTRAY_TESTS_SOAK_WORKER_STANDIN_H_
#define POMELOTRAY_TESTS_SOAK_WORKER_STANDIN_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/soak/gang_board.h"
#include "tests/soak/run_history.h"

namespace httplib {
class Server;
}

namespace pomelotray {

// Whether the job has a task that crashes each worker that starts it; depends on a hash of the id.
bool HasCrashingTask(const std::string& job);

// Stand-in for a worker, served over HTTP. It checks fencing tokens, keeps its lease by its own
// clock and numbers the ends of runs. It does not reject tasks for lack of capacity but reports
// over-commitment to the history. A hash of the task name determines the duration, 0.1 to 0.5 s,
// and whether the first run fails. The first task of some jobs crashes it: it refuses connections
// for a second or two and then starts again. The members of a gang work once all are there, end
// together and report checkpoints. A long-running task (see IsLongRunning()) fails by itself after
// 9 to 26 s, and starts only with a valid ticket of the adviser.
class WorkerStandin {
 public:
  // `cpu` is the capacity of the worker; each task takes 1000 of it.
  WorkerStandin(std::string id, int64_t cpu, RunHistory* history, GangBoard* gangs,
                std::string pool = "work");
  ~WorkerStandin();

  std::string address() const;
  // Returns the value of the worker's entry in the store.
  std::string Entry() const;

  // Changes the capacity. Starts that exceed a lower one are violations from `lower_counts_at` on,
  // when all instances can have learned of it.
  void SetCpu(int64_t cpu, absl::Time lower_counts_at);
  // Postpones that time, since instances cannot learn of the capacity.
  void PostponeLowerCpu(absl::Time lower_counts_at);
  // Simulates a restart: all runs are lost and the server starts again under the same id and port.
  void Restart();
  bool HasUnacknowledgedEnds() const;
  // From now on refuses one start out of `interval`, chosen by a hash, for lack of room.
  void RefuseStarts(uint64_t interval);
  // Executes orders but delays their answers until `time` has passed.
  void DelayAnswers(absl::Duration time);
  // For `time`, calls do not reach the worker and its answers reach nobody, but its runs go on.
  // Every second start order that is sent meanwhile arrives afterwards.
  void CutOff(absl::Duration time);
  // Cuts the worker off for `time` once it has executed the next start order, whose answer is lost.
  void CutOffAfterNextStart(absl::Duration time);
  // Tasks that start from now on take `time`, apart from gangs and long-running tasks.
  void SetTaskDuration(absl::Duration time);
  // Ends the process for good, until ComeBack().
  void Lose();
  // Starts the next process under the same id, at the same address or at another one.
  void ComeBack(bool at_other_address);
  // Announces in Entry() that the worker leaves, or takes that back.
  void SetDraining(bool draining);
  // Whether a start order for a task of the step reaches the worker and fits there now.
  bool CouldRun(const std::string& step) const;
  bool IsUp() const;
  bool Runs(const std::string& task) const;

 private:
  struct Run {
    std::string task;
    int64_t run = 0;
    absl::Time started_at;
    absl::Duration duration;
    // Name of the step if it is a gang, else empty.
    std::string gang;
    bool stopped = false;
    bool long_running = false;
  };
  struct RunEnd {
    std::string task;
    int64_t run = 0;
    std::string outcome;
    std::string checkpoint;
  };

  void Listen();
  void AdvanceLoop();
  // Ends the server with all its connections, as the end of a worker process would.
  void StopServer();
  // Ends the server and its runs, and starts it again after `downtime`.
  void RestartAfter(absl::Duration downtime);
  void RegisterHandlers();
  // Clears all state as a restart does and sets a new start time.
  void ResetState();
  // Returns earlier if the worker restarts.
  void SleepUntil(absl::Time time) const;
  // Returns the HTTP status and fills `answer`.
  int Start(const nlohmann::json& order, nlohmann::json* answer);
  int Stop(const nlohmann::json& order, nlohmann::json* answer);
  int Hold(const nlohmann::json& order, nlohmann::json* answer);
  // Waits until the cut-off is over, if there is one. Returns false if the call never arrives.
  bool WaitForCutOff(const std::string& path, const nlohmann::json& order) const;
  bool CheckFencingToken(const nlohmann::json& order, nlohmann::json* answer)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ExtendLease(const nlohmann::json& order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns how long a run takes that starts now.
  absl::Duration DurationOf(const Run& run) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns how the run ends now, or an empty text if it goes on.
  std::string OutcomeOf(const Run& run) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string OutcomeOfGang(const Run& run) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the checkpoint that the run reports now; empty if it has none.
  std::string CheckpointOf(const Run& run) const;
  // Ends the runs that are finished, stopped or no longer covered by the lease.
  void Advance() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Finish(const std::string& outcome, std::map<std::string, Run>::iterator* it)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  int64_t ClockMs() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::string id_;
  const std::string pool_;
  RunHistory* const history_;
  GangBoard* const gangs_;
  // Held during a restart. Restarts come from the soak run and from crashing tasks.
  absl::Mutex restart_mutex_;
  std::unique_ptr<httplib::Server> server_;
  int port_ = 0;
  std::thread server_thread_;
  std::thread advance_thread_;
  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t cpu_ ABSL_GUARDED_BY(mutex_);
  // The capacity that starts may use until `lower_cpu_counts_at_`.
  int64_t earlier_cpu_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time lower_cpu_counts_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // Time at which a task that has been started crashes the worker.
  absl::Time crash_at_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  std::string crashing_task_ ABSL_GUARDED_BY(mutex_);
  absl::Time started_at_ ABSL_GUARDED_BY(mutex_);
  int64_t incarnation_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time answers_delayed_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time cut_off_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // If it is not zero, the next start order cuts the worker off for this time.
  absl::Duration cut_off_after_start_ ABSL_GUARDED_BY(mutex_);
  // Zero: a hash of the task's name determines the duration.
  absl::Duration task_duration_ ABSL_GUARDED_BY(mutex_);
  bool draining_ ABSL_GUARDED_BY(mutex_) = false;
  bool lost_ ABSL_GUARDED_BY(mutex_) = false;
  // No start is refused for lack of room if this is 0.
  uint64_t refusal_interval_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t token_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t lease_end_ms_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t next_end_number_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<std::string, Run> running_ ABSL_GUARDED_BY(mutex_);
  // Highest run number of each task that ended or was stopped on this worker.
  std::map<std::string, int64_t> last_ended_run_ ABSL_GUARDED_BY(mutex_);
  std::map<int64_t, RunEnd> run_ends_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_WORKER_STANDIN_H_
