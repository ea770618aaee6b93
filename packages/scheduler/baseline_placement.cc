#include "scheduler/baseline_placement.h"

#include "scheduler/worker_index.h"

namespace pomelotray {
namespace {

bool CanPlace(const WorkerIndex& index, const PlacementQuery& query, WorkerSlot slot) {
  const WorkerIndex::Worker& worker = index.At(slot);
  return worker.Usable() && query.demand.FitsInto(worker.Free()) && query.allowed(slot);
}

std::optional<WorkerSlot> FirstFittingFrom(const WorkerIndex& index, const PlacementQuery& query,
                                           size_t start) {
  for (size_t i = 0; i < index.slot_count(); ++i) {
    const WorkerSlot slot = static_cast<WorkerSlot>((start + i) % index.slot_count());
    if (CanPlace(index, query, slot)) {
      return slot;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<WorkerSlot> RandomPlacement::Choose(const WorkerIndex& index,
                                                  const PlacementQuery& query) {
  if (index.slot_count() == 0) {
    return std::nullopt;
  }
  std::uniform_int_distribution<size_t> any(0, index.slot_count() - 1);
  return FirstFittingFrom(index, query, any(generator_));
}

std::optional<WorkerSlot> FirstFitPlacement::Choose(const WorkerIndex& index,
                                                    const PlacementQuery& query) {
  return FirstFittingFrom(index, query, 0);
}

std::optional<WorkerSlot> LeastLoadedPlacement::Choose(const WorkerIndex& index,
                                                       const PlacementQuery& query) {
  std::optional<WorkerSlot> best;
  double best_share = 0;
  for (WorkerSlot slot = 0; slot < index.slot_count(); ++slot) {
    if (!CanPlace(index, query, slot)) {
      continue;
    }
    const WorkerIndex::Worker& worker = index.At(slot);
    const double share = DominantShare(worker.reserved, worker.capacity);
    if (!best.has_value() || share < best_share) {
      best = slot;
      best_share = share;
    }
  }
  return best;
}

std::unique_ptr<PlacementPolicy> MakeRandomPolicy(uint64_t seed) {
  return std::make_unique<RandomPlacement>(seed);
}
std::unique_ptr<PlacementPolicy> MakeFirstFitPolicy() {
  return std::make_unique<FirstFitPlacement>();
}
std::unique_ptr<PlacementPolicy> MakeLeastLoadedPolicy() {
  return std::make_unique<LeastLoadedPlacement>();
}

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(std::string_view name, uint64_t seed) {
  if (name == "packing") {
    return MakePackingPolicy();
  }
  if (name == "random") {
    return MakeRandomPolicy(seed);
  }
  if (name == "first-fit") {
    return MakeFirstFitPolicy();
  }
  return name == "least-loaded" ? MakeLeastLoadedPolicy() : nullptr;
}

}  // namespace pomelotray
