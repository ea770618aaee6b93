#ifndef POMELOTRAY_TESTS_SOAK_SOAK_RUN_H_
#define POMELOTRAY_TESTS_SOAK_SOAK_RUN_H_

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/soak/instance_group.h"
#include "tests/soak/run_history.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/store_standin.h"
#include "tests/soak/worker_standin.h"

namespace pomelotray {

// One soak run. Starts instances as child processes with stand-ins for the store and the workers,
// submits jobs from several threads and injects random faults that depend on the seed. Faults may
// overlap and follow one another closely.
class SoakRun {
 public:
  struct Limits {
    int instances = 3;
    int workers = 5;
    int callers = 4;
    absl::Duration fault_duration = absl::Seconds(12);
    // Covers the longest takeover, lease expiry and work on the backlog after the last fault.
    absl::Duration recovery_timeout = absl::Seconds(60);
    // Workers refuse one start out of this many, and there are no other faults; 0: random faults.
    uint64_t refusal_interval = 0;
    // The workers are divided among this many pools.
    int pools = 1;
    // The only faults are stops of instances in series, which overlap, beside a slow store.
    bool stop_series = false;
    // With `stop_series`: routes go to other services, the store carries writes out late, and
    // callers cancel jobs and submit them again.
    bool moving_routes = false;
  };

  SoakRun(int seed, Limits limits);
  ~SoakRun();

  // Returns the violated guarantees; empty when there were none.
  std::vector<std::string> Run();
  // Plays one fault instead: a gang ends while the store is down, and then a worker whose end is
  // not acknowledged and all instances are lost.
  std::vector<std::string> RunGangThatEndsInOutage();
  // Plays one fault instead: a worker is cut off as it starts a task, and the owner is stopped once
  // the start has not been answered in time.
  std::vector<std::string> RunStopAfterUnansweredStart();
  size_t accepted() const { return history_.accepted().size(); }

 private:
  void InjectFault();
  void InjectInstanceFault();
  // Stops some or all instances shortly one after the other, mostly beside a slow store.
  void StopInSeries();
  void InjectStoreFault();
  // Puts a version into the store that sends each queue to another service.
  void MoveRoutes();
  // Shrinks the capacity of the worker, or lets it grow again.
  void ChangeCapacity(int worker);
  // Ends the store and instance faults whose time is over, or all of them if `all` is set.
  void EndFaults(bool all);
  void CallerLoop(int caller);
  // Submits jobs, repeats some of the requests and cancels some of the jobs.
  void CancellingCallerLoop(int caller);
  std::string JobName(int caller, int number) const;
  // Returns the path prefix of the queue that the job is submitted to.
  std::string PrefixOf(const std::string& job) const;
  // Submits a job with random steps, or with the given ones.
  void SubmitJob(const std::string& id, std::mt19937* random);
  void Submit(const std::string& id, const nlohmann::json& steps, std::mt19937* random);
  // Adds a violation for each accepted job that is not reported as completed in time or, if it has
  // a task that crashes its workers, as failed.
  void WaitForCompletion();

  const int seed_;
  const Limits limits_;
  std::mt19937 random_;
  RunHistory history_;
  GangBoard gangs_{&history_};
  StoreStandin store_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
  InstanceGroup instances_;
  const SoakCaller caller_{&instances_, &history_};
  int64_t version_ = 7;
  absl::Time store_fault_until_ = absl::InfinitePast();
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> callers_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_SOAK_RUN_H_
