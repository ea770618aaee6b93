#ifndef POMELOTRAY_STATE_SLICE_DEMAND_H_
#define POMELOTRAY_STATE_SLICE_DEMAND_H_

#include <array>
#include <cstdint>

#include "absl/time/time.h"
#include "base/resources.h"
#include "model/contract.h"
#include "state/slice_allocation.h"

namespace pomelotray {

// Limits for one customer in one shard.
struct SliceLimits {
  Resources resources;
  double rate_per_second = 0;
  int64_t burst = 0;
  int64_t max_jobs = 0;
};

// Demand of one customer in one shard: what it uses, or what it would use without limits.
struct SliceDemand {
  Resources resources;
  double rate_per_second = 0;
  int64_t jobs = 0;
};

// Returns the cap that the contract grants over all shards.
SliceVector CapFromContract(const Contract& contract);
SliceLimits ToLimits(const SliceVector& amounts);

// Derives the amounts to request for one customer in one shard from its demand reports. Requested
// amounts increase at once, in steps, and decrease only after the demand has been lower for some
// time, so that small changes of demand cause no store writes.
class DemandTracker {
 public:
  explicit DemandTracker(absl::Time owned_since) : last_limit_change_(owned_since) {}

  void Report(const SliceDemand& in_use, const SliceDemand& wanted);
  // Must be called when the limit was lowered: earlier reports may no longer be valid.
  void OnLimitLowered(absl::Time now);

  SliceVector InUse() const;
  // Returns the amounts to request. `recorded` are the amounts requested in the stored allocation
  // and `shards` is the number of the customer's home shards: one for each pool and
  // home domain of its contract.
  SliceVector RequestedAmounts(const SliceVector& cap, const SliceVector& recorded, int64_t shards,
                               absl::Time now);
  // Returns true if InUse() has been reported since the limit was lowered, or if nothing has been
  // reported for long enough that the shard is assumed to use nothing.
  bool InUseKnown(absl::Time now) const;

 private:
  SliceVector Demand(const SliceVector& cap) const;

  // Time at which the shard was taken over or the limit was last lowered.
  absl::Time last_limit_change_;
  bool reported_ = false;
  int64_t reports_since_lowered_ = 0;
  SliceDemand in_use_;
  SliceDemand wanted_;
  // Per dimension: whether the demand is lower than the recorded request, and since when.
  std::array<absl::Time, kSliceDimensionCount> lower_demand_since_ = {};
  std::array<bool, kSliceDimensionCount> demand_is_lower_ = {};
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_DEMAND_H_
