#include "state/slice_manager.h"

#include <algorithm>
#include <set>

#include "state/compare_and_swap.h"
#include "state/nonce.h"

namespace pomelotray {
namespace {

constexpr char kKeyPrefix[] = "slices/";
// Maximum duration of a watch call. It bounds the time for which Stop() waits and the delay before
// new demand is negotiated.
constexpr absl::Duration kWatchWait = absl::Milliseconds(500);
// Minimum time between rounds. It limits the rate of watch calls when other instances write often.
constexpr absl::Duration kRoundInterval = absl::Milliseconds(250);
constexpr absl::Duration kRetryInterval = absl::Seconds(1);
// A key has only a few concurrent writers; more attempts would only use up the write budget.
constexpr int kMaxWriteAttempts = 3;

std::string StoreKey(const CustomerId& customer) { return kKeyPrefix + customer.value(); }

bool IsHomeShard(const Contract& contract, const ShardId& shard) {
  return contract.pools.count(shard.pool) > 0 &&
         std::find(contract.home_domains.begin(), contract.home_domains.end(), shard.domain) !=
             contract.home_domains.end();
}

int64_t HomeShardCount(const Contract& contract) {
  return static_cast<int64_t>(contract.pools.size() * contract.home_domains.size());
}

bool AnyElementLower(const SliceVector& a, const SliceVector& b) {
  return !std::equal(a.begin(), a.end(), b.begin(), [](int64_t x, int64_t y) { return x >= y; });
}

}  // namespace

SliceManager::SliceManager(const StateContext& context, ContractSource contracts)
    : context_(context), contracts_(std::move(contracts)) {}

SliceManager::~SliceManager() { Stop(); }

void SliceManager::Start() {
  thread_ = std::thread([this] { Run(); });
}

void SliceManager::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    wake_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void SliceManager::SetOwnedShards(const std::map<ShardId, int64_t>& terms) {
  absl::MutexLock lock(&mutex_);
  for (const auto& [shard, term] : terms) {
    const auto known = owned_terms_.find(shard);
    if (known == owned_terms_.end() || known->second != term) {
      owned_since_[shard] = context_.clock->Now();
    }
  }
  for (auto it = slices_.begin(); it != slices_.end();) {
    const ShardId& shard = it->first.second;
    const auto before = owned_terms_.find(shard);
    const auto now = terms.find(shard);
    const bool kept =
        now != terms.end() && before != owned_terms_.end() && now->second == before->second;
    it = kept ? std::next(it) : slices_.erase(it);
  }
  owned_terms_ = terms;
}

SliceLimits SliceManager::Limit(const CustomerId& customer, const ShardId& shard) const {
  absl::MutexLock lock(&mutex_);
  const auto found = slices_.find(Key(customer, shard));
  return found != slices_.end() ? ToLimits(found->second.limit) : SliceLimits{};
}

void SliceManager::ReportDemand(const CustomerId& customer, const ShardId& shard,
                                const SliceDemand& in_use, const SliceDemand& wanted) {
  absl::MutexLock lock(&mutex_);
  if (owned_terms_.count(shard) > 0) {
    GetOrCreateSlice(customer, shard).demand.Report(in_use, wanted);
  }
}

SliceManager::Slice& SliceManager::GetOrCreateSlice(const CustomerId& customer,
                                                    const ShardId& shard) {
  return slices_.try_emplace(Key(customer, shard), owned_since_[shard]).first->second;
}

void SliceManager::Run() {
  while (true) {
    const absl::Time round_start = context_.clock->Now();
    const bool succeeded = NegotiateOnce(kWatchWait);
    absl::MutexLock lock(&mutex_);
    const absl::Time next =
        succeeded ? round_start + kRoundInterval : context_.clock->Now() + kRetryInterval;
    while (!stopping_ && context_.clock->Now() < next) {
      context_.clock->WaitUntil(&wake_, &mutex_, next);
    }
    if (stopping_) {
      return;
    }
  }
}

bool SliceManager::NegotiateOnce(absl::Duration watch_wait) {
  const Outcome<void> read = Capture([&] { return ReadChanges(watch_wait); });
  if (!read.ok()) {
    return false;
  }
  std::vector<Contract> contracts = contracts_();
  ClearLimitsOfUnknownCustomers(contracts);
  std::sort(contracts.begin(), contracts.end(),
            [](const Contract& a, const Contract& b) { return a.customer < b.customer; });
  const auto first = std::find_if(
      contracts.begin(), contracts.end(),
      [this](const Contract& contract) { return !(contract.customer < first_customer_); });
  std::rotate(contracts.begin(), first, contracts.end());
  for (const Contract& contract : contracts) {
    const Outcome<void> outcome = Capture([&] { return Negotiate(contract); });
    if (!outcome.ok()) {
      first_customer_ = contract.customer;
      return false;
    }
  }
  return true;
}

Result<void> SliceManager::ReadChanges(absl::Duration wait) {
  BOOST_LEAF_AUTO(batch, context_.store->Watch(kKeyPrefix, watched_revision_, wait));
  for (const StoreEntry& entry : batch.changed) {
    UpdateAllocation(CustomerId(entry.key.substr(sizeof(kKeyPrefix) - 1)), entry.revision,
                     entry.value);
  }
  watched_revision_ = std::max(watched_revision_, batch.next);
  return {};
}

void SliceManager::UpdateAllocation(const CustomerId& customer, Revision revision,
                                    const std::string& value) {
  VersionedAllocation& known = allocations_[customer];
  if (revision <= known.revision) {
    return;
  }
  const Outcome<SliceAllocation> allocation = Capture([&] { return DecodeSliceAllocation(value); });
  if (!allocation.ok()) {
    Revision& reported = unreadable_[customer];
    if (revision <= reported) {
      return;
    }
    reported = revision;
    context_.events->Record(EventCode::kInvalidInputRefused)
        .Customer(customer)
        .With(event_field::kReason, allocation.error().message)
        .Emit();
    return;
  }
  known = VersionedAllocation{revision, allocation.value()};
  unreadable_.erase(customer);
}

Result<void> SliceManager::RereadAllocation(const CustomerId& customer) {
  BOOST_LEAF_AUTO(entry, context_.store->Get(StoreKey(customer)));
  if (entry.has_value()) {
    UpdateAllocation(customer, entry->revision, entry->value);
  }
  return {};
}

std::map<ShardId, OwnedShardState> SliceManager::OwnedShardStates(const Contract& contract,
                                                                  const SliceAllocation& allocation,
                                                                  const SliceVector& cap) {
  const absl::Time now = context_.clock->Now();
  std::map<ShardId, OwnedShardState> states;
  for (const auto& [shard, term] : owned_terms_) {
    const auto found = allocation.entries.find(shard);
    const SliceEntry entry = found != allocation.entries.end() ? found->second : SliceEntry{};
    const bool used = found != allocation.entries.end() || IsHomeShard(contract, shard) ||
                      slices_.count(Key(contract.customer, shard)) > 0;
    if (!used || entry.term > term) {
      continue;
    }
    Slice& slice = GetOrCreateSlice(contract.customer, shard);
    const SliceVector requested =
        slice.demand.RequestedAmounts(cap, entry.requested, HomeShardCount(contract), now);
    states[shard] = OwnedShardState{term, requested, slice.demand.InUse(), slice.limit,
                                    slice.demand.InUseKnown(now)};
  }
  return states;
}

Result<void> SliceManager::Negotiate(const Contract& contract) {
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    if (unreadable_.count(contract.customer) > 0) {
      // The slices of other shards are not known, so nothing may be written. The limits stay.
      return {};
    }
    const VersionedAllocation known = allocations_[contract.customer];
    const bool newer = contract.revision > known.allocation.contract_revision;
    const SliceVector cap = newer ? CapFromContract(contract) : known.allocation.cap;
    SlicePlan plan;
    {
      absl::MutexLock lock(&mutex_);
      plan = PlanSlices(known.allocation, contract.revision, cap,
                        OwnedShardStates(contract, known.allocation, cap));
      SetLimits(contract.customer, known, plan);
      if (plan.targets.empty() || plan.next == known.allocation) {
        return {};
      }
      LowerLimits(contract.customer, plan);
    }
    const Outcome<CompareAndSwapResult> swap = Capture([&] {
      return CompareAndSwapWithReadBack(context_, StoreKey(contract.customer), known.revision,
                                        EncodeSliceAllocation(plan.next, MakeNonceText()));
    });
    if (!swap.ok()) {
      if (swap.error().kind == ErrorKind::kOutcomeUnknown) {
        SetCeilings(contract.customer, plan, known.revision);
      }
      return Fail(swap.error());
    }
    if (swap.value().state == CompareAndSwapResult::State::kWritten) {
      allocations_[contract.customer] = VersionedAllocation{swap.value().revision, plan.next};
      context_.events->Record(EventCode::kSliceChanged)
          .Customer(contract.customer)
          .With(event_field::kRevision, swap.value().revision.value())
          .Emit();
      absl::MutexLock lock(&mutex_);
      SetLimits(contract.customer, allocations_[contract.customer], plan);
      return {};
    }
    BOOST_LEAF_CHECK(RereadAllocation(contract.customer));
  }
  return {};
}

void SliceManager::SetLimits(const CustomerId& customer, const VersionedAllocation& written,
                             const SlicePlan& plan) {
  for (const auto& [shard, term] : owned_terms_) {
    const auto slice = slices_.find(Key(customer, shard));
    if (slice == slices_.end()) {
      continue;
    }
    const auto entry = written.allocation.entries.find(shard);
    const auto target = plan.targets.find(shard);
    SliceVector limit = {};
    if (entry != written.allocation.entries.end() && entry->second.term == term &&
        target != plan.targets.end()) {
      limit = Min(entry->second.allocated, target->second);
    }
    std::optional<SliceVector>& ceiling = slice->second.ceiling;
    // Once the key has another revision, the write with the unknown outcome has either been applied
    // or will be rejected.
    if (ceiling.has_value() && slice->second.ceiling_revision != written.revision) {
      ceiling.reset();
    }
    if (ceiling.has_value()) {
      limit = Min(limit, *ceiling);
    }
    if (AnyElementLower(limit, slice->second.limit)) {
      slice->second.demand.OnLimitLowered(context_.clock->Now());
    }
    slice->second.limit = limit;
  }
}

void SliceManager::LowerLimits(const CustomerId& customer, const SlicePlan& plan) {
  for (const auto& [shard, target] : plan.targets) {
    Slice& slice = GetOrCreateSlice(customer, shard);
    slice.limit = Min(slice.limit, plan.next.entries.at(shard).allocated);
  }
}

void SliceManager::SetCeilings(const CustomerId& customer, const SlicePlan& plan,
                               Revision revision) {
  absl::MutexLock lock(&mutex_);
  for (const auto& [shard, target] : plan.targets) {
    const auto slice = slices_.find(Key(customer, shard));
    if (slice != slices_.end()) {
      slice->second.ceiling = slice->second.limit;
      slice->second.ceiling_revision = revision;
    }
  }
}

void SliceManager::ClearLimitsOfUnknownCustomers(const std::vector<Contract>& contracts) {
  std::set<CustomerId> known;
  for (const Contract& contract : contracts) {
    known.insert(contract.customer);
  }
  absl::MutexLock lock(&mutex_);
  for (auto& [key, slice] : slices_) {
    if (known.count(key.first) == 0) {
      slice.limit = {};
    }
  }
}

}  // namespace pomelotray
