#ifndef POMELOTRAY_SCHEDULER_WORKER_INDEX_H_
#define POMELOTRAY_SCHEDULER_WORKER_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "scheduler/placement_policy.h"
#include "scheduler/schedule_types.h"

namespace pomelotray {

// The workers of one shard with their reserved resources. Available workers are kept in cells of
// equal free accelerators and similar free cpu and memory, so that a search visits the few
// occupied cells that can hold a demand instead of all workers.
class WorkerIndex {
 public:
  struct Worker {
    WorkerId id;
    RackId rack;
    Resources capacity;
    Resources reserved;
    int64_t reservations = 0;
    // False for workers that were removed, or never announced, but still have reservations.
    bool known = false;
    bool available = true;

    Resources Free() const { return capacity - reserved; }
    bool Usable() const { return known && available; }
  };

  WorkerSlot Upsert(const SchedulableWorker& worker);
  // The worker's slot; a worker that is not known gets one without capacity.
  WorkerSlot FindOrAdd(const WorkerId& worker);
  std::optional<WorkerSlot> Find(const WorkerId& worker) const;
  void SetAvailable(WorkerSlot slot, bool available);
  void Remove(WorkerSlot slot);

  void Reserve(WorkerSlot slot, const Resources& demand);
  void Release(WorkerSlot slot, const Resources& demand);

  // Slots are numbered from 0 to slot_count() - 1; some may be vacant, which are not Usable().
  size_t slot_count() const { return workers_.size(); }
  const Worker& At(WorkerSlot slot) const { return workers_[slot]; }
  // Sum over usable workers.
  const Resources& usable_capacity() const { return usable_capacity_; }

  // Calls `visit` for usable workers with room for `demand`, fewest free accelerators first and
  // least free cpu next, until it returns false. Looks at no more than `probes_per_cell` workers
  // of a cell.
  void VisitFitting(const Resources& demand, size_t probes_per_cell,
                    absl::FunctionRef<bool(WorkerSlot)> visit) const;

 private:
  // Free accelerators, cpu bucket, memory bucket.
  using CellKey = std::tuple<int64_t, int, int>;

  static CellKey KeyOf(const Resources& free);
  void AddToCell(WorkerSlot slot);
  void RemoveFromCell(WorkerSlot slot);
  void VacateIfUnused(WorkerSlot slot);
  bool VisitCell(const std::vector<WorkerSlot>& cell, const Resources& demand, size_t probes,
                 absl::FunctionRef<bool(WorkerSlot)> visit) const;

  std::vector<Worker> workers_;
  std::vector<size_t> position_in_cell_;
  std::vector<WorkerSlot> vacant_;
  absl::flat_hash_map<WorkerId, WorkerSlot> slots_;
  absl::btree_map<CellKey, std::vector<WorkerSlot>> cells_;
  Resources usable_capacity_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_WORKER_INDEX_H_
