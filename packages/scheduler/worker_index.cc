#include "scheduler/worker_index.h"

#include <algorithm>

#include "absl/numeric/bits.h"

namespace pomelotray {
namespace {

// Returns the size class of an amount: two classes per power of two, so that two amounts of the
// same class differ by less than 50%.
int SizeClass(int64_t amount) {
  if (amount <= 0) {
    return 0;
  }
  const int octave = static_cast<int>(absl::bit_width(static_cast<uint64_t>(amount)));
  const int64_t half = octave >= 2 ? (amount >> (octave - 2)) & 1 : 0;
  return 2 * octave + static_cast<int>(half);
}

}  // namespace

WorkerIndex::BucketKey WorkerIndex::KeyOf(const Resources& free) {
  return {std::max<int64_t>(free.accelerators.value(), 0), SizeClass(free.cpu.value()),
          SizeClass(free.memory.value())};
}

void WorkerIndex::AddToBucket(WorkerSlot slot) {
  const Worker& worker = workers_[slot];
  if (!worker.Usable()) {
    return;
  }
  usable_capacity_ += worker.capacity;
  std::vector<WorkerSlot>& bucket = buckets_[KeyOf(worker.Free())];
  position_in_bucket_[slot] = bucket.size();
  bucket.push_back(slot);
}

void WorkerIndex::RemoveFromBucket(WorkerSlot slot) {
  const Worker& worker = workers_[slot];
  if (!worker.Usable()) {
    return;
  }
  usable_capacity_ -= worker.capacity;
  const auto it = buckets_.find(KeyOf(worker.Free()));
  std::vector<WorkerSlot>& bucket = it->second;
  const WorkerSlot moved = bucket.back();
  bucket[position_in_bucket_[slot]] = moved;
  position_in_bucket_[moved] = position_in_bucket_[slot];
  bucket.pop_back();
  if (bucket.empty()) {
    buckets_.erase(it);
  }
}

WorkerSlot WorkerIndex::FindOrAdd(const WorkerId& worker) {
  const auto it = slots_.find(worker);
  if (it != slots_.end()) {
    return it->second;
  }
  WorkerSlot slot = static_cast<WorkerSlot>(workers_.size());
  if (vacant_.empty()) {
    workers_.emplace_back();
    position_in_bucket_.push_back(0);
  } else {
    slot = vacant_.back();
    vacant_.pop_back();
  }
  workers_[slot] = Worker();
  workers_[slot].id = worker;
  slots_.emplace(worker, slot);
  return slot;
}

WorkerSlot WorkerIndex::Upsert(const SchedulableWorker& worker) {
  const WorkerSlot slot = FindOrAdd(worker.id);
  RemoveFromBucket(slot);
  Worker& entry = workers_[slot];
  entry.rack = worker.rack;
  entry.capacity = worker.capacity;
  entry.known = true;
  AddToBucket(slot);
  return slot;
}

std::optional<WorkerSlot> WorkerIndex::Find(const WorkerId& worker) const {
  const auto it = slots_.find(worker);
  if (it == slots_.end()) {
    return std::nullopt;
  }
  return it->second;
}

void WorkerIndex::SetAvailable(WorkerSlot slot, bool available) {
  RemoveFromBucket(slot);
  workers_[slot].available = available;
  AddToBucket(slot);
}

void WorkerIndex::Remove(WorkerSlot slot) {
  RemoveFromBucket(slot);
  workers_[slot].known = false;
  workers_[slot].available = true;
  VacateIfUnused(slot);
}

void WorkerIndex::VacateIfUnused(WorkerSlot slot) {
  const Worker& worker = workers_[slot];
  if (worker.known || worker.reservations > 0) {
    return;
  }
  slots_.erase(worker.id);
  vacant_.push_back(slot);
}

void WorkerIndex::Reserve(WorkerSlot slot, const Resources& demand) {
  RemoveFromBucket(slot);
  workers_[slot].reserved += demand;
  ++workers_[slot].reservations;
  AddToBucket(slot);
}

void WorkerIndex::Release(WorkerSlot slot, const Resources& demand) {
  RemoveFromBucket(slot);
  workers_[slot].reserved -= demand;
  --workers_[slot].reservations;
  AddToBucket(slot);
  VacateIfUnused(slot);
}

bool WorkerIndex::VisitBucket(const std::vector<WorkerSlot>& bucket, const Resources& demand,
                              size_t probes, absl::FunctionRef<bool(WorkerSlot)> visit) const {
  size_t left = std::min(probes, bucket.size());
  for (size_t i = bucket.size(); left > 0; --left) {
    const WorkerSlot slot = bucket[--i];
    if (demand.FitsInto(workers_[slot].Free()) && !visit(slot)) {
      return false;
    }
  }
  return true;
}

void WorkerIndex::VisitFitting(const Resources& demand, size_t probes_per_bucket,
                               absl::FunctionRef<bool(WorkerSlot)> visit) const {
  const auto [accelerators, cpu, memory] = KeyOf(demand);
  auto it = buckets_.lower_bound(BucketKey(accelerators, cpu, 0));
  while (it != buckets_.end()) {
    const auto [bucket_accelerators, bucket_cpu, bucket_memory] = it->first;
    if (bucket_cpu < cpu) {
      // Buckets with this number of accelerators and less CPU than demanded are skipped.
      it = buckets_.lower_bound(BucketKey(bucket_accelerators, cpu, 0));
      continue;
    }
    if (bucket_memory >= memory && !VisitBucket(it->second, demand, probes_per_bucket, visit)) {
      return;
    }
    ++it;
  }
}

}  // namespace pomelotray
