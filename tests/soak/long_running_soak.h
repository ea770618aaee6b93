#ifndef POMELOTRAY_TESTS_SOAK_LONG_RUNNING_SOAK_H_
#define POMELOTRAY_TESTS_SOAK_LONG_RUNNING_SOAK_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/soak/adviser_standin.h"
#include "tests/soak/instance_group.h"
#include "tests/soak/run_history.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/store_standin.h"
#include "tests/soak/worker_standin.h"

namespace pomelotray {

// A soak run with long-running tasks, which fail by themselves and have to be started again, beside
// jobs of short tasks. The faults depend on the seed: workers are lost for good, cut off or leave,
// and come back at the same address or another one; instances, the pool's owner among them, are
// killed, paused and stopped; the store is slow, loses answers or is down. Faults may overlap.
class LongRunningSoak {
 public:
  struct Limits {
    int instances = 3;
    int workers = 12;
    // CPU capacity of each worker; a task takes 1000 of it.
    int64_t worker_cpu = 4000;
    int long_running_jobs = 5;
    int tasks_per_job = 3;
    // A caller submits jobs of short tasks all the time.
    bool short_jobs = true;
    absl::Duration fault_duration = absl::Seconds(40);
  };

  // The longest time for which a long-running task may be without a run while a worker could take
  // it: six seconds from the end of its last run, and three seconds beside that worker.
  static constexpr absl::Duration kMaxGap = absl::Seconds(9);

  LongRunningSoak(int seed, Limits limits);
  ~LongRunningSoak();

  // Plays random faults. Like the functions below, returns the violated guarantees.
  std::vector<std::string> Run();
  // Loses the worker of a task for good. Another worker with capacity is cut off just before the
  // lease of the lost one is over.
  std::vector<std::string> RunLossBesideSilentWorker();
  // Loses the worker of a task for good, and kills as many owners, one after the other, at these
  // times after the loss.
  std::vector<std::string> RunLossBeforeTakeovers(const std::vector<absl::Duration>& kills);
  // Ends all workers but one, which then comes back under its id at another address.
  std::vector<std::string> RunReturnAtOtherAddress();

  // How long the long-running tasks were without a run, the longest first.
  std::vector<absl::Duration> gaps() const { return history_.LongRunningGaps(); }
  const std::string& folder() const { return instances_.folder(); }

 private:
  void Publish(int worker);
  void SubmitLongRunningJob(int job);
  // Submits the long-running jobs, waits until all their tasks run, and starts the checks. Returns
  // false if the tasks do not start, which is a violation.
  bool Begin();
  // Lets the checks go on for `time`, ending the faults whose time is over.
  void Continue(absl::Duration time);
  std::vector<std::string> End();
  void CallerLoop();
  void CheckLoop();
  void CheckGap(const StoppedTask& stopped, absl::Time now);
  bool CouldRunSomewhere(const std::string& step) const;

  void InjectFault();
  void InjectWorkerFault();
  void InjectInstanceFault(int index);
  void InjectStoreFault();
  // Ends the worker without notice. Its entry is removed when its heartbeats have been missed.
  void LoseWorker(int worker);
  void EndFaults(bool all);
  void NoteInstanceFault();
  std::optional<int> Owner();
  std::optional<int> FindWorkerOf(const std::string& task) const;

  const int seed_;
  const Limits limits_;
  std::mt19937 random_;
  RunHistory history_;
  GangBoard gangs_{&history_};
  StoreStandin store_;
  AdviserStandin adviser_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
  InstanceGroup instances_;
  const SoakCaller caller_{&instances_, &history_};
  // Actions of faults in progress, by the time at which they are due.
  std::multimap<absl::Time, std::function<void()>> due_;
  absl::Time store_fault_until_ = absl::InfinitePast();
  mutable absl::Mutex mutex_;
  // When instances were killed, paused, continued or stopped.
  std::vector<absl::Time> instance_faults_ ABSL_GUARDED_BY(mutex_);
  absl::Time last_store_fault_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time last_fault_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // Used by the thread of CheckLoop() only: since when a worker could take each stopped task, and
  // the runs that were reported.
  std::map<std::string, absl::Time> could_run_since_;
  std::map<std::string, absl::Time> reported_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_LONG_RUNNING_SOAK_H_
