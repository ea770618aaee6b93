#include "standins/store_state.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"

namespace pomelotray {

std::optional<StoreEntry> StoreState::Get(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  ExpireLeases();
  const auto it = records_.find(key);
  if (it == records_.end()) {
    return std::nullopt;
  }
  return StoreEntry{key, it->second.value, Revision(it->second.revision)};
}

std::vector<StoreEntry> StoreState::List(const std::string& prefix) {
  absl::MutexLock lock(&mutex_);
  ExpireLeases();
  std::vector<StoreEntry> entries;
  for (auto it = records_.lower_bound(prefix);
       it != records_.end() && absl::StartsWith(it->first, prefix); ++it) {
    entries.push_back(StoreEntry{it->first, it->second.value, Revision(it->second.revision)});
  }
  return entries;
}

StoreStatus StoreState::CompareAndSwap(const std::string& key, Revision expected,
                                       const std::string& value, const std::string& lease,
                                       Revision* revision) {
  absl::MutexLock lock(&mutex_);
  ExpireLeases();
  if (value.size() > kMaxStoreValueBytes) {
    return StoreStatus::kTooLarge;
  }
  const auto holder = leases_.find(lease);
  if (!lease.empty() && holder == leases_.end()) {
    return StoreStatus::kNoLease;
  }
  const auto it = records_.find(key);
  if (expected.value() != (it == records_.end() ? 0 : it->second.revision)) {
    return StoreStatus::kConflict;
  }
  if (it != records_.end()) {
    Detach(key, it->second);
  }
  RecordChange(key);
  records_[key] = Record{value, revision_, lease};
  if (!lease.empty()) {
    holder->second.keys.insert(key);
  }
  *revision = Revision(revision_);
  return StoreStatus::kOk;
}

StoreStatus StoreState::Delete(const std::string& key, Revision expected) {
  absl::MutexLock lock(&mutex_);
  ExpireLeases();
  const auto it = records_.find(key);
  if (it == records_.end() || it->second.revision != expected.value()) {
    return StoreStatus::kConflict;
  }
  Erase(key);
  return StoreStatus::kOk;
}

WatchBatch StoreState::Watch(const std::string& prefix, Revision after, absl::Duration wait) {
  const absl::Time deadline = clock_->Now() + wait;
  absl::MutexLock lock(&mutex_);
  while (true) {
    ExpireLeases();
    WatchBatch batch = Changes(prefix, after.value());
    if (!batch.changed.empty() || !batch.deleted.empty() || shutdown_ ||
        clock_->Now() >= deadline) {
      return batch;
    }
    clock_->WaitUntil(&changed_, &mutex_, std::min(deadline, NextExpiry()));
  }
}

std::string StoreState::GrantLease(absl::Duration ttl) {
  absl::MutexLock lock(&mutex_);
  ExpireLeases();
  std::string id = "lease-" + std::to_string(next_lease_++);
  leases_[id] = Lease{ttl, clock_->Now() + ttl, {}};
  // Wake the waiting watches, so that they include the new lease in their wake-up time.
  changed_.SignalAll();
  return id;
}

StoreStatus StoreState::KeepAlive(const std::string& lease) {
  absl::MutexLock lock(&mutex_);
  ExpireLeases();
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return StoreStatus::kNoLease;
  }
  it->second.expires = clock_->Now() + it->second.ttl;
  return StoreStatus::kOk;
}

StoreStatus StoreState::RevokeLease(const std::string& lease) {
  absl::MutexLock lock(&mutex_);
  ExpireLeases();
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return StoreStatus::kNoLease;
  }
  DropLease(it);
  return StoreStatus::kOk;
}

void StoreState::Shutdown() {
  absl::MutexLock lock(&mutex_);
  shutdown_ = true;
  changed_.SignalAll();
}

void StoreState::ExpireLeases() {
  const absl::Time now = clock_->Now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    const auto lease = it++;
    if (lease->second.expires <= now) {
      DropLease(lease);
    }
  }
}

void StoreState::DropLease(std::map<std::string, Lease>::iterator lease) {
  const std::set<std::string> keys = std::move(lease->second.keys);
  leases_.erase(lease);
  for (const std::string& key : keys) {
    Erase(key);
  }
}

void StoreState::Detach(const std::string& key, const Record& record) {
  const auto lease = leases_.find(record.lease);
  if (lease != leases_.end()) {
    lease->second.keys.erase(key);
  }
}

void StoreState::Erase(const std::string& key) {
  const auto it = records_.find(key);
  Detach(key, it->second);
  records_.erase(it);
  RecordChange(key);
}

void StoreState::RecordChange(const std::string& key) {
  ++revision_;
  const auto last = last_change_.find(key);
  if (last != last_change_.end()) {
    changes_.erase(last->second);
  }
  last_change_[key] = revision_;
  changes_[revision_] = key;
  changed_.SignalAll();
}

WatchBatch StoreState::Changes(const std::string& prefix, int64_t after) {
  WatchBatch batch;
  batch.next = Revision(std::max(after, revision_));
  for (auto it = changes_.upper_bound(after); it != changes_.end(); ++it) {
    if (!absl::StartsWith(it->second, prefix)) {
      continue;
    }
    const auto record = records_.find(it->second);
    if (record == records_.end()) {
      batch.deleted.push_back(it->second);
    } else {
      batch.changed.push_back(
          StoreEntry{it->second, record->second.value, Revision(record->second.revision)});
    }
  }
  return batch;
}

absl::Time StoreState::NextExpiry() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [id, lease] : leases_) {
    next = std::min(next, lease.expires);
  }
  return next;
}

}  // namespace pomelotray
