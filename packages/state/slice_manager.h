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
#include "state/slice_book.h"
#include "state/slice_demand.h"
#include "state/slice_plan.h"
#include "state/state_context.h"

namespace pomelotray {

// Negotiates, through `slices/<customer>` in the store, how the shards share each contract's cap.
// The limits in use by all shards never sum to more than the cap; after a cap was lowered, they
// fall below it as the work in excess ends. Thread-safe.
class SliceManager {
 public:
  using ContractSource = std::function<std::vector<Contract>()>;

  // `contracts` returns the contracts in force.
  SliceManager(const StateContext& context, ContractSource contracts);
  ~SliceManager();

  void Start();
  void Stop();

  // The shards that this instance owns, with the terms of its claims. A shard's slices can be used
  // once they are written under this term.
  void SetOwnedShards(const std::map<ShardId, int64_t>& terms);
  // Zero until the shard's slice is known.
  SliceLimits Limit(const CustomerId& customer, const ShardId& shard) const;
  // `wanted` includes what is in use. Within 10 s after SetOwnedShards, and again after each change
  // or each second, every customer that uses anything is reported; the last report of a customer
  // says that nothing is in use. What was admitted under the limit read before is included.
  void ReportDemand(const CustomerId& customer, const ShardId& shard, const SliceDemand& in_use,
                    const SliceDemand& wanted);
  // One round for all customers. The thread calls it; tests do so instead of starting the thread,
  // one call at a time. Returns false when the store did not answer.
  bool NegotiateOnce(absl::Duration watch_wait = absl::ZeroDuration());

 private:
  using Key = std::pair<CustomerId, ShardId>;
  // The newest version of a customer's key that this instance has seen.
  struct KnownBook {
    Revision revision;
    SliceBook book;
  };
  struct Slice {
    explicit Slice(absl::Time owned_since) : demand(owned_since) {}
    DemandTracker demand;
    SliceVector limit = {};
    // Bound while the outcome of a write is not known.
    std::optional<SliceVector> ceiling;
    Revision ceiling_revision;
  };

  void Run();
  Result<void> ReadChanges(absl::Duration wait);
  Result<void> Negotiate(const Contract& contract);
  Result<void> Refresh(const CustomerId& customer);
  void TakeBook(const CustomerId& customer, Revision revision, const std::string& value);
  std::map<ShardId, ShardStanding> Standings(const Contract& contract, const SliceBook& book,
                                             const SliceVector& cap)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Slice& SliceOf(const CustomerId& customer, const ShardId& shard)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Sets the limits to what both the written book and the plan allow.
  void SetLimits(const CustomerId& customer, const KnownBook& written, const SlicePlan& plan)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Lowers the limits to what the book about to be written allows.
  void LowerLimits(const CustomerId& customer, const SlicePlan& plan)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void HoldCeilings(const CustomerId& customer, const SlicePlan& plan, Revision revision)
      ABSL_LOCKS_EXCLUDED(mutex_);
  void DropUnknownCustomers(const std::vector<Contract>& contracts) ABSL_LOCKS_EXCLUDED(mutex_);

  const StateContext context_;
  const ContractSource contracts_;
  // These three are used by one round at a time only and need no lock, which would be held during
  // store calls.
  Revision watched_;
  // The customer at which the next round begins, so that a short write budget reaches all in turn.
  CustomerId first_customer_;
  std::map<CustomerId, KnownBook> books_;
  mutable absl::Mutex mutex_;
  absl::CondVar wake_;
  std::map<ShardId, int64_t> owned_ ABSL_GUARDED_BY(mutex_);
  std::map<ShardId, absl::Time> owned_since_ ABSL_GUARDED_BY(mutex_);
  std::map<Key, Slice> slices_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_MANAGER_H_
