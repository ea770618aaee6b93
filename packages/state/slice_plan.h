#ifndef POMELOTRAY_STATE_SLICE_PLAN_H_
#define POMELOTRAY_STATE_SLICE_PLAN_H_

#include <map>

#include "state/slice_allocation.h"

namespace pomelotray {

// State of one customer in one shard, as known to the shard's owner.
struct OwnedShardState {
  int64_t term = 0;
  SliceVector requested = {};
  SliceVector in_use = {};
  // The limit that the shard enforces now.
  SliceVector limit = {};
  // True if `in_use` was reported after the limit was last lowered, or if the shard is assumed to
  // use nothing (see DemandTracker::InUseKnown()). The actual use then cannot exceed the
  // greater of `in_use` and `limit`.
  bool in_use_known = false;
};

struct SlicePlan {
  // The allocation to be written if it differs from the current one.
  SliceAllocation next;
  // Upper bound for each owned shard, which also applies while the current allocation allows more.
  std::map<ShardId, SliceVector> targets;
};

// Divides `allocation.cap` between the shards by max-min fairness over their requested amounts.
std::map<ShardId, SliceVector> DivideCap(const SliceAllocation& allocation);

// Plans the next version of an allocation. Only the entries of `owned_shards` change: they release
// what exceeds their share and is not in use, and claim more only from the unallocated part of the
// cap, so that the sum of all entries never grows beyond the cap.
SlicePlan PlanSlices(const SliceAllocation& allocation, Revision contract_revision,
                     const SliceVector& cap,
                     const std::map<ShardId, OwnedShardState>& owned_shards);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_PLAN_H_
