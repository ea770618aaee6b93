#ifndef POMELOTRAY_STATE_SLICE_MANAGER_H_
#define POMELOTRAY_STATE_SLICE_MANAGER_H_

#include <functional>
#include <map>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "base/resources.h"
#include "base/shard_id.h"
#include "model/contract.h"
#include "state/state_context.h"

namespace pomelotray {

// What one shard may let one customer hold and do.
struct SliceLimits {
  Resources hold;
  double rate_per_second = 0;
  int64_t burst = 0;
  int64_t max_jobs = 0;
};

// What a customer uses or wants in one shard.
struct SliceDemand {
  Resources hold;
  double rate_per_second = 0;
  int64_t jobs = 0;
};

// Negotiates, through `slices/<customer>` in the store, how the shards share each contract's cap.
// The limits in use by all shards never sum to more than the cap that the store's key records.
// Thread-safe.
class SliceManager {
 public:
  using ContractSource = std::function<std::vector<Contract>()>;

  // `contracts` returns the contracts in force.
  SliceManager(const StateContext& context, ContractSource contracts);
  ~SliceManager();

  void Start();
  void Stop();

  // The shards that this instance owns, with the terms of its claims. A shard's slice is taken over
  // from its former owner with the first successful read of the key.
  void SetOwnedShards(const std::map<ShardId, int64_t>& terms);
  // Zero until the shard's slice is known.
  SliceLimits Limit(const CustomerId& customer, const ShardId& shard) const;
  // `wanted` includes what is in use.
  void ReportDemand(const CustomerId& customer, const ShardId& shard, const SliceDemand& in_use,
                    const SliceDemand& wanted);
  // One round for all customers; the thread calls it, and tests do.
  void NegotiateOnce();

 private:
  friend class SliceManagerPeer;
  using Key = std::pair<CustomerId, ShardId>;
  struct Demand {
    SliceDemand in_use;
    SliceDemand wanted;
  };

  void Run();

  const StateContext context_;
  const ContractSource contracts_;
  mutable absl::Mutex mutex_;
  absl::CondVar wake_;
  std::map<ShardId, int64_t> owned_ ABSL_GUARDED_BY(mutex_);
  std::map<Key, SliceLimits> limits_ ABSL_GUARDED_BY(mutex_);
  std::map<Key, Demand> demands_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_MANAGER_H_
