#include "shard/worker_table.h"

#include <algorithm>

namespace pomelotray {

std::string WorkerTableEntry::StateName() const {
  if (leaving || drained) {
    return "leaving";
  }
  if (!fenced) {
    return "unfenced";
  }
  return reachable ? "usable" : "unreachable";
}

std::vector<VmEntry> WorkerTable::Update(const std::vector<VmEntry>& vms, absl::Time now) {
  list_read_ = true;
  std::set<WorkerId> listed;
  std::vector<VmEntry> added;
  for (const VmEntry& vm : vms) {
    listed.insert(vm.id);
    WorkerTableEntry& entry = entries_[vm.id];
    if (entry.vm.address.empty()) {
      added.push_back(vm);
    }
    entry.vm = vm;
    entry.leaving = entry.leaving || vm.leaving;
    entry.absent_since.reset();
  }
  for (auto& [id, entry] : entries_) {
    if (listed.count(id) == 0 && !entry.absent_since.has_value()) {
      entry.absent_since = now;
    }
  }
  return added;
}

void WorkerTable::AddFromJournal(const WorkerId& worker, absl::Time now) {
  WorkerTableEntry& entry = entries_[worker];
  if (entry.vm.address.empty()) {
    entry.vm.id = worker;
    entry.absent_since = now;
  }
}

void WorkerTable::RecordFenced(const WorkerId& worker, const WorkerInventory& inventory) {
  WorkerTableEntry* const entry = Find(worker);
  if (entry == nullptr) {
    return;
  }
  if (entry->boot != inventory.boot) {
    entry->leaving = entry->vm.leaving;
  }
  entry->fenced = true;
  entry->boot = inventory.boot;
  RecordAnswer(worker, inventory);
}

void WorkerTable::RecordAnswer(const WorkerId& worker, const WorkerInventory& inventory) {
  WorkerTableEntry* const entry = Find(worker);
  if (entry != nullptr) {
    entry->reachable = true;
    entry->refused_start = false;
    entry->leaving = entry->leaving || inventory.leaving;
  }
}

void WorkerTable::RecordStartRejected(const WorkerId& worker) {
  WorkerTableEntry* const entry = Find(worker);
  if (entry != nullptr) {
    entry->refused_start = true;
  }
}

void WorkerTable::RecordUnreachable(const WorkerId& worker) {
  WorkerTableEntry* const entry = Find(worker);
  if (entry != nullptr) {
    entry->reachable = false;
  }
}

void WorkerTable::SetDrained(const std::set<VmId>& drained) {
  for (auto& [id, entry] : entries_) {
    entry.drained = drained.count(id) > 0;
  }
}

WorkerTableEntry* WorkerTable::Find(const WorkerId& worker) {
  const auto it = entries_.find(worker);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<WorkerId> WorkerTable::RemoveMissing(absl::Time now) {
  std::vector<WorkerId> gone;
  for (const auto& [id, entry] : entries_) {
    if (!entry.reachable && entry.absent_since.has_value() &&
        now - *entry.absent_since > absence_grace_) {
      gone.push_back(id);
    }
  }
  for (const WorkerId& worker : gone) {
    entries_.erase(worker);
  }
  return gone;
}

bool WorkerTable::AllFenced() const { return list_read_ && !FirstUnfenced().has_value(); }

std::optional<WorkerId> WorkerTable::FirstUnfenced() const {
  for (const auto& [id, entry] : entries_) {
    if (!entry.fenced) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace pomelotray
