#include "scheduler/worker_index.h"

#include <algorithm>

#include "absl/numeric/bits.h"

namespace pomelotray {
namespace {

// Numbers amounts by octave and half octave, so that two amounts in one bucket differ by less than
// 50%.
int Bucket(int64_t amount) {
  if (amount <= 0) {
    return 0;
  }
  const int octave = static_cast<int>(absl::bit_width(static_cast<uint64_t>(amount)));
  const int64_t half = octave >= 2 ? (amount >> (octave - 2)) & 1 : 0;
  return 2 * octave + static_cast<int>(half);
}

}  // namespace

WorkerIndex::CellKey WorkerIndex::KeyOf(const Resources& free) {
  return {std::max<int64_t>(free.accelerators.value(), 0), Bucket(free.cpu.value()),
          Bucket(free.memory.value())};
}

void WorkerIndex::AddToCell(WorkerSlot slot) {
  const Worker& worker = workers_[slot];
  if (!worker.Usable()) {
    return;
  }
  usable_capacity_ += worker.capacity;
  std::vector<WorkerSlot>& cell = cells_[KeyOf(worker.Free())];
  position_in_cell_[slot] = cell.size();
  cell.push_back(slot);
}

void WorkerIndex::RemoveFromCell(WorkerSlot slot) {
  const Worker& worker = workers_[slot];
  if (!worker.Usable()) {
    return;
  }
  usable_capacity_ -= worker.capacity;
  const auto it = cells_.find(KeyOf(worker.Free()));
  std::vector<WorkerSlot>& cell = it->second;
  const WorkerSlot moved = cell.back();
  cell[position_in_cell_[slot]] = moved;
  position_in_cell_[moved] = position_in_cell_[slot];
  cell.pop_back();
  if (cell.empty()) {
    cells_.erase(it);
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
    position_in_cell_.push_back(0);
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
  RemoveFromCell(slot);
  Worker& entry = workers_[slot];
  entry.rack = worker.rack;
  entry.capacity = worker.capacity;
  entry.known = true;
  AddToCell(slot);
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
  RemoveFromCell(slot);
  workers_[slot].available = available;
  AddToCell(slot);
}

void WorkerIndex::Remove(WorkerSlot slot) {
  RemoveFromCell(slot);
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
  RemoveFromCell(slot);
  workers_[slot].reserved += demand;
  ++workers_[slot].reservations;
  AddToCell(slot);
}

void WorkerIndex::Release(WorkerSlot slot, const Resources& demand) {
  RemoveFromCell(slot);
  workers_[slot].reserved -= demand;
  --workers_[slot].reservations;
  AddToCell(slot);
  VacateIfUnused(slot);
}

bool WorkerIndex::VisitCell(const std::vector<WorkerSlot>& cell, const Resources& demand,
                            size_t probes, absl::FunctionRef<bool(WorkerSlot)> visit) const {
  size_t left = std::min(probes, cell.size());
  for (size_t i = cell.size(); left > 0; --left) {
    const WorkerSlot slot = cell[--i];
    if (demand.FitsInto(workers_[slot].Free()) && !visit(slot)) {
      return false;
    }
  }
  return true;
}

void WorkerIndex::VisitFitting(const Resources& demand, size_t probes_per_cell,
                               absl::FunctionRef<bool(WorkerSlot)> visit) const {
  const auto [accelerators, cpu, memory] = KeyOf(demand);
  auto it = cells_.lower_bound(CellKey(accelerators, cpu, 0));
  while (it != cells_.end()) {
    const auto [cell_accelerators, cell_cpu, cell_memory] = it->first;
    if (cell_cpu < cpu) {
      // The rest of this accelerator level up to the wanted cpu cannot hold the demand.
      it = cells_.lower_bound(CellKey(cell_accelerators, cpu, 0));
      continue;
    }
    if (cell_memory >= memory && !VisitCell(it->second, demand, probes_per_cell, visit)) {
      return;
    }
    ++it;
  }
}

}  // namespace pomelotray
