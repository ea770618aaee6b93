#include "shard/worker_roster.h"

#include <algorithm>

namespace pomelotray {

std::string RosterEntry::StateName() const {
  if (leaving || drained) {
    return "leaving";
  }
  if (!fenced) {
    return "unfenced";
  }
  return reachable ? "usable" : "unreachable";
}

std::vector<VmEntry> WorkerRoster::Update(const std::vector<VmEntry>& vms, absl::Time now) {
  list_read_ = true;
  std::set<WorkerId> listed;
  std::vector<VmEntry> added;
  for (const VmEntry& vm : vms) {
    listed.insert(vm.id);
    RosterEntry& entry = entries_[vm.id];
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

void WorkerRoster::AddFromJournal(const WorkerId& worker, absl::Time now) {
  RosterEntry& entry = entries_[worker];
  if (entry.vm.address.empty()) {
    entry.vm.id = worker;
    entry.absent_since = now;
  }
}

void WorkerRoster::NoteFenced(const WorkerId& worker, const WorkerInventory& inventory) {
  RosterEntry* const entry = Find(worker);
  if (entry == nullptr) {
    return;
  }
  if (entry->boot != inventory.boot) {
    entry->leaving = entry->vm.leaving;
  }
  entry->fenced = true;
  entry->boot = inventory.boot;
  NoteAnswer(worker, inventory);
}

void WorkerRoster::NoteAnswer(const WorkerId& worker, const WorkerInventory& inventory) {
  RosterEntry* const entry = Find(worker);
  if (entry != nullptr) {
    entry->reachable = true;
    entry->refused_start = false;
    entry->leaving = entry->leaving || inventory.leaving;
  }
}

void WorkerRoster::NoteRefusal(const WorkerId& worker) {
  RosterEntry* const entry = Find(worker);
  if (entry != nullptr) {
    entry->refused_start = true;
  }
}

void WorkerRoster::NoteUnreachable(const WorkerId& worker) {
  RosterEntry* const entry = Find(worker);
  if (entry != nullptr) {
    entry->reachable = false;
  }
}

void WorkerRoster::SetDrained(const std::set<VmId>& drained) {
  for (auto& [id, entry] : entries_) {
    entry.drained = drained.count(id) > 0;
  }
}

RosterEntry* WorkerRoster::Find(const WorkerId& worker) {
  const auto it = entries_.find(worker);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<WorkerId> WorkerRoster::RemoveGone(absl::Time now) {
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

bool WorkerRoster::AllFenced() const { return list_read_ && !FirstUnfenced().has_value(); }

std::optional<WorkerId> WorkerRoster::FirstUnfenced() const {
  for (const auto& [id, entry] : entries_) {
    if (!entry.fenced) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace pomelotray
