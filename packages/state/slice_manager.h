#ifndef POMELOTRAY_STATE_SLICE_MANAGER_H_
#define POMELOTRAY_STATE_SLICE_MANAGER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "base/shard_id.h"
#include "model/contract.h"
#include "state/slice_allocation.h"
#include "state/slice_demand.h"
#include "state/slice_plan.h"
#include "state/state_context.h"

namespace pomelotray {

// Negotiates through the store key `slices/<customer>` how the shards share each contract's cap.
// The sum of the limits of all shards never exceeds the cap, except after the cap was lowered: then
// the sum falls to the new cap as the excess work ends. Thread-safe.
class SliceManager {
 public:
  using ContractSource = std::function<std::vector<Contract>()>;

  // `contracts` is called in each round and returns the contracts in force.
  SliceManager(const StateContext& context, ContractSource contracts);
  ~SliceManager();

  void Start();
  void Stop();

  // Sets the shards that this instance owns and the terms of its claims. A shard's limits stay zero
  // until its slices have been written to the store under the given term.
  void SetOwnedShards(const std::map<ShardId, int64_t>& terms);
  // Returns the current limits, which are zero until the shard's slice is known.
  SliceLimits Limit(const CustomerId& customer, const ShardId& shard) const;
  // Reports what a customer uses in a shard and what it would use without limits; `wanted` includes
  // `in_use`. The caller must report every customer that uses anything within 10 s after
  // SetOwnedShards() and then after each change or once per second. A customer's last report must
  // state that nothing is in use. Each report must include everything that was admitted under
  // limits that were read before the report.
  void ReportDemand(const CustomerId& customer, const ShardId& shard, const SliceDemand& in_use,
                    const SliceDemand& wanted);
  // Runs one round of negotiation for all customers. Called by the background thread, or by tests
  // that do not start the thread; calls must not overlap. Returns false if a store call failed.
  bool NegotiateOnce(absl::Duration watch_wait = absl::ZeroDuration());

 private:
  using Key = std::pair<CustomerId, ShardId>;
  // The newest version of a customer's allocation that this instance has read or written.
  struct VersionedAllocation {
    Revision revision;
    SliceAllocation allocation;
  };
  // This instance's state for one customer in one owned shard.
  struct Slice {
    explicit Slice(absl::Time owned_since) : demand(owned_since) {}
    DemandTracker demand;
    SliceVector limit = {};
    // Upper bound of `limit` while the outcome of a write that expected the key to have
    // `ceiling_revision` is unknown.
    std::optional<SliceVector> ceiling;
    Revision ceiling_revision;
  };

  void Run();
  Result<void> ReadChanges(absl::Duration wait);
  Result<void> Negotiate(const Contract& contract);
  Result<void> RereadAllocation(const CustomerId& customer);
  void UpdateAllocation(const CustomerId& customer, Revision revision, const std::string& value);
  std::map<ShardId, OwnedShardState> OwnedShardStates(const Contract& contract,
                                                      const SliceAllocation& allocation,
                                                      const SliceVector& cap)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Slice& GetOrCreateSlice(const CustomerId& customer, const ShardId& shard)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Sets the limits to the minimum of the stored allocation and the plan's targets.
  void SetLimits(const CustomerId& customer, const VersionedAllocation& written,
                 const SlicePlan& plan) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Lowers the limits to the allocation that is about to be written.
  void LowerLimits(const CustomerId& customer, const SlicePlan& plan)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Keeps the limits from rising until the key has a revision other than `revision`.
  void SetCeilings(const CustomerId& customer, const SlicePlan& plan, Revision revision)
      ABSL_LOCKS_EXCLUDED(mutex_);
  // Sets the limits of customers without a contract to zero.
  void ClearLimitsOfUnknownCustomers(const std::vector<Contract>& contracts)
      ABSL_LOCKS_EXCLUDED(mutex_);

  const StateContext context_;
  const ContractSource contracts_;
  // The next four members are used by only one round at a time and are not guarded by `mutex_`,
  // which would otherwise be held during store calls.
  Revision watched_revision_;
  // Newest revision of each customer's key that could not be read.
  std::map<CustomerId, Revision> unreadable_;
  // Customer at which the next round starts after a failed call, so that all customers get their
  // turn also when the write budget is too small for one round.
  CustomerId first_customer_;
  std::map<CustomerId, VersionedAllocation> allocations_;
  mutable absl::Mutex mutex_;
  absl::CondVar wake_;
  std::map<ShardId, int64_t> owned_terms_ ABSL_GUARDED_BY(mutex_);
  std::map<ShardId, absl::Time> owned_since_ ABSL_GUARDED_BY(mutex_);
  std::map<Key, Slice> slices_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_MANAGER_H_
