#include "scheduler/packing_policy.h"

#include <limits>
#include <tuple>

#include "scheduler/packing_score.h"
#include "scheduler/worker_index.h"

namespace pomelotray {
namespace {

// Limits the candidates compared per placement. More candidates take longer and improve packing
// little.
constexpr int kMaxCandidates = 24;
constexpr size_t kProbesPerBucket = 8;
constexpr size_t kAllProbes = std::numeric_limits<size_t>::max();

}  // namespace

struct PackingPolicy::BestCandidate {
  std::optional<WorkerSlot> slot;
  // Number of tasks of the job in the rack, number on the worker, and packing score. The counts are
  // 0 unless the job is a service. Compared lexicographically; lower is better.
  std::tuple<int64_t, int64_t, double> rank;
  int candidates = 0;
};

void PackingPolicy::Evaluate(const WorkerIndex& index, const PlacementQuery& query, WorkerSlot slot,
                             BestCandidate* best) const {
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

PackingPolicy::BestCandidate PackingPolicy::FindBest(const WorkerIndex& index,
                                                     const PlacementQuery& query,
                                                     bool exhaustive) const {
  BestCandidate best;
  index.VisitFitting(query.demand, exhaustive ? kAllProbes : kProbesPerBucket,
                     [&](WorkerSlot slot) {
                       Evaluate(index, query, slot, &best);
                       return exhaustive || best.candidates < kMaxCandidates;
                     });
  return best;
}

std::optional<WorkerSlot> PackingPolicy::Choose(const WorkerIndex& index,
                                                const PlacementQuery& query) {
  const BestCandidate best = FindBest(index, query, /*exhaustive=*/false);
  const bool spread_enough = query.kind != JobKind::kService || std::get<0>(best.rank) == 0;
  if (best.slot.has_value() && spread_enough) {
    return best.slot;
  }
  return FindBest(index, query, /*exhaustive=*/true).slot;
}

std::unique_ptr<PlacementPolicy> MakePackingPolicy() { return std::make_unique<PackingPolicy>(); }

}  // namespace pomelotray
