#include "state/slice_plan.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pomelotray {
namespace {

// Divides one dimension of the cap. In ascending order of their requests, each shard gets the
// smaller of its requested amount and an equal share of the remainder.
void DivideDimension(const SliceAllocation& allocation, size_t dimension,
                     std::map<ShardId, SliceVector>* shares) {
  std::vector<std::pair<int64_t, ShardId>> requests;
  for (const auto& [shard, entry] : allocation.entries) {
    requests.emplace_back(entry.requested[dimension], shard);
  }
  std::sort(requests.begin(), requests.end());
  int64_t remaining = allocation.cap[dimension];
  int64_t claimants = static_cast<int64_t>(requests.size());
  for (const auto& [request, shard] : requests) {
    const int64_t share = std::min(request, remaining / claimants);
    (*shares)[shard][dimension] = share;
    remaining -= share;
    --claimants;
  }
}

// Returns the part of the cap that is not allocated to any shard.
int64_t FreeAmount(const SliceAllocation& allocation, size_t dimension) {
  int64_t free = allocation.cap[dimension];
  for (const auto& [shard, entry] : allocation.entries) {
    free -= entry.allocated[dimension];
  }
  return std::max<int64_t>(free, 0);
}

// Lowers the entry to its target, but not below what may be in use. Does nothing if that is
// unknown.
void ReleaseExcess(const OwnedShardState& state, const SliceVector& target, SliceEntry* entry) {
  if (state.in_use_known) {
    entry->allocated = Min(entry->allocated, Max(target, Max(state.in_use, state.limit)));
  }
}

// Raises the shard's entry towards its target as far as the unallocated part of the cap allows.
void ClaimFreeAmounts(SliceAllocation* allocation, const ShardId& shard,
                      const SliceVector& target) {
  for (size_t dimension = 0; dimension < kSliceDimensionCount; ++dimension) {
    const int64_t free = FreeAmount(*allocation, dimension);
    int64_t& held = allocation->entries[shard].allocated[dimension];
    held += std::clamp<int64_t>(target[dimension] - held, 0, free);
  }
}

}  // namespace

std::map<ShardId, SliceVector> DivideCap(const SliceAllocation& allocation) {
  std::map<ShardId, SliceVector> shares;
  for (size_t dimension = 0; dimension < kSliceDimensionCount; ++dimension) {
    DivideDimension(allocation, dimension, &shares);
  }
  return shares;
}

SlicePlan PlanSlices(const SliceAllocation& allocation, Revision contract_revision,
                     const SliceVector& cap,
                     const std::map<ShardId, OwnedShardState>& owned_shards) {
  SlicePlan plan;
  plan.next = allocation;
  if (contract_revision > allocation.contract_revision && cap != allocation.cap) {
    plan.next.contract_revision = contract_revision;
    plan.next.cap = cap;
  }
  for (const auto& [shard, state] : owned_shards) {
    SliceEntry& entry = plan.next.entries[shard];
    entry.term = state.term;
    entry.requested = state.requested;
  }
  const std::map<ShardId, SliceVector> shares = DivideCap(plan.next);
  for (const auto& [shard, state] : owned_shards) {
    plan.targets[shard] = shares.at(shard);
    ReleaseExcess(state, shares.at(shard), &plan.next.entries[shard]);
  }
  for (const auto& [shard, state] : owned_shards) {
    ClaimFreeAmounts(&plan.next, shard, shares.at(shard));
  }
  return plan;
}

}  // namespace pomelotray
