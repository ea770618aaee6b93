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

// Indexes the workers of one shard and their reserved resources. Usable workers are grouped into
// buckets by equal free accelerators and similar free CPU and memory, so that a search visits only
// the non-empty buckets that may have room for a demand instead of all workers.
class WorkerIndex {
 public:
  struct Worker {
    WorkerId id;
    RackId rack;
    Resources capacity;
    Resources reserved;
    int64_t reservations = 0;
    // False for workers that were removed, or never passed to Upsert(), but still have
    // reservations.
    bool known = false;
    bool available = true;

    Resources Free() const { return capacity - reserved; }
    bool Usable() const { return known && available; }
  };

  // Adds a worker, or updates its rack and capacity.
  WorkerSlot Upsert(const SchedulableWorker& worker);
  // Returns the slot of the worker. A new worker gets a slot without capacity and is not usable.
  WorkerSlot FindOrAdd(const WorkerId& worker);
  std::optional<WorkerSlot> Find(const WorkerId& worker) const;
  void SetAvailable(WorkerSlot slot, bool available);
  // Makes the worker unusable; its slot becomes vacant once it has no reservations.
  void Remove(WorkerSlot slot);

  void Reserve(WorkerSlot slot, const Resources& demand);
  void Release(WorkerSlot slot, const Resources& demand);

  // Slots are numbered from 0 to slot_count() - 1. Vacant slots are included and are not Usable().
  size_t slot_count() const { return workers_.size(); }
  const Worker& At(WorkerSlot slot) const { return workers_[slot]; }
  // The total capacity of the usable workers.
  const Resources& usable_capacity() const { return usable_capacity_; }

  // Calls `visit` for usable workers with room for `demand` until it returns false. Buckets are
  // visited in order of increasing free accelerators, then free CPU, then free memory. At most
  // `probes_per_bucket` workers of each bucket are examined.
  void VisitFitting(const Resources& demand, size_t probes_per_bucket,
                    absl::FunctionRef<bool(WorkerSlot)> visit) const;

 private:
  // Free accelerators, size class of the free CPU, size class of the free memory.
  using BucketKey = std::tuple<int64_t, int, int>;

  static BucketKey KeyOf(const Resources& free);
  void AddToBucket(WorkerSlot slot);
  void RemoveFromBucket(WorkerSlot slot);
  void VacateIfUnused(WorkerSlot slot);
  // Returns false when `visit` did.
  bool VisitBucket(const std::vector<WorkerSlot>& bucket, const Resources& demand, size_t probes,
                   absl::FunctionRef<bool(WorkerSlot)> visit) const;

  std::vector<Worker> workers_;
  std::vector<size_t> position_in_bucket_;
  std::vector<WorkerSlot> vacant_;
  absl::flat_hash_map<WorkerId, WorkerSlot> slots_;
  absl::btree_map<BucketKey, std::vector<WorkerSlot>> buckets_;
  Resources usable_capacity_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_WORKER_INDEX_H_
