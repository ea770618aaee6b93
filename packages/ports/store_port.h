#ifndef POMELOTRAY_PORTS_STORE_PORT_H_
#define POMELOTRAY_PORTS_STORE_PORT_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/strong_id.h"
#include "base/strong_number.h"

namespace pomelotray {

struct StoreEntry {
  std::string key;
  std::string value;
  // Store revision of the last modification of this key.
  Revision revision;
  // The lease that the entry ends with; no value for a permanent entry. Not all stores report it.
  std::optional<StoreLeaseId> lease = std::nullopt;
};

struct WatchBatch {
  // Entries changed after the requested revision, by rising revision; only the newest change of a
  // key.
  std::vector<StoreEntry> changed;
  std::vector<std::string> deleted;
  // Pass this to the next Watch call.
  Revision next;
};

// Largest value that the platform's store accepts.
inline constexpr size_t kMaxStoreValueBytes = 1'000'000;

// The platform's key-value store. Every call counts against the platform's rates, a waiting watch
// as one. Errors: kStoreUnavailable when the call had no effect, kOutcomeUnknown when a write may
// have taken effect although no answer came, kConflict when a compare-and-swap lost.
class StorePort {
 public:
  virtual ~StorePort() = default;

  virtual Result<std::optional<StoreEntry>> Get(const std::string& key) = 0;
  virtual Result<std::vector<StoreEntry>> List(const std::string& prefix) = 0;

  // Writes `value` if the key's revision is `expected` (0: the key does not exist) and returns the
  // new revision. With a lease the key is deleted when the lease lapses.
  virtual Result<Revision> CompareAndSwap(const std::string& key, Revision expected,
                                          const std::string& value,
                                          const std::optional<StoreLeaseId>& lease) = 0;
  Result<Revision> CompareAndSwap(const std::string& key, Revision expected,
                                  const std::string& value) {
    return CompareAndSwap(key, expected, value, std::nullopt);
  }
  virtual Result<void> Delete(const std::string& key, Revision expected) = 0;

  // Answers as soon as a key below `prefix` has changed after `after`, or empty after `wait`.
  virtual Result<WatchBatch> Watch(const std::string& prefix, Revision after,
                                   absl::Duration wait) = 0;

  virtual Result<StoreLeaseId> GrantLease(absl::Duration ttl) = 0;
  // kNotFound: the lease has lapsed.
  virtual Result<void> KeepAlive(const StoreLeaseId& lease) = 0;
  virtual Result<void> RevokeLease(const StoreLeaseId& lease) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PORTS_STORE_PORT_H_
