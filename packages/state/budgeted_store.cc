#include "state/budgeted_store.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

const char* KindName(StoreCallKind kind) {
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

// Never zero: a wait that rounds down to nothing would be repeated without end on a paused clock.
absl::Duration TimeForTokens(double tokens, double per_second) {
  return per_second > 0 ? absl::Seconds(tokens / per_second) + absl::Nanoseconds(1)
                        : absl::InfiniteDuration();
}

}  // namespace

BudgetedStore::BudgetedStore(const StateContext& context, const StoreBudgetOptions& options)
    : context_(context), options_(options), probe_interval_(options.first_probe) {
  const absl::Time now = context_.clock->Now();
  const std::array<StoreCallBudget, kStoreCallKinds> budgets = {options.reads, options.writes,
                                                                options.watches, options.leases};
  for (size_t i = 0; i < kStoreCallKinds; ++i) {
    buckets_[i].budget = budgets[i];
    buckets_[i].tokens = budgets[i].burst;
    buckets_[i].refilled = now;
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
  const double gained = absl::ToDoubleSeconds(now - bucket->refilled) * bucket->budget.per_second;
  bucket->tokens = std::min(bucket->budget.burst, bucket->tokens + gained);
  bucket->refilled = now;
}

Result<void> BudgetedStore::TakeToken(StoreCallKind kind) {
  Bucket& bucket = BucketOf(kind);
  Refill(&bucket);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    ++bucket.calls;
    return {};
  }
  ++bucket.refused;
  const absl::Duration wait = TimeForTokens(1 - bucket.tokens, bucket.budget.per_second);
  return Fail(ErrorKind::kStoreUnavailable,
              absl::StrCat("This instance has used up its budget of store ", KindName(kind),
                           " calls; try again later."),
              wait * absl::Uniform(random_, 1.0, 2.0));
}

Result<void> BudgetedStore::AdmitDuringOutage(StoreCallKind kind, bool* probe) {
  const absl::Time now = context_.clock->Now();
  if (!probing_ && now >= next_probe_) {
    BOOST_LEAF_CHECK(TakeToken(kind));
    probing_ = true;
    *probe = true;
    return {};
  }
  ++BucketOf(kind).refused;
  const absl::Duration wait = std::max(next_probe_ - now, options_.first_probe);
  return Fail(ErrorKind::kStoreUnavailable, "The store does not answer; try again later.",
              wait * absl::Uniform(random_, 1.0, 2.0));
}

Result<void> BudgetedStore::Admit(StoreCallKind kind, bool* probe) {
  absl::MutexLock lock(&mutex_);
  const absl::Time deadline = context_.clock->Now() + options_.patience;
  while (available_) {
    Bucket& bucket = BucketOf(kind);
    Refill(&bucket);
    const absl::Time ready =
        context_.clock->Now() + TimeForTokens(1 - bucket.tokens, bucket.budget.per_second);
    if (bucket.tokens >= 1 || ready > deadline) {
      return TakeToken(kind);
    }
    context_.clock->WaitUntil(&changed_, &mutex_, ready);
  }
  return AdmitDuringOutage(kind, probe);
}

void BudgetedStore::Finish(bool reached, bool probe) {
  bool began = false;
  bool ended = false;
  {
    absl::MutexLock lock(&mutex_);
    if (probe) {
      probing_ = false;
    }
    if (reached) {
      ended = !available_;
      available_ = true;
      probe_interval_ = options_.first_probe;
    } else if (available_ || probe) {
      began = available_;
      available_ = false;
      next_probe_ = context_.clock->Now() + probe_interval_ * absl::Uniform(random_, 0.5, 1.0);
      probe_interval_ = std::min(probe_interval_ * 2, options_.longest_probe);
    }
    changed_.SignalAll();
  }
  if (began) {
    context_.events->Record(EventCode::kStoreOutageBegan).Emit();
  }
  if (ended) {
    context_.events->Record(EventCode::kStoreOutageEnded).Emit();
  }
}

template <typename T>
Result<T> BudgetedStore::Run(StoreCallKind kind, const std::function<Result<T>(bool probe)>& call) {
  bool probe = false;
  BOOST_LEAF_CHECK(Admit(kind, &probe));
  const Outcome<T> outcome = Capture([&] { return call(probe); });
  // A single lost answer is no outage: its writer reads the key back at once and finds out.
  const bool reached = outcome.ok() || (outcome.error().kind != ErrorKind::kStoreUnavailable &&
                                        outcome.error().kind != ErrorKind::kOutcomeUnknown);
  const bool lost_answer = !reached && outcome.error().kind == ErrorKind::kOutcomeUnknown;
  if (!lost_answer || probe) {
    Finish(reached, probe);
  }
  return outcome.ToResult();
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
    // A probe must not wait: all other calls fail until it answers.
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
