#ifndef POMELOTRAY_STATE_BUDGETED_STORE_H_
#define POMELOTRAY_STATE_BUDGETED_STORE_H_

#include <array>
#include <functional>

#include "absl/base/thread_annotations.h"
#include "absl/random/random.h"
#include "state/state_context.h"

namespace pomelotray {

enum class StoreCallKind { kRead, kWrite, kWatch, kLease };
inline constexpr size_t kStoreCallKinds = 4;

struct StoreCallBudget {
  double per_second = 0;
  double burst = 0;
};

struct StoreBudgetOptions {
  // The platform sustains several hundred writes and about 2,000 reads per second; 8 instances
  // share them.
  StoreCallBudget reads{200, 100};
  StoreCallBudget writes{60, 30};
  StoreCallBudget watches{5, 5};
  StoreCallBudget leases{5, 5};
  // How long a call over budget waits for its turn before it fails.
  absl::Duration patience = absl::Milliseconds(200);
  // Interval between probes during an outage: doubles from the first to the second value, with
  // jitter.
  absl::Duration first_probe = absl::Milliseconds(100);
  absl::Duration longest_probe = absl::Seconds(2);
};

// Keeps an instance's store calls within a budget per kind, also while it reconnects after an
// outage: then a single call at a time probes the store and all others fail at once. Thread-safe.
class BudgetedStore : public StorePort {
 public:
  explicit BudgetedStore(const StateContext& context, const StoreBudgetOptions& options = {});

  // False from the first failed call until a probe succeeds.
  bool Available() const;
  // Calls of this kind passed on to the store so far.
  int64_t CallCount(StoreCallKind kind) const;
  // Calls of this kind refused here without reaching the store.
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
    absl::Time refilled;
    int64_t calls = 0;
    int64_t refused = 0;
  };

  template <typename T>
  Result<T> Run(StoreCallKind kind, const std::function<Result<T>(bool probe)>& call);
  // Waits for a token; sets `probe` when the call is the one that probes a failed store.
  Result<void> Admit(StoreCallKind kind, bool* probe);
  Result<void> AdmitDuringOutage(StoreCallKind kind, bool* probe)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<void> TakeToken(StoreCallKind kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Refill(Bucket* bucket) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Finish(bool reached, bool probe);
  Bucket& BucketOf(StoreCallKind kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return buckets_[static_cast<size_t>(kind)];
  }

  const StateContext context_;
  const StoreBudgetOptions options_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  std::array<Bucket, kStoreCallKinds> buckets_ ABSL_GUARDED_BY(mutex_);
  absl::BitGen random_ ABSL_GUARDED_BY(mutex_);
  bool available_ ABSL_GUARDED_BY(mutex_) = true;
  bool probing_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time next_probe_ ABSL_GUARDED_BY(mutex_);
  absl::Duration probe_interval_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_BUDGETED_STORE_H_
