#ifndef POMELOTRAY_TESTS_SHARD_FAULT_RUN_H_
#define POMELOTRAY_TESTS_SHARD_FAULT_RUN_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/manual_clock.h"
#include "history/history_checker.h"
#include "shard/shard_owner.h"
#include "tests/fakes/fake_store.h"
#include "tests/shard/faulty_ports.h"

namespace pomelotray {

// Limits that are too high to take effect in a test.
class UnlimitedShardLimits : public ShardLimits {
 public:
  Resources ResourceLimit(const CustomerId& customer) const override;
  double Weight(const CustomerId& customer) const override;
  SliceLimits Limits(const CustomerId& customer) const override;
  void ReportDemand(const CustomerId& customer, const SliceDemand& in_use,
                    const SliceDemand& wanted) override;
};

// The kinds of faults that a run injects.
struct FaultPlan {
  bool owner_crashes = false;
  // The former owner keeps running while a new one takes over.
  bool zombie_owners = false;
  bool store_outages = false;
  bool lost_store_answers = false;
  bool worker_reboots = false;
  // The connection between the owner and a worker is interrupted.
  bool worker_disconnections = false;
  bool lost_worker_answers = false;
  bool delayed_commands = false;
  bool cancellations = false;
};

// Simulates one shard of four workers on a manual clock. Submits jobs and injects faults at random,
// then ends all faults of the newest owner and waits until all jobs are final.
class FaultRun {
 public:
  FaultRun(uint64_t seed, const FaultPlan& plan);
  ~FaultRun();

  void Run();

  // Events that all processes have recorded so far. Returns a copy because owners that are still
  // running keep recording events after Run().
  std::vector<Event> history() const {
    absl::MutexLock lock(&history_mutex_);
    return history_;
  }
  // Descriptions of the jobs that did not become final during Run(), with the states of their
  // tasks.
  const std::vector<std::string>& unfinished() const { return unfinished_; }
  int64_t accepted_jobs() const { return accepted_jobs_; }

 private:
  struct Owner {
    std::unique_ptr<DisconnectableStorePort> store;
    std::unique_ptr<FaultyWorkerPort> workers;
    std::unique_ptr<EventLog> events;
    std::unique_ptr<ShardOwner> owner;
    std::atomic<bool> started{false};
    std::thread starter;
  };
  struct Worker {
    VmEntry vm;
    std::shared_ptr<WorkerState> state;
    std::thread timers;
  };
  struct Client {
    JobSpec spec;
    std::thread thread;
    std::atomic<bool> accepted{false};
    std::atomic<bool> done{false};
  };

  std::unique_ptr<EventLog> NewLog(const std::string& process);
  void BootWorker(size_t index);
  void StartOwner();
  // Disconnects the newest owner from the store and the workers. The object is destroyed at the end
  // of the run.
  void CrashOwner();
  void StepFaults();
  void SubmitJob();
  void CancelRandomJob();
  void ClearFaults();
  void Step();
  bool AllFinal();
  std::shared_ptr<Owner> CurrentOwner();
  int64_t Random(int64_t bound) {
    return static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
  }

  const FaultPlan plan_;
  std::mt19937_64 random_;
  ManualClock clock_;
  HybridClock hybrid_clock_;
  FakeStore store_;
  UnlimitedShardLimits limits_;
  WorkerFleet fleet_;
  mutable absl::Mutex history_mutex_;
  std::vector<Event> history_ ABSL_GUARDED_BY(history_mutex_);
  std::vector<std::unique_ptr<EventLog>> logs_;
  std::vector<Worker> workers_;
  absl::Mutex owners_mutex_;
  // All owners, the newest last. They are destroyed at the end of the run.
  std::vector<std::shared_ptr<Owner>> owners_;
  std::atomic<int64_t> term_{0};
  std::vector<std::unique_ptr<Client>> clients_;
  std::atomic<bool> stopping_{false};
  std::vector<std::string> unfinished_;
  int64_t accepted_jobs_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SHARD_FAULT_RUN_H_
