#ifndef POMELOTRAY_STATE_BUDGETED_STORE_H_
#define POMELOTRAY_STATE_BUDGETED_STORE_H_

#include <array>
#include <functional>

#include "absl/base/thread_annotations.h"
#include "absl/random/random.h"
#include "state/state_context.h"

namespace pomelotray {

// Kinds of store calls; each kind has a budget of its own.
enum class StoreCallKind { kRead, kWrite, kWatch, kLease };
inline constexpr size_t kStoreCallKindCount = 4;

// Parameters of a token bucket: its refill rate and its capacity.
struct StoreCallBudget {
  double per_second = 0;
  double burst = 0;
};

struct StoreBudgetOptions {
  // The platform's store sustains several hundred writes and about 2,000 reads per second. The
  // default budgets divide this between 8 instances.
  StoreCallBudget reads{200, 100};
  StoreCallBudget writes{60, 30};
  StoreCallBudget watches{5, 5};
  StoreCallBudget leases{5, 5};
  // Maximum time for which a call waits for a token. A call that would wait longer fails at once.
  absl::Duration max_wait = absl::Milliseconds(200);
  // Interval between probes during an outage. It doubles after each failed probe, from the initial
  // to the maximum value, and is shortened by up to half as jitter.
  absl::Duration initial_probe_interval = absl::Milliseconds(100);
  absl::Duration max_probe_interval = absl::Seconds(2);
};

// Limits the rate of an instance's store calls with one token bucket per kind of call. During an
// outage a single call at a time probes the store, within the same budgets, and all other calls
// fail at once. Thread-safe.
class BudgetedStore : public StorePort {
 public:
  explicit BudgetedStore(const StateContext& context, const StoreBudgetOptions& options = {});

  // Returns false from the first call that finds the store unavailable until the store responds to
  // a call.
  bool Available() const;
  // Returns the number of calls of this kind that were forwarded to the store.
  int64_t CallCount(StoreCallKind kind) const;
  // Returns the number of calls of this kind that were rejected without reaching the store.
  int64_t RefusedCount(StoreCallKind kind) const;

  Result<std::optional<StoreEntry>> Get(const std::string& key) override;
  Result<std::vector<StoreEntry>> List(const std::string& prefix) override;
  using StorePort::CompareAndSwap;
  Result<Revision> CompareAndSwap(const std::string& key, Revision expected,
                                  const std::string& value,
                                  const std::optional<StoreLeaseId>& lease) override;
  Result<void> Delete(const std::string& key, Revision expected) override;
  Result<WatchBatch> Watch(const std::string& prefix, Revision after, absl::Duration wait) override;
  Result<StoreLeaseId> GrantLease(absl::Duration ttl) override;
  Result<void> KeepAlive(const StoreLeaseId& lease) override;
  Result<void> RevokeLease(const StoreLeaseId& lease) override;

 private:
  struct Bucket {
    StoreCallBudget budget;
    double tokens = 0;
    absl::Time last_refill;
    int64_t calls = 0;
    int64_t refused = 0;
  };

  template <typename T>
  Result<T> Run(StoreCallKind kind, const std::function<Result<T>(bool probe)>& call);
  // Waits for a token. Sets `probe` if the call is the one that probes an unavailable store.
  Result<void> Admit(StoreCallKind kind, bool* probe);
  Result<void> AdmitDuringOutage(StoreCallKind kind, bool* probe)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<void> TakeToken(StoreCallKind kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Refill(Bucket* bucket) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Updates the availability of the store and the time of the next probe after a call.
  void RecordResult(bool store_responded, bool probe);
  Bucket& BucketFor(StoreCallKind kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return buckets_[static_cast<size_t>(kind)];
  }

  const StateContext context_;
  const StoreBudgetOptions options_;
  mutable absl::Mutex mutex_;
  absl::CondVar state_changed_;
  std::array<Bucket, kStoreCallKindCount> buckets_ ABSL_GUARDED_BY(mutex_);
  absl::BitGen random_ ABSL_GUARDED_BY(mutex_);
  bool available_ ABSL_GUARDED_BY(mutex_) = true;
  bool probe_in_flight_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time next_probe_time_ ABSL_GUARDED_BY(mutex_);
  absl::Duration probe_interval_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_BUDGETED_STORE_H_
