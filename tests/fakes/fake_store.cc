#include "tests/fakes/fake_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"

namespace pomelotray {
namespace {

boost::leaf::error_id StoreUnavailable() {
  return Fail(ErrorKind::kStoreUnavailable, "The store is down; try again later.");
}

boost::leaf::error_id OutcomeUnknown() {
  return Fail(ErrorKind::kOutcomeUnknown, "The store's answer was lost; read the key back.");
}

}  // namespace

FakeStore::FakeStore(const Clock* clock) : clock_(clock) {}

void FakeStore::SetDown(bool down) {
  absl::MutexLock lock(&mutex_);
  down_ = down;
  changed_.SignalAll();
}

void FakeStore::SetLatency(absl::Duration latency) {
  absl::MutexLock lock(&mutex_);
  latency_ = latency;
}

void FakeStore::SetHook(Hook hook) {
  absl::MutexLock lock(&mutex_);
  hook_ = std::move(hook);
}

void FakeStore::ExpireAllLeases() {
  absl::MutexLock lock(&mutex_);
  while (!leases_.empty()) {
    EndLease(leases_.begin()->first);
  }
}

int64_t FakeStore::Calls(const std::string& kind) const {
  absl::MutexLock lock(&mutex_);
  const auto found = calls_.find(kind);
  return found != calls_.end() ? found->second : 0;
}

int64_t FakeStore::AllCalls() const {
  absl::MutexLock lock(&mutex_);
  int64_t sum = 0;
  for (const auto& [kind, count] : calls_) {
    sum += count;
  }
  return sum;
}

int64_t FakeStore::WrittenBytes() const {
  absl::MutexLock lock(&mutex_);
  return written_bytes_;
}

std::optional<StoreEntry> FakeStore::Peek(const std::string& key) const {
  absl::MutexLock lock(&mutex_);
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return std::nullopt;
  }
  return StoreEntry{key, found->second.value, found->second.revision, found->second.lease};
}

Revision FakeStore::Put(const std::string& key, const std::string& value) {
  absl::MutexLock lock(&mutex_);
  const Revision revision = NextRevision();
  items_[key] = Item{value, revision, std::nullopt};
  deleted_.erase(key);
  return revision;
}

void FakeStore::Remove(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  Erase(key);
}

Result<StoreFault> FakeStore::BeginCall(const Call& call) {
  Hook hook;
  absl::Duration latency;
  {
    absl::MutexLock lock(&mutex_);
    ++calls_[call.kind];
    hook = hook_;
    latency = latency_;
  }
  const StoreFault fault = hook ? hook(call) : StoreFault::kNone;
  if (latency > absl::ZeroDuration()) {
    clock_->SleepFor(latency);
  }
  absl::MutexLock lock(&mutex_);
  if (down_ || fault == StoreFault::kDown) {
    return StoreUnavailable();
  }
  const bool is_late_commit = fault == StoreFault::kCarriedOutLate && call.kind == "commit";
  if (fault == StoreFault::kRequestLost || (fault == StoreFault::kAnswerLost && !call.write) ||
      (fault == StoreFault::kCarriedOutLate && !is_late_commit)) {
    if (call.write) {
      return OutcomeUnknown();
    }
    return StoreUnavailable();
  }
  ExpireLeases();
  return fault;
}

Revision FakeStore::NextRevision() {
  revision_ += Revision(1);
  changed_.SignalAll();
  return revision_;
}

void FakeStore::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    deleted_[key] = NextRevision();
  }
}

void FakeStore::ExpireLeases() {
  const absl::Time now = clock_->Now();
  std::vector<StoreLeaseId> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= now) {
      expired.push_back(id);
    }
  }
  for (const StoreLeaseId& id : expired) {
    EndLease(id);
  }
}

void FakeStore::EndLease(const StoreLeaseId& lease) {
  // Copied, because `lease` may refer to the map entry that is erased below.
  const StoreLeaseId ended = lease;  // NOLINT(performance-unnecessary-copy-initialization)
  leases_.erase(ended);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == ended) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
}

Result<std::optional<StoreEntry>> FakeStore::Get(const std::string& key) {
  BOOST_LEAF_CHECK(BeginCall(Call{"get", key, false}));
  return Peek(key);
}

Result<std::vector<StoreEntry>> FakeStore::List(const std::string& prefix) {
  BOOST_LEAF_CHECK(BeginCall(Call{"list", prefix, false}));
  absl::MutexLock lock(&mutex_);
  std::vector<StoreEntry> entries;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && absl::StartsWith(it->first, prefix); ++it) {
    entries.push_back(
        StoreEntry{it->first, it->second.value, it->second.revision, it->second.lease});
  }
  return entries;
}

Result<Revision> FakeStore::CompareAndSwap(const std::string& key, Revision expected,
                                           const std::string& value,
                                           const std::optional<StoreLeaseId>& lease) {
  BOOST_LEAF_AUTO(fault, BeginCall(Call{"swap", key, true}));
  absl::MutexLock lock(&mutex_);
  if (value.size() > kMaxStoreValueBytes) {
    return Fail(ErrorKind::kInvalidArgument, "The value is larger than the store accepts.");
  }
  if (lease.has_value() && leases_.count(*lease) == 0) {
    return Fail(ErrorKind::kNotFound,
                "The lease has expired or does not exist; request a new one.");
  }
  const auto found = items_.find(key);
  const Revision present = found != items_.end() ? found->second.revision : Revision(0);
  if (present != expected) {
    return Fail(ErrorKind::kConflict, "The key has a different revision; read it again.");
  }
  written_bytes_ += static_cast<int64_t>(value.size());
  const Revision revision = NextRevision();
  items_[key] = Item{value, revision, lease};
  deleted_.erase(key);
  if (fault == StoreFault::kAnswerLost) {
    return OutcomeUnknown();
  }
  return revision;
}

Result<void> FakeStore::Delete(const std::string& key, Revision expected) {
  BOOST_LEAF_AUTO(fault, BeginCall(Call{"delete", key, true}));
  absl::MutexLock lock(&mutex_);
  const auto found = items_.find(key);
  if (found == items_.end() || found->second.revision != expected) {
    return Fail(ErrorKind::kConflict, "The key has a different revision; read it again.");
  }
  Erase(key);
  if (fault == StoreFault::kAnswerLost) {
    return OutcomeUnknown();
  }
  return {};
}

Result<void> FakeStore::CheckConditions(const StoreTransaction& transaction) const {
  if (transaction.conditions.size() + transaction.writes.size() + transaction.removals.size() >
      kMaxTransactionEntries) {
    return Fail(ErrorKind::kInvalidArgument, "The transaction has too many entries; split it.");
  }
  for (const StoreCondition& condition : transaction.conditions) {
    const auto found = items_.find(condition.key);
    const Revision present = found != items_.end() ? found->second.revision : Revision(0);
    if (present != condition.revision) {
      return Fail(ErrorKind::kConflict, "The key has a different revision; read it again.");
    }
  }
  for (const StoreWrite& write : transaction.writes) {
    if (write.lifetime.lease().has_value() && leases_.count(*write.lifetime.lease()) == 0) {
      return Fail(ErrorKind::kNotFound,
                  "The lease has expired or does not exist; request a new one.");
    }
  }
  return {};
}

Result<Revision> FakeStore::Commit(const StoreTransaction& transaction) {
  const std::string key = !transaction.writes.empty()     ? transaction.writes.front().key
                          : !transaction.removals.empty() ? transaction.removals.front()
                                                          : "";
  BOOST_LEAF_AUTO(fault, BeginCall(Call{"commit", key, true}));
  absl::MutexLock lock(&mutex_);
  if (fault == StoreFault::kCarriedOutLate) {
    late_commits_.push_back(transaction);
    return OutcomeUnknown();
  }
  BOOST_LEAF_AUTO(revision, Apply(transaction));
  if (fault == StoreFault::kAnswerLost) {
    return OutcomeUnknown();
  }
  return revision;
}

int FakeStore::CarryOutLateCommits() {
  absl::MutexLock lock(&mutex_);
  int carried_out = 0;
  for (const StoreTransaction& transaction : late_commits_) {
    carried_out += Capture([&] { return Apply(transaction); }).ok() ? 1 : 0;
  }
  late_commits_.clear();
  return carried_out;
}

Result<Revision> FakeStore::Apply(const StoreTransaction& transaction) {
  BOOST_LEAF_CHECK(CheckConditions(transaction));
  const Revision revision = NextRevision();
  for (const StoreWrite& write : transaction.writes) {
    written_bytes_ += static_cast<int64_t>(write.value.size());
    items_[write.key] = Item{write.value, revision, write.lifetime.lease()};
    deleted_.erase(write.key);
  }
  for (const std::string& removed : transaction.removals) {
    if (items_.erase(removed) > 0) {
      deleted_[removed] = revision;
    }
  }
  return revision;
}

Result<StoreListing> FakeStore::ListAll(const std::string& prefix) {
  Revision as_of;
  {
    absl::MutexLock lock(&mutex_);
    as_of = revision_;
  }
  BOOST_LEAF_AUTO(entries, List(prefix));
  return StoreListing{std::move(entries), as_of};
}

WatchBatch FakeStore::ChangesSince(const std::string& prefix, Revision after) const {
  WatchBatch batch;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && absl::StartsWith(it->first, prefix); ++it) {
    if (it->second.revision > after) {
      batch.changed.push_back(
          StoreEntry{it->first, it->second.value, it->second.revision, it->second.lease});
    }
  }
  std::sort(batch.changed.begin(), batch.changed.end(),
            [](const StoreEntry& a, const StoreEntry& b) { return a.revision < b.revision; });
  for (const auto& [key, revision] : deleted_) {
    if (revision > after && absl::StartsWith(key, prefix)) {
      batch.deleted.push_back(key);
    }
  }
  batch.next = revision_;
  return batch;
}

Result<WatchBatch> FakeStore::Watch(const std::string& prefix, Revision after,
                                    absl::Duration wait) {
  BOOST_LEAF_CHECK(BeginCall(Call{"watch", prefix, false}));
  const absl::Time deadline = clock_->Now() + wait;
  absl::MutexLock lock(&mutex_);
  while (!down_) {
    ExpireLeases();
    WatchBatch batch = ChangesSince(prefix, after);
    if (!batch.changed.empty() || !batch.deleted.empty() || clock_->Now() >= deadline) {
      return batch;
    }
    clock_->WaitUntil(&changed_, &mutex_, deadline);
  }
  return StoreUnavailable();
}

Result<StoreLeaseId> FakeStore::GrantLease(absl::Duration ttl) {
  BOOST_LEAF_AUTO(fault, BeginCall(Call{"grant", "", true}));
  absl::MutexLock lock(&mutex_);
  StoreLeaseId id("lease-" + std::to_string(next_lease_++));
  leases_[id] = Lease{ttl, clock_->Now() + ttl};
  if (fault == StoreFault::kAnswerLost) {
    return OutcomeUnknown();
  }
  return id;
}

Result<void> FakeStore::KeepAlive(const StoreLeaseId& lease) {
  BOOST_LEAF_AUTO(fault, BeginCall(Call{"keepalive", lease.value(), true}));
  absl::MutexLock lock(&mutex_);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return Fail(ErrorKind::kNotFound,
                "The lease has expired or does not exist; request a new one.");
  }
  found->second.expires = clock_->Now() + found->second.ttl;
  if (fault == StoreFault::kAnswerLost) {
    return OutcomeUnknown();
  }
  return {};
}

Result<void> FakeStore::RevokeLease(const StoreLeaseId& lease) {
  BOOST_LEAF_AUTO(fault, BeginCall(Call{"revoke", lease.value(), true}));
  absl::MutexLock lock(&mutex_);
  EndLease(lease);
  if (fault == StoreFault::kAnswerLost) {
    return OutcomeUnknown();
  }
  return {};
}

}  // namespace pomelotray
