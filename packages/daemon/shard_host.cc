#include "daemon/shard_host.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "daemon/rendezvous.h"
#include "shard/slice_limits_source.h"
#include "state/journal.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kRoundInterval = absl::Milliseconds(500);
constexpr absl::Duration kVmRefreshInterval = absl::Seconds(1);
constexpr absl::Duration kDrainRefreshInterval = absl::Seconds(2);
// Interval at which claims are read while every shard has a live owner. If a shard has no live
// owner, claims are read sooner.
constexpr absl::Duration kClaimRefreshInterval = absl::Seconds(5);
// A candidate for a shard without an owner waits this long for each candidate ranked before it.
constexpr absl::Duration kClaimDelayPerRank = absl::Seconds(2);
// Shards of another failure domain are not claimed for this time after the start, because the
// domain may have instances that this one does not know yet.
constexpr absl::Duration kOrphanDomainDelay = absl::Seconds(10);
// Local takeovers are allowed once the store has been unavailable for this long.
constexpr absl::Duration kOutageThreshold = absl::Seconds(4);
// No shard is claimed for this time after an outage of the store, so that all instances can renew
// their leases first. Earlier claims would move every shard.
constexpr absl::Duration kLeaseRenewalGrace = absl::Seconds(4);
constexpr absl::Duration kHandOverInterval = absl::Seconds(15);
constexpr char kDrainPrefix[] = "drains/";

}  // namespace

ShardHost::ShardHost(const ShardHostContext& context, const ShardHostOptions& options)
    : context_(context), options_(options) {}

ShardHost::~ShardHost() { Stop(); }

void ShardHost::Start() {
  start_time_ = context_.clock->Now();
  next_hand_over_ = start_time_ + kHandOverInterval;
  thread_ = std::thread(&ShardHost::Run, this);
}

void ShardHost::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  for (const auto& [shard, hosted] : Snapshot()) {
    StopShard(shard, /*hand_over=*/true);
  }
}

std::shared_ptr<ShardOwner> ShardHost::OwnerOf(const ShardId& shard) const {
  absl::MutexLock lock(&mutex_);
  const auto it = hosted_shards_.find(shard);
  return it != hosted_shards_.end() && it->second->owner_started ? it->second->owner : nullptr;
}

std::shared_ptr<RequestRunner> ShardHost::RunnerOf(const ShardId& shard) const {
  absl::MutexLock lock(&mutex_);
  const auto it = hosted_shards_.find(shard);
  return it != hosted_shards_.end() ? it->second->runner : nullptr;
}

std::vector<ShardId> ShardHost::OwnedShards() const {
  std::vector<ShardId> shards;
  absl::MutexLock lock(&mutex_);
  for (const auto& [shard, hosted] : hosted_shards_) {
    shards.push_back(shard);
  }
  return shards;
}

std::vector<std::shared_ptr<ShardOwner>> ShardHost::Owners() const {
  std::vector<std::shared_ptr<ShardOwner>> owners;
  absl::MutexLock lock(&mutex_);
  for (const auto& [shard, hosted] : hosted_shards_) {
    if (hosted->owner_started) {
      owners.push_back(hosted->owner);
    }
  }
  return owners;
}

std::vector<std::shared_ptr<RequestRunner>> ShardHost::Runners() const {
  std::vector<std::shared_ptr<RequestRunner>> runners;
  absl::MutexLock lock(&mutex_);
  for (const auto& [shard, hosted] : hosted_shards_) {
    if (hosted->runner != nullptr) {
      runners.push_back(hosted->runner);
    }
  }
  return runners;
}

Result<void> ShardHost::Drain(const VmId& vm) {
  const std::string key = absl::StrCat(kDrainPrefix, vm.value());
  const Outcome<Revision> written =
      Capture([&] { return context_.store->CompareAndSwap(key, Revision(0), "{}"); });
  if (written.ok() || written.error().kind == ErrorKind::kConflict) {
    return {};
  }
  return Fail(written.error());
}

void ShardHost::Run() {
  while (true) {
    RunRound();
    absl::MutexLock lock(&mutex_);
    const absl::Time deadline = context_.clock->Now() + kRoundInterval;
    while (!stopping_ && !context_.clock->WaitUntil(&changed_, &mutex_, deadline)) {
    }
    if (stopping_) {
      return;
    }
  }
}

void ShardHost::RunRound() {
  const absl::Time now = context_.clock->Now();
  const bool available = context_.store->Available();
  if (available) {
    store_unavailable_since_ = absl::InfiniteFuture();
    store_available_since_ = std::min(store_available_since_, now);
  } else {
    store_unavailable_since_ = std::min(store_unavailable_since_, now);
    store_available_since_ = absl::InfiniteFuture();
  }
  if (now >= next_vm_refresh_) {
    next_vm_refresh_ = now + kVmRefreshInterval;
    RefreshVms();
  }
  if (now >= next_drain_refresh_ && available) {
    next_drain_refresh_ = now + kDrainRefreshInterval;
    RefreshDrains();
  }
  if (now >= next_claim_refresh_) {
    next_claim_refresh_ = now + kClaimRefreshInterval;
    RefreshClaims();
  }
  StopDeposedShards();
  if (now >= start_time_ + options_.settle_time) {
    if (available && now >= store_available_since_ + kLeaseRenewalGrace) {
      ClaimShards();
      HandOverSurplusShard();
    } else if (now >= store_unavailable_since_ + kOutageThreshold) {
      TakeOverLocally();
    }
  }
  UpdateShards();
}

void ShardHost::RefreshVms() {
  const Outcome<std::vector<VmEntry>> list = Capture([this] { return context_.vm_list->List(); });
  if (!list.ok()) {
    return;
  }
  context_.directory->SetVms(list.value());
  std::vector<VmEntry> entry_vms;
  for (const VmEntry& vm : list.value()) {
    if (vm.role == VmRole::kEntry) {
      entry_vms.push_back(vm);
    }
  }
  context_.membership->SetSeeds(entry_vms);
}

void ShardHost::RefreshClaims() {
  const Outcome<std::vector<ShardClaim>> claims =
      Capture([this] { return context_.claims->List(options_.domain); });
  if (claims.ok()) {
    context_.directory->MergeClaims(claims.value());
  }
}

void ShardHost::RefreshDrains() {
  const Outcome<std::vector<StoreEntry>> drains =
      Capture([this] { return context_.store->List(kDrainPrefix); });
  if (!drains.ok()) {
    return;
  }
  for (const StoreEntry& entry : drains.value()) {
    drained_.insert(VmId(entry.key.substr(sizeof(kDrainPrefix) - 1)));
  }
}

void ShardHost::StopDeposedShards() {
  for (const auto& [shard, hosted] : Snapshot()) {
    const std::optional<ShardClaim> claim = context_.directory->ClaimOf(shard);
    const bool superseded = claim.has_value() && claim->term > hosted->epoch.term;
    const bool fenced = (hosted->owner != nullptr && hosted->owner->deposed()) ||
                        (hosted->runner != nullptr && hosted->runner->deposed()) ||
                        (hosted->renewer != nullptr && hosted->renewer->deposed());
    if (superseded || fenced) {
      context_.events->Record(EventCode::kShardDeposed).Shard(shard).At(hosted->epoch).Emit();
      StopShard(shard, /*hand_over=*/false);
      next_claim_refresh_ = context_.clock->Now();
    }
  }
}

void ShardHost::ClaimShards() {
  const absl::Time now = context_.clock->Now();
  const std::map<ShardId, std::shared_ptr<HostedShard>> hosted = Snapshot();
  for (const ShardId& shard : context_.directory->Shards()) {
    const auto own = hosted.find(shard);
    const bool owned = own != hosted.end() && own->second->claim.has_value();
    const std::optional<ShardClaim> claim = context_.directory->ClaimOf(shard);
    if (owned || !IsClaimAllowed(shard) || (claim.has_value() && OwnerIsLive(*claim))) {
      ownerless_since_.erase(shard);
      continue;
    }
    const absl::Time since = ownerless_since_.emplace(shard, now).first->second;
    next_claim_refresh_ = std::min(next_claim_refresh_, now + kVmRefreshInterval);
    const std::vector<InstanceId> candidates = Candidates(shard);
    const auto rank = std::find(candidates.begin(), candidates.end(), options_.self);
    if (rank != candidates.end() &&
        now - since >= kClaimDelayPerRank * static_cast<double>(rank - candidates.begin())) {
      TryClaim(shard);
    }
  }
}

void ShardHost::TryClaim(const ShardId& shard) {
  const Outcome<ShardClaim> claim = Capture([&] { return context_.claims->TryClaim(shard); });
  if (!claim.ok()) {
    // Another instance claimed the shard first, or the lease of the former owner has not expired.
    next_claim_refresh_ = context_.clock->Now();
    return;
  }
  StopShard(shard, /*hand_over=*/false);
  context_.directory->MergeClaims({claim.value()});
  std::shared_ptr<HostedShard> hosted = MakeHostedShard(shard, Epoch{claim.value().term, 0});
  hosted->claim = claim.value();
  {
    absl::MutexLock lock(&mutex_);
    hosted_shards_[shard] = hosted;
  }
  PublishOwnedShards();
  UpdateShard(shard, hosted.get());
}

void ShardHost::TakeOverLocally() {
  for (const ShardId& shard : context_.directory->Shards()) {
    const std::optional<ShardClaim> claim = context_.directory->ClaimOf(shard);
    if (shard.domain != options_.domain || !claim.has_value() || OwnerIsLive(*claim) ||
        Snapshot().count(shard) > 0) {
      continue;
    }
    const std::vector<InstanceId> candidates = Candidates(shard);
    if (candidates.empty() || candidates.front() != options_.self) {
      continue;
    }
    // The current time serves as the round of the epoch, so that a later takeover in the same term
    // has a higher epoch than all earlier ones.
    const Epoch epoch{claim->term, absl::ToUnixSeconds(context_.clock->Now())};
    context_.events->Record(EventCode::kLocalTakeover).Shard(shard).At(epoch).Emit();
    std::shared_ptr<HostedShard> hosted = MakeHostedShard(shard, epoch);
    absl::MutexLock lock(&mutex_);
    hosted_shards_[shard] = hosted;
  }
}

void ShardHost::HandOverSurplusShard() {
  const absl::Time now = context_.clock->Now();
  const std::vector<ShardId> owned = OwnedShards();
  if (now < next_hand_over_ || owned.empty()) {
    return;
  }
  next_hand_over_ = now + kHandOverInterval;
  for (const Member& member : context_.membership->LiveInDomain(options_.domain)) {
    if (member.id != options_.self && member.owned_shards.size() + 1 < owned.size()) {
      StopShard(owned.front(), /*hand_over=*/true);
      // Restarts the claim delay of this instance, so that an instance that owns fewer shards
      // claims the shard first.
      ownerless_since_[owned.front()] = now;
      return;
    }
  }
}

std::vector<InstanceId> ShardHost::Candidates(const ShardId& shard) const {
  std::vector<std::tuple<size_t, uint64_t, InstanceId>> ranked;
  std::vector<Member> members = context_.membership->LiveInDomain(shard.domain);
  if (shard.domain != options_.domain) {
    members = context_.membership->Members();
  }
  bool self_listed = false;
  for (const Member& member : members) {
    if (member.state != MemberState::kLive && member.id != options_.self) {
      continue;
    }
    self_listed = self_listed || member.id == options_.self;
    ranked.emplace_back(
        member.id == options_.self ? OwnedShards().size() : member.owned_shards.size(),
        RendezvousScore(shard.ToString(), member.id.value()), member.id);
  }
  if (!self_listed) {
    ranked.emplace_back(OwnedShards().size(),
                        RendezvousScore(shard.ToString(), options_.self.value()), options_.self);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<InstanceId> candidates;
  candidates.reserve(ranked.size());
  for (const auto& [owned, score, id] : ranked) {
    candidates.push_back(id);
  }
  return candidates;
}

bool ShardHost::OwnerIsLive(const ShardClaim& claim) const {
  if (claim.owner.empty() || claim.owner == options_.self) {
    return false;
  }
  const std::vector<Member> members = context_.membership->Members();
  return std::any_of(members.begin(), members.end(), [&claim](const Member& member) {
    return member.id == claim.owner &&
           (member.state == MemberState::kLive || member.state == MemberState::kLeaving);
  });
}

bool ShardHost::IsClaimAllowed(const ShardId& shard) const {
  if (shard.domain == options_.domain) {
    return true;
  }
  const std::vector<Member> members = context_.membership->Members();
  const bool domain_alive =
      std::any_of(members.begin(), members.end(), [&shard](const Member& member) {
        return member.domain == shard.domain && member.state != MemberState::kDead;
      });
  return !domain_alive && context_.clock->Now() - start_time_ > kOrphanDomainDelay;
}

std::shared_ptr<ShardHost::HostedShard> ShardHost::MakeHostedShard(const ShardId& shard,
                                                                   const Epoch& epoch) {
  std::shared_ptr<HostedShard> hosted = std::make_shared<HostedShard>();
  hosted->epoch = epoch;
  hosted->limits = std::make_shared<SliceLimitsSource>(shard, context_.contracts, context_.slices);
  return hosted;
}

void ShardHost::UpdateShards() {
  for (const auto& [shard, hosted] : Snapshot()) {
    UpdateShard(shard, hosted.get());
  }
}

void ShardHost::UpdateShard(const ShardId& shard, HostedShard* hosted) {
  std::vector<VmEntry> workers;
  std::vector<VmEntry> executors;
  for (const VmEntry& vm : context_.directory->UpstreamsOf(shard)) {
    (vm.role == VmRole::kWorker ? workers : executors).push_back(vm);
  }
  if (!executors.empty() && hosted->runner == nullptr) {
    const std::shared_ptr<RequestRunner> runner = std::make_shared<RequestRunner>(
        RequestRunnerContext{context_.clock, context_.events, context_.executors,
                             hosted->limits.get()},
        shard, hosted->epoch);
    absl::MutexLock lock(&mutex_);
    hosted->runner = runner;
  }
  if (hosted->runner != nullptr) {
    hosted->runner->UpdateExecutors(executors);
    hosted->runner->SetDrained(drained_);
  }
  if (!hosted->claim.has_value()) {
    if (!workers.empty() && hosted->renewer == nullptr) {
      WorkerLinkOptions options;
      options.owner = options_.self;
      options.epoch = hosted->epoch;
      options.task_lease = options_.task_lease;
      hosted->renewer = std::make_shared<LeaseRenewer>(context_.workers, context_.clock,
                                                       context_.events, options);
    }
    if (hosted->renewer != nullptr) {
      hosted->renewer->UpdateWorkers(workers);
    }
    return;
  }
  if (!workers.empty() && hosted->owner == nullptr) {
    ShardOwnerOptions options;
    options.shard = shard;
    options.self = options_.self;
    options.epoch = hosted->epoch;
    options.task_lease = options_.task_lease;
    options.job_retention = options_.job_retention;
    ShardOwnerContext context;
    context.clock = context_.clock;
    context.events = context_.events;
    context.workers = context_.workers;
    context.limits = hosted->limits.get();
    context.store_available = [this] { return context_.store->Available(); };
    context.claim_is_current = [this, shard, term = hosted->epoch.term] {
      const Outcome<std::optional<ShardClaim>> claim =
          Capture([&] { return context_.claims->Find(shard); });
      return claim.ok() && claim.value().has_value() && claim.value()->term == term &&
             claim.value()->owner == options_.self;
    };
    const StateContext state{context_.store, context_.clock, context_.events};
    hosted->owner = std::make_shared<ShardOwner>(
        context, options,
        std::make_unique<Journal>(state, shard, options_.self, hosted->epoch.term));
  }
  if (hosted->owner != nullptr && !hosted->owner_started &&
      Capture([&] { return hosted->owner->Start(); }).ok()) {
    absl::MutexLock lock(&mutex_);
    hosted->owner_started = true;
  }
  if (hosted->owner_started) {
    hosted->owner->UpdateWorkers(workers);
    hosted->owner->SetDrained(drained_);
  }
}

void ShardHost::StopShard(const ShardId& shard, bool hand_over) {
  std::shared_ptr<HostedShard> hosted;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = hosted_shards_.find(shard);
    if (it == hosted_shards_.end()) {
      return;
    }
    hosted = it->second;
    hosted_shards_.erase(it);
  }
  PublishOwnedShards();
  if (hosted->runner != nullptr) {
    hosted->runner->Stop();
  }
  if (hosted->owner != nullptr) {
    hosted->owner->Stop();
  }
  if (hosted->renewer != nullptr) {
    hosted->renewer->Stop();
  }
  if (hand_over && hosted->claim.has_value()) {
    (void)Capture([&] { return context_.claims->Release(*hosted->claim); });
    next_claim_refresh_ = context_.clock->Now() + kVmRefreshInterval;
  }
}

std::map<ShardId, std::shared_ptr<ShardHost::HostedShard>> ShardHost::Snapshot() const {
  absl::MutexLock lock(&mutex_);
  return hosted_shards_;
}

void ShardHost::PublishOwnedShards() {
  std::map<ShardId, int64_t> terms;
  for (const auto& [shard, hosted] : Snapshot()) {
    if (hosted->claim.has_value()) {
      terms[shard] = hosted->epoch.term;
    }
  }
  context_.slices->SetOwnedShards(terms);
}

}  // namespace pomelotray
