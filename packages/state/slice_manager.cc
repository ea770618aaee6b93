#include "state/slice_manager.h"

#include <algorithm>
#include <set>

#include "state/nonce.h"
#include "state/swap.h"

namespace pomelotray {
namespace {

constexpr char kPrefix[] = "slices/";
// Stop() waits for a running watch at most this long; it is also the longest time until new demand
// is negotiated.
constexpr absl::Duration kWatchWait = absl::Milliseconds(500);
// Bounds the watches per second when other instances write often.
constexpr absl::Duration kRoundInterval = absl::Milliseconds(250);
constexpr absl::Duration kRetryInterval = absl::Seconds(1);
// Other writers of one key are few; more attempts would only spend the write budget.
constexpr int kAttempts = 3;

std::string KeyOf(const CustomerId& customer) { return kPrefix + customer.value(); }

bool IsHome(const Contract& contract, const ShardId& shard) {
  return contract.pools.count(shard.pool) > 0 &&
         std::find(contract.home_domains.begin(), contract.home_domains.end(), shard.domain) !=
             contract.home_domains.end();
}

int64_t HomeShards(const Contract& contract) {
  return static_cast<int64_t>(contract.pools.size() * contract.home_domains.size());
}

bool AnyLower(const SliceVector& a, const SliceVector& b) {
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
    const auto known = owned_.find(shard);
    if (known == owned_.end() || known->second != term) {
      owned_since_[shard] = context_.clock->Now();
    }
  }
  for (auto it = slices_.begin(); it != slices_.end();) {
    const ShardId& shard = it->first.second;
    const auto before = owned_.find(shard);
    const auto now = terms.find(shard);
    const bool kept = now != terms.end() && before != owned_.end() && now->second == before->second;
    it = kept ? std::next(it) : slices_.erase(it);
  }
  owned_ = terms;
}

SliceLimits SliceManager::Limit(const CustomerId& customer, const ShardId& shard) const {
  absl::MutexLock lock(&mutex_);
  const auto found = slices_.find(Key(customer, shard));
  return found != slices_.end() ? ToLimits(found->second.limit) : SliceLimits{};
}

void SliceManager::ReportDemand(const CustomerId& customer, const ShardId& shard,
                                const SliceDemand& in_use, const SliceDemand& wanted) {
  absl::MutexLock lock(&mutex_);
  if (owned_.count(shard) > 0) {
    SliceOf(customer, shard).demand.Report(in_use, wanted);
  }
}

SliceManager::Slice& SliceManager::SliceOf(const CustomerId& customer, const ShardId& shard) {
  return slices_.try_emplace(Key(customer, shard), owned_since_[shard]).first->second;
}

void SliceManager::Run() {
  while (true) {
    const absl::Time began = context_.clock->Now();
    const bool answered = NegotiateOnce(kWatchWait);
    absl::MutexLock lock(&mutex_);
    const absl::Time next =
        answered ? began + kRoundInterval : context_.clock->Now() + kRetryInterval;
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
  DropUnknownCustomers(contracts);
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
  BOOST_LEAF_AUTO(batch, context_.store->Watch(kPrefix, watched_, wait));
  for (const StoreEntry& entry : batch.changed) {
    TakeBook(CustomerId(entry.key.substr(sizeof(kPrefix) - 1)), entry.revision, entry.value);
  }
  watched_ = std::max(watched_, batch.next);
  return {};
}

void SliceManager::TakeBook(const CustomerId& customer, Revision revision,
                            const std::string& value) {
  KnownBook& known = books_[customer];
  if (revision <= known.revision) {
    return;
  }
  const Outcome<SliceBook> book = Capture([&] { return DecodeSliceBook(value); });
  if (!book.ok()) {
    context_.events->Record(EventCode::kInvalidInputRefused)
        .Customer(customer)
        .With(event_field::kReason, book.error().message)
        .Emit();
    return;
  }
  known = KnownBook{revision, book.value()};
}

Result<void> SliceManager::Refresh(const CustomerId& customer) {
  BOOST_LEAF_AUTO(entry, context_.store->Get(KeyOf(customer)));
  if (entry.has_value()) {
    TakeBook(customer, entry->revision, entry->value);
  }
  return {};
}

std::map<ShardId, ShardStanding> SliceManager::Standings(const Contract& contract,
                                                         const SliceBook& book,
                                                         const SliceVector& cap) {
  const absl::Time now = context_.clock->Now();
  std::map<ShardId, ShardStanding> standings;
  for (const auto& [shard, term] : owned_) {
    const auto found = book.entries.find(shard);
    const SliceEntry entry = found != book.entries.end() ? found->second : SliceEntry{};
    const bool used = found != book.entries.end() || IsHome(contract, shard) ||
                      slices_.count(Key(contract.customer, shard)) > 0;
    if (!used || entry.term > term) {
      continue;
    }
    Slice& slice = SliceOf(contract.customer, shard);
    const SliceVector wish = slice.demand.Wish(cap, entry.wanted, HomeShards(contract), now);
    standings[shard] =
        ShardStanding{term, wish, slice.demand.InUse(), slice.limit, slice.demand.InUseKnown(now)};
  }
  return standings;
}

Result<void> SliceManager::Negotiate(const Contract& contract) {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const KnownBook known = books_[contract.customer];
    const bool newer = contract.revision > known.book.contract_revision;
    const SliceVector cap = newer ? CapOf(contract) : known.book.cap;
    SlicePlan plan;
    {
      absl::MutexLock lock(&mutex_);
      plan = PlanSlices(known.book, contract.revision, cap, Standings(contract, known.book, cap));
      SetLimits(contract.customer, known, plan);
      if (plan.targets.empty() || plan.next == known.book) {
        return {};
      }
      LowerLimits(contract.customer, plan);
    }
    const Outcome<SwapOutcome> swap = Capture([&] {
      return SwapReadingBack(context_, KeyOf(contract.customer), known.revision,
                             EncodeSliceBook(plan.next, MakeNonceText()));
    });
    if (!swap.ok()) {
      if (swap.error().kind == ErrorKind::kOutcomeUnknown) {
        HoldCeilings(contract.customer, plan, known.revision);
      }
      return Fail(swap.error());
    }
    if (swap.value().state == SwapOutcome::State::kWritten) {
      books_[contract.customer] = KnownBook{swap.value().revision, plan.next};
      context_.events->Record(EventCode::kSliceChanged)
          .Customer(contract.customer)
          .With(event_field::kRevision, swap.value().revision.value())
          .Emit();
      absl::MutexLock lock(&mutex_);
      SetLimits(contract.customer, books_[contract.customer], plan);
      return {};
    }
    BOOST_LEAF_CHECK(Refresh(contract.customer));
  }
  return {};
}

void SliceManager::SetLimits(const CustomerId& customer, const KnownBook& written,
                             const SlicePlan& plan) {
  for (const auto& [shard, term] : owned_) {
    const auto slice = slices_.find(Key(customer, shard));
    if (slice == slices_.end()) {
      continue;
    }
    const auto entry = written.book.entries.find(shard);
    const auto target = plan.targets.find(shard);
    SliceVector limit = {};
    if (entry != written.book.entries.end() && entry->second.term == term &&
        target != plan.targets.end()) {
      limit = Min(entry->second.amount, target->second);
    }
    std::optional<SliceVector>& ceiling = slice->second.ceiling;
    // Once the key has another revision, the unsettled write has arrived or never will.
    if (ceiling.has_value() && slice->second.ceiling_revision != written.revision) {
      ceiling.reset();
    }
    if (ceiling.has_value()) {
      limit = Min(limit, *ceiling);
    }
    if (AnyLower(limit, slice->second.limit)) {
      slice->second.demand.LimitLowered(context_.clock->Now());
    }
    slice->second.limit = limit;
  }
}

void SliceManager::LowerLimits(const CustomerId& customer, const SlicePlan& plan) {
  for (const auto& [shard, target] : plan.targets) {
    Slice& slice = SliceOf(customer, shard);
    slice.limit = Min(slice.limit, plan.next.entries.at(shard).amount);
  }
}

void SliceManager::HoldCeilings(const CustomerId& customer, const SlicePlan& plan,
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

void SliceManager::DropUnknownCustomers(const std::vector<Contract>& contracts) {
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
