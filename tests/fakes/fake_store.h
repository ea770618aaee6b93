#ifndef POMELOTRAY_TESTS_FAKES_FAKE_STORE_H_
#define POMELOTRAY_TESTS_FAKES_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "base/clock.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// The fault that is injected into one store call.
enum class StoreFault {
  kNone,
  // Fails with kStoreUnavailable and has no effect.
  kDown,
  // The request is lost and has no effect. Writes fail with kOutcomeUnknown, reads with
  // kStoreUnavailable.
  kRequestLost,
  // The request takes effect, but its response is lost. Writes fail with kOutcomeUnknown, reads
  // with kStoreUnavailable.
  kAnswerLost,
  // A commit fails with kOutcomeUnknown and has no effect until CarryOutLateCommits(). Other calls
  // behave as with kRequestLost.
  kCarriedOutLate,
};

// An in-memory TransactionalStore with fault injection, whose leases and waits follow the given
// clock. Thread-safe.
class FakeStore : public TransactionalStore {
 public:
  struct Call {
    // "get", "list", "swap", "delete", "commit", "watch", "grant", "keepalive" or "revoke".
    std::string kind;
    std::string key;
    bool write = false;
  };
  // Runs before each store call and returns the fault to inject. No lock is held, so the hook may
  // call the store.
  using Hook = std::function<StoreFault(const Call&)>;

  explicit FakeStore(const Clock* clock);

  // While set, all calls fail with kStoreUnavailable.
  void SetDown(bool down);
  // Delays each call by this time on the store's clock; with a ManualClock, the call blocks until
  // the clock is advanced.
  void SetLatency(absl::Duration latency);
  void SetHook(Hook hook);
  // Expires all leases immediately, as if their holders had not renewed them.
  void ExpireAllLeases();

  // Returns the number of calls of this kind so far, including those that failed.
  int64_t Calls(const std::string& kind) const;
  int64_t AllCalls() const;
  int64_t WrittenBytes() const;
  // Carries out the commits that were delayed by kCarriedOutLate, in their order. Returns how many
  // of them took effect; the conditions of the others do not hold any more.
  int CarryOutLateCommits();

  // Reads a key; the call is not counted and no fault is injected.
  std::optional<StoreEntry> Peek(const std::string& key) const;
  // Writes a key without checking its revision; the call is not counted and no fault is injected.
  Revision Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  Result<std::optional<StoreEntry>> Get(const std::string& key) override;
  Result<std::vector<StoreEntry>> List(const std::string& prefix) override;
  using StorePort::CompareAndSwap;
  Result<Revision> CompareAndSwap(const std::string& key, Revision expected,
                                  const std::string& value,
                                  const std::optional<StoreLeaseId>& lease) override;
  Result<void> Delete(const std::string& key, Revision expected) override;
  // Counted and passed to the hook as "commit", with the first key that is written or, without
  // writes, the first key that is removed.
  Result<Revision> Commit(const StoreTransaction& transaction) override;
  Result<StoreListing> ListAll(const std::string& prefix) override;
  Result<WatchBatch> Watch(const std::string& prefix, Revision after, absl::Duration wait) override;
  Result<StoreLeaseId> GrantLease(absl::Duration ttl) override;
  Result<void> KeepAlive(const StoreLeaseId& lease) override;
  Result<void> RevokeLease(const StoreLeaseId& lease) override;

 private:
  struct Item {
    std::string value;
    Revision revision;
    std::optional<StoreLeaseId> lease;
  };
  struct Lease {
    absl::Duration ttl;
    absl::Time expires;
  };

  // Counts the call, runs the hook and waits for the latency. Returns an error if the call must
  // fail without taking effect, otherwise the fault that the caller has to apply.
  Result<StoreFault> BeginCall(const Call& call);
  Result<void> CheckConditions(const StoreTransaction& transaction) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<Revision> Apply(const StoreTransaction& transaction) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Revision NextRevision() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Erase(const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ExpireLeases() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void EndLease(const StoreLeaseId& lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  WatchBatch ChangesSince(const std::string& prefix, Revision after) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Clock* const clock_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  std::map<std::string, Item> items_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Revision> deleted_ ABSL_GUARDED_BY(mutex_);
  std::map<StoreLeaseId, Lease> leases_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int64_t> calls_ ABSL_GUARDED_BY(mutex_);
  int64_t written_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  Revision revision_ ABSL_GUARDED_BY(mutex_);
  int64_t next_lease_ ABSL_GUARDED_BY(mutex_) = 1;
  bool down_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Duration latency_ ABSL_GUARDED_BY(mutex_);
  Hook hook_ ABSL_GUARDED_BY(mutex_);
  std::vector<StoreTransaction> late_commits_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_FAKES_FAKE_STORE_H_
