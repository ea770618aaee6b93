#ifndef POMELOTRAY_TESTS_SHARD_FAULTY_PORTS_H_
#define POMELOTRAY_TESTS_SHARD_FAULTY_PORTS_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "ports/store_port.h"
#include "ports/worker_port.h"
#include "standins/worker_state.h"

namespace pomelotray {

// The simulated workers of a test, by address. A test may replace a worker at any time to simulate
// a restart.
class WorkerFleet {
 public:
  std::shared_ptr<WorkerState> Find(const std::string& address);
  void Set(const std::string& address, std::shared_ptr<WorkerState> worker);

 private:
  absl::Mutex mutex_;
  std::map<std::string, std::shared_ptr<WorkerState>> workers_;
};

// Network faults between one owner and the workers. Probabilities apply to each call.
struct PathFaults {
  std::atomic<bool> disconnected{false};
  std::atomic<int> lose_answer_percent{0};
  // Probability that the owner gets kOutcomeUnknown at once and the call takes effect later.
  std::atomic<int> delay_percent{0};
};

// Connects one owner to the simulated workers and injects network faults.
class FaultyWorkerPort : public WorkerPort {
 public:
  FaultyWorkerPort(WorkerFleet* fleet, const Clock* clock, uint64_t seed);

  PathFaults faults;
  void SetWorkerDisconnected(const std::string& address, bool disconnected);
  // Delivers the delayed calls that are due, or all delayed calls when `all` is true.
  void DeliverDelayed(bool all);

  Result<WorkerInventory> Fence(const std::string& address, const InstanceId& owner,
                                const Epoch& epoch) override;
  Result<void> Start(const std::string& address, const TaskStart& start) override;
  Result<WorkerInventory> Heartbeat(const std::string& address,
                                    const WorkerHeartbeat& heartbeat) override;
  Result<void> Stop(const std::string& address, const AttemptId& attempt, const Epoch& epoch,
                    StopMode mode) override;

 private:
  struct DelayedCall {
    absl::Time due;
    std::function<void()> deliver;
  };

  // Returns the worker at `address`, or an error when it is disconnected.
  Result<std::shared_ptr<WorkerState>> FindReachable(const std::string& address);
  // Returns true with a probability of `percent`.
  bool DrawFault(int percent);
  // Decides at random whether the call is delayed. Returns true when it was queued for later
  // delivery.
  bool MaybeDelay(std::function<void()> deliver);

  WorkerFleet* const fleet_;
  const Clock* const clock_;
  absl::Mutex mutex_;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> disconnected_workers_ ABSL_GUARDED_BY(mutex_);
  std::vector<DelayedCall> delayed_ ABSL_GUARDED_BY(mutex_);
};

// Connects one owner to the store; every call fails while `disconnected` is set.
class DisconnectableStorePort : public StorePort {
 public:
  explicit DisconnectableStorePort(StorePort* store) : store_(store) {}

  std::atomic<bool> disconnected{false};

  using StorePort::CompareAndSwap;
  Result<std::optional<StoreEntry>> Get(const std::string& key) override;
  Result<std::vector<StoreEntry>> List(const std::string& prefix) override;
  Result<Revision> CompareAndSwap(const std::string& key, Revision expected,
                                  const std::string& value,
                                  const std::optional<StoreLeaseId>& lease) override;
  Result<void> Delete(const std::string& key, Revision expected) override;
  Result<WatchBatch> Watch(const std::string& prefix, Revision after, absl::Duration wait) override;
  Result<StoreLeaseId> GrantLease(absl::Duration ttl) override;
  Result<void> KeepAlive(const StoreLeaseId& lease) override;
  Result<void> RevokeLease(const StoreLeaseId& lease) override;

 private:
  StorePort* const store_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SHARD_FAULTY_PORTS_H_
