#ifndef POMELOTRAY_STANDINS_STORE_STATE_H_
#define POMELOTRAY_STANDINS_STORE_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "ports/store_port.h"

namespace pomelotray {

enum class StoreStatus { kOk, kConflict, kTooLarge, kNoLease };

// In-memory keys, revisions and leases of the store stand-in. Leases expire by the clock of the
// stand-in; each call and each waiting watch removes the expired ones. Thread-safe.
class StoreState {
 public:
  explicit StoreState(const Clock* clock) : clock_(clock) {}

  std::optional<StoreEntry> Get(const std::string& key);
  std::vector<StoreEntry> List(const std::string& prefix);
  // Sets `revision` to the new revision of the key on success.
  StoreStatus CompareAndSwap(const std::string& key, Revision expected, const std::string& value,
                             const std::string& lease, Revision* revision);
  StoreStatus Delete(const std::string& key, Revision expected);
  WatchBatch Watch(const std::string& prefix, Revision after, absl::Duration wait);
  std::string GrantLease(absl::Duration ttl);
  StoreStatus KeepAlive(const std::string& lease);
  StoreStatus RevokeLease(const std::string& lease);

  // Wakes all waiting watches and makes them return.
  void Shutdown();

 private:
  struct Record {
    std::string value;
    int64_t revision = 0;
    std::string lease;
  };
  struct Lease {
    absl::Duration ttl;
    absl::Time expires;
    std::set<std::string> keys;
  };

  void ExpireLeases() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Erase(const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Detach(const std::string& key, const Record& record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void DropLease(std::map<std::string, Lease>::iterator lease)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RecordChange(const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  WatchBatch Changes(const std::string& prefix, int64_t after)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  absl::Time NextExpiry() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Clock* const clock_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool shutdown_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t next_lease_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<std::string, Record> records_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Lease> leases_ ABSL_GUARDED_BY(mutex_);
  // The latest change of each key, including deletions, as a map from revision to key and a map
  // from key to revision.
  std::map<int64_t, std::string> changes_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int64_t> last_change_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_STORE_STATE_H_
