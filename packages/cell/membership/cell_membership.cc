#include "cell/membership/cell_membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/records/cell_keys.h"
#include "cell/store/store_failure.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// Time without a renewal after which other instances take over. It covers four renewal intervals
// and is longer than one renewal takes on a slow store.
constexpr absl::Duration kLeaseTtl = absl::Seconds(2);
// Task starts are refused this long before the lease expires, because a start that was allowed
// still has to be sent to the worker.
constexpr absl::Duration kLeaseSafetyMargin = absl::Milliseconds(100);
// How long the members' confirmation that the store is down stays valid. It is shorter than the
// time that a lease takes to expire after the store has recovered.
constexpr absl::Duration kOutageConfirmationValidity = absl::Seconds(1);
constexpr absl::Duration kRenewInterval = absl::Milliseconds(500);
// Interval between renewal attempts while the store is unavailable. Callers are refused until an
// attempt succeeds.
constexpr absl::Duration kOutageRetryInterval = absl::Milliseconds(200);
// A lease call that is unanswered for longer suggests that the store has stopped responding.
constexpr absl::Duration kMaxAnswerDelay = absl::Milliseconds(300);
// A renewal waits at most 0.8 s (the store client's limit), so store contacts are at most 1.3 s
// apart.
constexpr absl::Duration kMaxStoreContactAge = absl::Milliseconds(1600);
// All instances start within 0.3 s. After the settle time each instance knows the
// others.
constexpr absl::Duration kMembershipSettleTime = absl::Milliseconds(400);
// An owner that has had no member entry for this long starts no tasks any more, even if it has not
// noticed: its lease is over, and another registration would have been seen. Longer than kLeaseTtl
// and kMembershipSettleTime together.
constexpr absl::Duration kOwnerAbsence = absl::Milliseconds(2500);
// Each released claim has a condition, a removal and at most one other write.
constexpr size_t kReleaseBatch = kMaxTransactionEntries / 3;
// An instance to which a part is not assigned waits this long for the assigned one to claim it.
constexpr absl::Duration kFallbackClaimDelay = absl::Milliseconds(600);

}  // namespace

CellMembership::CellMembership(CellMember self, std::string incarnation, TransactionalStore* store,
                               const Clock* clock, EventLog* events, Callbacks callbacks)
    : self_(std::move(self)),
      incarnation_(std::move(incarnation)),
      store_(store),
      clock_(clock),
      events_(events),
      callbacks_(std::move(callbacks)),
      renewer_(store, clock),
      unreadable_(events),
      part_owner_report_(events) {}

CellMembership::~CellMembership() { Stop(); }

void CellMembership::Start() {
  control_watcher_ = std::make_unique<PrefixWatcher>(
      store_, cell_keys::kControlPrefix, clock_, events_,
      [this](const WatchBatch& batch, bool complete) { Apply(batch, complete); });
  control_watcher_->Start();
  lease_thread_ = std::thread([this] { RunLeaseLoop(); });
}

void CellMembership::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
    changed_.SignalAll();
  }
  Resign();
  renewer_.Stop();
  if (lease_thread_.joinable()) {
    lease_thread_.join();
  }
  if (control_watcher_ != nullptr) {
    control_watcher_->Stop();
  }
}

void CellMembership::Resign(std::map<PartName, StoreWrite> last_writes) {
  std::vector<StoreTransaction> releases;
  std::optional<StoreLeaseId> lease;
  {
    absl::MutexLock lock(&mutex_);
    if (resigned_) {
      return;
    }
    resigned_ = true;
    for (const auto& [part, claim] : claims_) {
      if (!IsOwnClaim(claim)) {
        continue;
      }
      if (releases.empty() || releases.back().removals.size() == kReleaseBatch) {
        releases.emplace_back();
      }
      StoreTransaction& release = releases.back();
      release.conditions.push_back(StoreCondition{cell_keys::Claim(part), claim.revision});
      release.removals.push_back(cell_keys::Claim(part));
      const auto last_write = last_writes.find(part);
      if (last_write != last_writes.end()) {
        release.writes.push_back(std::move(last_write->second));
      }
    }
    lease = lease_;
    lease_.reset();
  }
  for (const StoreTransaction& release : releases) {
    Release(release);
  }
  if (lease.has_value()) {
    // Also ends claims whose answers are outstanding.
    EndLease(*lease);
  }
}

void CellMembership::Release(const StoreTransaction& release) {
  const Outcome<Revision> released = Capture([&] { return store_->Commit(release); });
  for (const std::string& key : release.removals) {
    events_->Record(EventCode::kShardReleased)
        .With("claim", key)
        .With(event_field::kReason, released.ok() ? "stopping" : released.error().message)
        .Emit();
  }
}

void CellMembership::EndLease(const StoreLeaseId& lease) {
  // If this fails, the lease expires after its TTL.
  const Outcome<void> revoked = Capture([&] { return store_->RevokeLease(lease); });
  if (!revoked.ok()) {
    RecordStoreFailure(events_, "revocation of the instance lease", revoked.error());
  }
}

void CellMembership::SetPools(const std::vector<PoolName>& pools) {
  absl::MutexLock lock(&mutex_);
  pools_ = pools;
  changed_.SignalAll();
}

std::vector<PoolName> CellMembership::PoolsWithoutPartCount() const {
  absl::MutexLock lock(&mutex_);
  std::vector<PoolName> pools_without_count;
  for (const PoolName& pool : pools_) {
    if (view_complete_ && part_counts_.count(pool) == 0) {
      pools_without_count.push_back(pool);
    }
  }
  return pools_without_count;
}

std::optional<int> CellMembership::PartCount(const PoolName& pool) const {
  absl::MutexLock lock(&mutex_);
  const auto it = part_counts_.find(pool);
  if (it == part_counts_.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::vector<PartName> CellMembership::Parts() const {
  std::vector<PartName> parts;
  for (const PoolName& pool : pools_) {
    const auto count = part_counts_.find(pool);
    if (count == part_counts_.end()) {
      continue;
    }
    for (const PoolPart& part : PoolPart::All(pool, count->second)) {
      parts.push_back(part.Name());
    }
  }
  return parts;
}

std::vector<CellMember> CellMembership::members() const {
  absl::MutexLock lock(&mutex_);
  std::vector<CellMember> members;
  for (const auto& [id, member] : members_) {
    members.push_back(member);
  }
  return members;
}

std::optional<PartClaim> CellMembership::ClaimOf(const PartName& part) const {
  absl::MutexLock lock(&mutex_);
  const auto it = claims_.find(part);
  if (it == claims_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool CellMembership::ContactedStoreRecently() const {
  absl::MutexLock lock(&mutex_);
  return clock_->Now() - last_store_contact_ < kMaxStoreContactAge;
}

bool CellMembership::MayStartTasks() const {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_->Now();
  return !resigned_ && (now - renewed_at_ < kLeaseTtl - kLeaseSafetyMargin ||
                        now - outage_confirmed_at_ < kOutageConfirmationValidity);
}

bool CellMembership::IsStoreAvailable() const {
  absl::MutexLock lock(&mutex_);
  return store_available_;
}

bool CellMembership::IsStoreResponding() const {
  absl::MutexLock lock(&mutex_);
  return store_available_ && !(renewing_ && clock_->Now() - renewal_began_ > kMaxAnswerDelay);
}

void CellMembership::ReportStoreFailure() {
  absl::MutexLock lock(&mutex_);
  if (store_available_) {
    store_available_ = false;
    renew_now_ = true;
    changed_.SignalAll();
  }
}

void CellMembership::ReportFenced(const PartName& part) {
  {
    absl::MutexLock lock(&mutex_);
    const auto it = claims_.find(part);
    if (it != claims_.end() && IsOwnClaim(it->second)) {
      claims_.erase(it);
      unowned_since_[part] = clock_->Now();
    }
  }
  Reconcile();
}

bool CellMembership::IsOwnClaim(const PartClaim& claim) const {
  return claim.owner.id == self_.id && claim.incarnation == incarnation_;
}

void CellMembership::RunLeaseLoop() {
  for (;;) {
    RenewLeaseIfDue();
    ClaimEligibleParts();
    RecordPartOwners();
    absl::MutexLock lock(&mutex_);
    const absl::Time next = resigned_ ? absl::InfiniteFuture() : NextRenewal();
    // A change of the members or claims wakes the loop early so that free parts are claimed at
    // once. Renewals keep their interval.
    if (!stopping_) {
      clock_->WaitUntil(&changed_, &mutex_, next);
    }
    if (stopping_) {
      return;
    }
  }
}

absl::Time CellMembership::NextRenewal() const {
  return renewal_began_ + (store_available_ ? kRenewInterval : kOutageRetryInterval);
}

bool CellMembership::IsStopping() const {
  absl::MutexLock lock(&mutex_);
  return stopping_;
}

bool CellMembership::OwnsAnyPart() const {
  absl::MutexLock lock(&mutex_);
  return !owned_terms_.empty();
}

void CellMembership::RenewLeaseIfDue() {
  std::optional<StoreLeaseId> lease;
  {
    absl::MutexLock lock(&mutex_);
    const bool due = renew_now_ || clock_->Now() >= NextRenewal();
    if (resigned_ || (lease_.has_value() && !due)) {
      return;
    }
    renew_now_ = false;
    renewing_ = true;
    renewal_began_ = clock_->Now();
    lease = lease_;
  }
  absl::Time sent = clock_->Now();
  bool answered = false;
  if (!lease.has_value()) {
    answered = Register();
  } else {
    const InstanceLeaseRenewer::Renewal renewal = renewer_.Renew(*lease);
    const Outcome<void>& renewed = renewal.outcome;
    sent = renewal.sent;
    if (IsStopping()) {
      return;
    }
    answered = renewed.ok() || renewed.error().kind == ErrorKind::kNotFound;
    if (renewed.ok()) {
      RestoreMemberEntry(*lease);
    }
    if (!answered) {
      RecordStoreFailure(events_, "renewal of the instance lease", renewed.error());
    }
    if (!renewed.ok() && answered) {
      events_->Record(EventCode::kInstanceLeaseLost).With("lease", lease->value()).Emit();
      {
        absl::MutexLock lock(&mutex_);
        lease_.reset();
        for (auto it = claims_.begin(); it != claims_.end();) {
          it = IsOwnClaim(it->second) ? claims_.erase(it) : std::next(it);
        }
      }
      Reconcile();
      answered = Register();
    }
  }
  // Only owners need the answer. The query goes to every member, so the others skip it.
  const bool store_down_for_all =
      !answered && OwnsAnyPart() && callbacks_.store_down_for_all_members();
  absl::MutexLock lock(&mutex_);
  renewing_ = false;
  last_store_contact_ = clock_->Now();
  store_available_ = answered;
  if (answered) {
    // The answered call may have been sent before one that was answered earlier.
    renewed_at_ = std::max(renewed_at_, sent);
  } else if (store_down_for_all) {
    outage_confirmed_at_ = last_store_contact_;
  }
}

bool CellMembership::Register() {
  const Outcome<StoreLeaseId> lease = Capture([this] { return store_->GrantLease(kLeaseTtl); });
  if (!lease.ok()) {
    RecordStoreFailure(events_, "grant of the instance lease", lease.error());
    return false;
  }
  if (!WriteMemberEntry(lease.value())) {
    return false;
  }
  events_->Record(EventCode::kInstanceLeaseGranted).With("lease", lease.value().value()).Emit();
  if (!AdoptLease(lease.value())) {
    EndLease(lease.value());
  }
  return true;
}

bool CellMembership::AdoptLease(const StoreLeaseId& lease) {
  absl::MutexLock lock(&mutex_);
  if (resigned_) {
    return false;
  }
  lease_ = lease;
  registered_at_ = clock_->Now();
  return true;
}

bool CellMembership::WriteMemberEntry(const StoreLeaseId& lease) {
  const json value = {{"instance", self_.id.value()},
                      {"peer_address", self_.peer_address},
                      {"cpu_milli", self_.cpu_milli},
                      {"started_ms", absl::ToUnixMillis(self_.started)}};
  StoreTransaction transaction;
  transaction.writes.push_back(
      StoreWrite{cell_keys::Member(self_.id), value.dump(), EntryLifetime::BoundTo(lease)});
  const Outcome<Revision> written = Capture([&] { return store_->Commit(transaction); });
  if (!written.ok()) {
    RecordStoreFailure(events_, "registration of the instance", written.error());
  }
  return written.ok();
}

void CellMembership::RestoreMemberEntry(const StoreLeaseId& lease) {
  bool unreadable = false;
  {
    absl::MutexLock lock(&mutex_);
    const bool missing = view_complete_ && members_.count(self_.id) == 0 &&
                         clock_->Now() - registered_at_ > kMembershipSettleTime;
    unreadable = own_entry_unreadable_;
    if (resigned_ || !(missing || unreadable)) {
      return;
    }
    own_entry_unreadable_ = false;
  }
  if (!WriteMemberEntry(lease)) {
    absl::MutexLock lock(&mutex_);
    own_entry_unreadable_ = unreadable;
  }
}

bool CellMembership::IsClaimOfPreviousProcess(const PartName& part) const {
  // An earlier process with this instance id has ended, so its claim can be replaced at once.
  const auto claim = claims_.find(part);
  return claim != claims_.end() && claim->second.owner.id == self_.id && !IsOwnClaim(claim->second);
}

bool CellMembership::IsAbandoned(const PartName& part, absl::Time now) const {
  const auto claim = claims_.find(part);
  return claim != claims_.end() && !claim->second.leased &&
         now - ownerless_claims_.Since(part) > kOwnerAbsence;
}

bool CellMembership::MayClaim(const PartName& part, absl::Time now) {
  if (claims_.count(part) > 0 && !IsAbandoned(part, now)) {
    return false;
  }
  const absl::Time unowned = unowned_since_.emplace(part, now).first->second;
  std::vector<CellMember> members;
  for (const auto& [id, member] : members_) {
    members.push_back(member);
  }
  const std::map<PartName, InstanceId> assigned = AssignParts(Parts(), members);
  const auto assignment = assigned.find(part);
  return (assignment != assigned.end() && assignment->second == self_.id) ||
         now - unowned > kFallbackClaimDelay;
}

bool CellMembership::IsEligible(const PartName& part, absl::Time now) {
  if (resigned_ || !view_complete_ || !lease_.has_value() || !store_available_) {
    return false;
  }
  const bool settled = now - registered_at_ >= kMembershipSettleTime;
  return IsClaimOfPreviousProcess(part) || (settled && MayClaim(part, now));
}

std::vector<PartName> CellMembership::EligibleParts() {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_->Now();
  std::vector<PartName> eligible;
  for (const PartName& part : Parts()) {
    if (IsEligible(part, now)) {
      eligible.push_back(part);
    }
  }
  return eligible;
}

void CellMembership::ClaimEligibleParts() {
  for (const PartName& part : EligibleParts()) {
    // The claims before this one may have taken long enough for the lease or the part to be lost.
    std::optional<PreparedClaim> prepared = PrepareClaim(part);
    if (prepared.has_value()) {
      WriteClaim(std::move(*prepared));
    }
  }
}

std::optional<CellMembership::PreparedClaim> CellMembership::PrepareClaim(const PartName& part) {
  absl::MutexLock lock(&mutex_);
  if (!IsEligible(part, clock_->Now())) {
    return std::nullopt;
  }
  const auto stale = claims_.find(part);
  const auto unreadable = unreadable_claims_.find(part);
  Revision expected;
  if (stale != claims_.end()) {
    expected = stale->second.revision;
  } else if (unreadable != unreadable_claims_.end()) {
    expected = unreadable->second;
  }
  const TermEntry term = terms_[part];
  PreparedClaim prepared;
  prepared.claim = PartClaim{part, self_, incarnation_, term.term + 1, Revision(0)};
  const json value = {{"instance", self_.id.value()},
                      {"peer_address", self_.peer_address},
                      {"incarnation", incarnation_},
                      {"term", prepared.claim.term}};
  prepared.transaction.conditions = {StoreCondition{cell_keys::Claim(part), expected},
                                     StoreCondition{cell_keys::Term(part), term.revision}};
  prepared.transaction.writes = {
      StoreWrite{cell_keys::Claim(part), value.dump(), EntryLifetime::BoundTo(*lease_)},
      StoreWrite{cell_keys::Term(part), std::to_string(prepared.claim.term),
                 EntryLifetime::Permanent()}};
  return prepared;
}

void CellMembership::WriteClaim(PreparedClaim prepared) {
  PartClaim& claim = prepared.claim;
  // If no answer arrives, the watch still shows whether the claim was written.
  const Outcome<Revision> written = Capture([&] { return store_->Commit(prepared.transaction); });
  if (written.ok()) {
    {
      absl::MutexLock lock(&mutex_);
      claim.revision = written.value();
      claims_[claim.part] = claim;
      terms_[claim.part] = TermEntry{claim.term, written.value()};
      unreadable_claims_.erase(claim.part);
      unowned_since_.erase(claim.part);
    }
    Reconcile();
  } else if (written.error().kind != ErrorKind::kConflict) {
    // A conflict means that another instance has claimed the part, which is no failure.
    RecordStoreFailure(events_, "claim of part " + claim.part.value(), written.error());
  }
}

void CellMembership::RecordPartOwners() {
  std::vector<PartOwnership> ownerships;
  absl::Time now;
  {
    absl::MutexLock lock(&mutex_);
    now = clock_->Now();
    // Without the store, the claims and members that are known may be out of date.
    if (!view_complete_ || !store_available_) {
      return;
    }
    for (const PartName& part : Parts()) {
      PartOwnership ownership{part, ownerless_claims_.Since(part), InstanceId()};
      const auto claim = claims_.find(part);
      if (claim == claims_.end()) {
        ownership.unowned_since = unowned_since_.emplace(part, now).first->second;
      } else if (ownership.unowned_since < absl::InfiniteFuture()) {
        ownership.absent_owner = claim->second.owner.id;
      }
      ownerships.push_back(std::move(ownership));
    }
  }
  part_owner_report_.Record(ownerships, now);
}

void CellMembership::Reconcile() {
  absl::MutexLock reconcile(&reconcile_mutex_);
  std::vector<PartClaim> gained;
  std::vector<PartName> lost;
  {
    absl::MutexLock lock(&mutex_);
    for (auto it = owned_terms_.begin(); it != owned_terms_.end();) {
      const auto claim = claims_.find(it->first);
      const bool kept =
          claim != claims_.end() && IsOwnClaim(claim->second) && claim->second.term == it->second;
      if (kept) {
        ++it;
      } else {
        lost.push_back(it->first);
        it = owned_terms_.erase(it);
      }
    }
    for (const auto& [part, claim] : claims_) {
      if (IsOwnClaim(claim) && owned_terms_.count(part) == 0 && !resigned_) {
        owned_terms_[part] = claim.term;
        gained.push_back(claim);
      }
    }
  }
  for (const PartName& part : lost) {
    callbacks_.lost(part);
  }
  for (const PartClaim& claim : gained) {
    callbacks_.claimed(claim);
  }
}

}  // namespace pomelotray
