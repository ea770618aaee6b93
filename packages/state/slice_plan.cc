#include "state/slice_plan.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pomelotray {
namespace {

// Gives every shard the smaller of its wish and an equal share of what is left, smallest wish
// first.
void DivideAmount(const SliceBook& book, size_t amount, std::map<ShardId, SliceVector>* shares) {
  std::vector<std::pair<int64_t, ShardId>> wishes;
  for (const auto& [shard, entry] : book.entries) {
    wishes.emplace_back(entry.wanted[amount], shard);
  }
  std::sort(wishes.begin(), wishes.end());
  int64_t remaining = book.cap[amount];
  int64_t claimants = static_cast<int64_t>(wishes.size());
  for (const auto& [wish, shard] : wishes) {
    const int64_t share = std::min(wish, remaining / claimants);
    (*shares)[shard][amount] = share;
    remaining -= share;
    --claimants;
  }
}

int64_t FreeAmount(const SliceBook& book, size_t amount) {
  int64_t free = book.cap[amount];
  for (const auto& [shard, entry] : book.entries) {
    free -= entry.amount[amount];
  }
  return std::max<int64_t>(free, 0);
}

void GiveBack(const ShardStanding& standing, const SliceVector& target, SliceEntry* entry) {
  if (standing.in_use_known) {
    entry->amount = Min(entry->amount, Max(target, Max(standing.in_use, standing.limit)));
  }
}

void TakeFree(SliceBook* book, const ShardId& shard, const SliceVector& target) {
  for (size_t amount = 0; amount < kSliceAmounts; ++amount) {
    const int64_t free = FreeAmount(*book, amount);
    int64_t& held = book->entries[shard].amount[amount];
    held += std::clamp<int64_t>(target[amount] - held, 0, free);
  }
}

}  // namespace

std::map<ShardId, SliceVector> DivideCap(const SliceBook& book) {
  std::map<ShardId, SliceVector> shares;
  for (size_t amount = 0; amount < kSliceAmounts; ++amount) {
    DivideAmount(book, amount, &shares);
  }
  return shares;
}

SlicePlan PlanSlices(const SliceBook& book, Revision contract_revision, const SliceVector& cap,
                     const std::map<ShardId, ShardStanding>& mine) {
  SlicePlan plan;
  plan.next = book;
  if (contract_revision > book.contract_revision && cap != book.cap) {
    plan.next.contract_revision = contract_revision;
    plan.next.cap = cap;
  }
  for (const auto& [shard, standing] : mine) {
    SliceEntry& entry = plan.next.entries[shard];
    entry.term = standing.term;
    entry.wanted = standing.wanted;
  }
  const std::map<ShardId, SliceVector> shares = DivideCap(plan.next);
  for (const auto& [shard, standing] : mine) {
    plan.targets[shard] = shares.at(shard);
    GiveBack(standing, shares.at(shard), &plan.next.entries[shard]);
  }
  for (const auto& [shard, standing] : mine) {
    TakeFree(&plan.next, shard, shares.at(shard));
  }
  return plan;
}

}  // namespace pomelotray
