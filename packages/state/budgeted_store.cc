#include "state/budgeted_store.h"

#include <algorithm>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

const char* StoreCallKindName(StoreCallKind kind) {
  switch (kind) {
    case StoreCallKind::kRead:
      return "read";
    case StoreCallKind::kWrite:
      return "write";
    case StoreCallKind::kWatch:
      return "watch";
    case StoreCallKind::kLease:
      return "lease";
  }
  return "store";
}

// Returns the time in which a bucket gains `tokens`. It is never zero: a wait that is rounded down
// to zero would be repeated forever while the clock is paused.
absl::Duration RefillTime(double tokens, double per_second) {
  return per_second > 0 ? absl::Seconds(tokens / per_second) + absl::Nanoseconds(1)
                        : absl::InfiniteDuration();
}

}  // namespace

BudgetedStore::BudgetedStore(const StateContext& context, const StoreBudgetOptions& options)
    : context_(context), options_(options), probe_interval_(options.initial_probe_interval) {
  const absl::Time now = context_.clock->Now();
  const std::array<StoreCallBudget, kStoreCallKindCount> budgets = {
      options.reads, options.writes, options.watches, options.leases};
  for (size_t i = 0; i < kStoreCallKindCount; ++i) {
    buckets_[i].budget = budgets[i];
    buckets_[i].tokens = budgets[i].burst;
    buckets_[i].last_refill = now;
  }
}

bool BudgetedStore::Available() const {
  absl::MutexLock lock(&mutex_);
  return available_;
}

int64_t BudgetedStore::CallCount(StoreCallKind kind) const {
  absl::MutexLock lock(&mutex_);
  return buckets_[static_cast<size_t>(kind)].calls;
}

int64_t BudgetedStore::RefusedCount(StoreCallKind kind) const {
  absl::MutexLock lock(&mutex_);
  return buckets_[static_cast<size_t>(kind)].refused;
}

void BudgetedStore::Refill(Bucket* bucket) {
  const absl::Time now = context_.clock->Now();
  const double gained =
      absl::ToDoubleSeconds(now - bucket->last_refill) * bucket->budget.per_second;
  bucket->tokens = std::min(bucket->budget.burst, bucket->tokens + gained);
  bucket->last_refill = now;
}

Result<void> BudgetedStore::TakeToken(StoreCallKind kind) {
  Bucket& bucket = BucketFor(kind);
  Refill(&bucket);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    ++bucket.calls;
    return {};
  }
  ++bucket.refused;
  const absl::Duration wait = RefillTime(1 - bucket.tokens, bucket.budget.per_second);
  return Fail(ErrorKind::kStoreUnavailable,
              absl::StrCat("This instance has exhausted its budget of store ",
                           StoreCallKindName(kind), " calls; try again later."),
              wait * absl::Uniform(random_, 1.0, 2.0));
}

Result<void> BudgetedStore::AdmitDuringOutage(StoreCallKind kind, bool* probe) {
  const absl::Time now = context_.clock->Now();
  if (!probe_in_flight_ && now >= next_probe_time_) {
    BOOST_LEAF_CHECK(TakeToken(kind));
    probe_in_flight_ = true;
    *probe = true;
    return {};
  }
  ++BucketFor(kind).refused;
  const absl::Duration wait = std::max(next_probe_time_ - now, options_.initial_probe_interval);
  return Fail(ErrorKind::kStoreUnavailable, "The store is unavailable; try again later.",
              wait * absl::Uniform(random_, 1.0, 2.0));
}

Result<void> BudgetedStore::Admit(StoreCallKind kind, bool* probe) {
  absl::MutexLock lock(&mutex_);
  const absl::Time deadline = context_.clock->Now() + options_.max_wait;
  while (available_) {
    Bucket& bucket = BucketFor(kind);
    Refill(&bucket);
    const absl::Time ready =
        context_.clock->Now() + RefillTime(1 - bucket.tokens, bucket.budget.per_second);
    if (bucket.tokens >= 1 || ready > deadline) {
      return TakeToken(kind);
    }
    context_.clock->WaitUntil(&state_changed_, &mutex_, ready);
  }
  return AdmitDuringOutage(kind, probe);
}

void BudgetedStore::RecordResult(bool store_responded, bool probe) {
  bool outage_began = false;
  bool outage_ended = false;
  {
    absl::MutexLock lock(&mutex_);
    if (probe) {
      probe_in_flight_ = false;
    }
    if (store_responded) {
      outage_ended = !available_;
      available_ = true;
      probe_interval_ = options_.initial_probe_interval;
    } else if (available_ || probe) {
      outage_began = available_;
      available_ = false;
      next_probe_time_ = context_.clock->Now() + probe_interval_ * absl::Uniform(random_, 0.5, 1.0);
      probe_interval_ = std::min(probe_interval_ * 2, options_.max_probe_interval);
    }
    state_changed_.SignalAll();
  }
  if (outage_began) {
    context_.events->Record(EventCode::kStoreOutageBegan).Emit();
  }
  if (outage_ended) {
    context_.events->Record(EventCode::kStoreOutageEnded).Emit();
  }
}

template <typename T>
Result<T> BudgetedStore::Run(StoreCallKind kind, const std::function<Result<T>(bool probe)>& call) {
  bool probe = false;
  BOOST_LEAF_CHECK(Admit(kind, &probe));
  // The value is stored outside of the Outcome because GCC 12 with -fsanitize=address falsely
  // reports the use of an uninitialized value when an Outcome<Revision> is moved here.
  std::conditional_t<std::is_void_v<T>, std::monostate, std::optional<T>> value;
  const Outcome<void> outcome = Capture([&]() -> Result<void> {
    if constexpr (std::is_void_v<T>) {
      return call(probe);
    } else {
      BOOST_LEAF_AUTO(response, call(probe));
      value.emplace(std::move(response));
      return {};
    }
  });
  // A single lost response does not start an outage: its writer reads the key back at once, and
  // that read fails if the store is unavailable.
  const bool store_responded =
      outcome.ok() || (outcome.error().kind != ErrorKind::kStoreUnavailable &&
                       outcome.error().kind != ErrorKind::kOutcomeUnknown);
  const bool response_lost = !store_responded && outcome.error().kind == ErrorKind::kOutcomeUnknown;
  if (!response_lost || probe) {
    RecordResult(store_responded, probe);
  }
  if constexpr (std::is_void_v<T>) {
    return outcome.ToResult();
  } else {
    BOOST_LEAF_CHECK(outcome.ToResult());
    return *std::move(value);
  }
}

Result<std::optional<StoreEntry>> BudgetedStore::Get(const std::string& key) {
  return Run<std::optional<StoreEntry>>(StoreCallKind::kRead,
                                        [&](bool /*probe*/) { return context_.store->Get(key); });
}

Result<std::vector<StoreEntry>> BudgetedStore::List(const std::string& prefix) {
  return Run<std::vector<StoreEntry>>(StoreCallKind::kRead,
                                      [&](bool /*probe*/) { return context_.store->List(prefix); });
}

Result<Revision> BudgetedStore::CompareAndSwap(const std::string& key, Revision expected,
                                               const std::string& value,
                                               const std::optional<StoreLeaseId>& lease) {
  return Run<Revision>(StoreCallKind::kWrite, [&](bool /*probe*/) {
    return context_.store->CompareAndSwap(key, expected, value, lease);
  });
}

Result<void> BudgetedStore::Delete(const std::string& key, Revision expected) {
  return Run<void>(StoreCallKind::kWrite,
                   [&](bool /*probe*/) { return context_.store->Delete(key, expected); });
}

Result<WatchBatch> BudgetedStore::Watch(const std::string& prefix, Revision after,
                                        absl::Duration wait) {
  return Run<WatchBatch>(StoreCallKind::kWatch, [&](bool probe) {
    // A probe must not wait for changes, since all other calls fail until it returns.
    return context_.store->Watch(prefix, after, probe ? absl::ZeroDuration() : wait);
  });
}

Result<StoreLeaseId> BudgetedStore::GrantLease(absl::Duration ttl) {
  return Run<StoreLeaseId>(StoreCallKind::kLease,
                           [&](bool /*probe*/) { return context_.store->GrantLease(ttl); });
}

Result<void> BudgetedStore::KeepAlive(const StoreLeaseId& lease) {
  return Run<void>(StoreCallKind::kLease,
                   [&](bool /*probe*/) { return context_.store->KeepAlive(lease); });
}

Result<void> BudgetedStore::RevokeLease(const StoreLeaseId& lease) {
  return Run<void>(StoreCallKind::kLease,
                   [&](bool /*probe*/) { return context_.store->RevokeLease(lease); });
}

}  // namespace pomelotray
