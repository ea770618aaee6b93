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

// The workers of a test, by address. A worker may be replaced by another boot at any time.
class WorkerFleet {
 public:
  std::shared_ptr<WorkerState> Find(const std::string& address);
  void Set(const std::string& address, std::shared_ptr<WorkerState> worker);

 private:
  absl::Mutex mutex_;
  std::map<std::string, std::shared_ptr<WorkerState>> workers_;
};

// Faults of the path between one owner and the workers. Probabilities are per call.
struct PathFaults {
  std::atomic<bool> cut{false};
  std::atomic<int> lose_answer_percent{0};
  // The call takes effect later, when the owner has already got kOutcomeUnknown.
  std::atomic<int> delay_percent{0};
};

// One owner's path to the workers, with faults.
class FaultyWorkerPort : public WorkerPort {
 public:
  FaultyWorkerPort(WorkerFleet* fleet, const Clock* clock, uint64_t seed);

  PathFaults faults;
  void CutWorker(const std::string& address, bool cut);
  // Delivers the delayed calls that are due.
  void DeliverDelayed(bool all);

  Result<WorkerInventory> Fence(const std::string& address, const InstanceId& owner,
                                const Epoch& epoch) override;
  Result<void> Start(const std::string& address, const TaskStart& start) override;
  Result<WorkerInventory> Heartbeat(const std::string& address,
                                    const WorkerHeartbeat& heartbeat) override;
  Result<void> Stop(const std::string& address, const AttemptId& attempt, const Epoch& epoch,
                    StopMode mode) override;

 private:
  struct Delayed {
    absl::Time due;
    std::function<void()> deliver;
  };

  Result<std::shared_ptr<WorkerState>> Reach(const std::string& address);
  bool Roll(int percent);
  // True when the call was queued for later delivery.
  bool Delay(std::function<void()> deliver);

  WorkerFleet* const fleet_;
  const Clock* const clock_;
  absl::Mutex mutex_;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> cut_workers_ ABSL_GUARDED_BY(mutex_);
  std::vector<Delayed> delayed_ ABSL_GUARDED_BY(mutex_);
};

// One owner's path to the store, which can be cut.
class CutStorePort : public StorePort {
 public:
  explicit CutStorePort(StorePort* store) : store_(store) {}

  std::atomic<bool> cut{false};

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
