#include "scheduler/packing_policy.h"

#include <limits>
#include <tuple>

#include "scheduler/packing_score.h"
#include "scheduler/worker_index.h"

namespace pomelotray {
namespace {

// Candidates compared per decision; more of them improve packing little and cost time.
constexpr int kMaxCandidates = 24;
constexpr size_t kProbesPerCell = 8;
constexpr size_t kAllProbes = std::numeric_limits<size_t>::max();

}  // namespace

struct PackingPolicy::Best {
  std::optional<WorkerSlot> slot;
  // Tasks of the job in the rack, on the worker, packing score; lower is better.
  std::tuple<int64_t, int64_t, double> rank;
  int candidates = 0;
};

void PackingPolicy::Consider(const WorkerIndex& index, const PlacementQuery& query, WorkerSlot slot,
                             Best* best) const {
  if (!query.allowed(slot)) {
    return;
  }
  ++best->candidates;
  const WorkerIndex::Worker& worker = index.At(slot);
  const double score = PackingScore(worker.capacity, worker.Free(), query.demand);
  std::tuple<int64_t, int64_t, double> rank(0, 0, score);
  if (query.kind == JobKind::kService) {
    std::get<0>(rank) = query.tasks_in_rack(worker.rack);
    std::get<1>(rank) = query.tasks_on_worker(slot);
  }
  if (!best->slot.has_value() || rank < best->rank) {
    best->slot = slot;
    best->rank = rank;
  }
}

PackingPolicy::Best PackingPolicy::Search(const WorkerIndex& index, const PlacementQuery& query,
                                          bool exhaustive) const {
  Best best;
  index.VisitFitting(query.demand, exhaustive ? kAllProbes : kProbesPerCell, [&](WorkerSlot slot) {
    Consider(index, query, slot, &best);
    return exhaustive || best.candidates < kMaxCandidates;
  });
  return best;
}

std::optional<WorkerSlot> PackingPolicy::Choose(const WorkerIndex& index,
                                                const PlacementQuery& query) {
  const Best best = Search(index, query, /*exhaustive=*/false);
  const bool spread_enough = query.kind != JobKind::kService || std::get<0>(best.rank) == 0;
  if (best.slot.has_value() && spread_enough) {
    return best.slot;
  }
  return Search(index, query, /*exhaustive=*/true).slot;
}

std::unique_ptr<PlacementPolicy> MakePackingPolicy() { return std::make_unique<PackingPolicy>(); }

}  // namespace pomelotray
