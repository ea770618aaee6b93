#ifndef POMELOTRAY_PORTS_TRANSACTIONAL_STORE_H_
#define POMELOTRAY_PORTS_TRANSACTIONAL_STORE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ports/store_port.h"

namespace pomelotray {

// Most conditions, writes and removals together that one transaction may have.
inline constexpr size_t kMaxTransactionEntries = 32;

struct StoreCondition {
  std::string key;
  // 0: the key must not exist.
  Revision revision;
};

// How long an entry stays in the store. It has no default and does not convert from an optional
// lease, so that a writer that has lost its lease cannot write a permanent entry by mistake.
class EntryLifetime {
 public:
  // Until the entry is removed.
  static EntryLifetime Permanent() { return EntryLifetime(std::nullopt); }
  // Until the entry is removed or the lease ends. The write fails if the lease has already ended.
  static EntryLifetime BoundTo(StoreLeaseId lease) { return EntryLifetime(std::move(lease)); }

  // The lease that the entry ends with; no value for a permanent entry.
  const std::optional<StoreLeaseId>& lease() const { return lease_; }

 private:
  explicit EntryLifetime(std::optional<StoreLeaseId> lease) : lease_(std::move(lease)) {}

  std::optional<StoreLeaseId> lease_;
};

struct StoreWrite {
  std::string key;
  std::string value;
  EntryLifetime lifetime;
};

// Takes effect as a whole if all conditions hold.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;
};

// All entries below a prefix. Entries may be newer than `as_of`, so a watch from `as_of` repeats
// some changes but misses none.
struct StoreListing {
  std::vector<StoreEntry> entries;
  Revision as_of;
};

// A store with transactions over several keys. Errors are those of StorePort; Watch() fails with
// kNotFound when the history after the revision is gone, so that the caller lists again.
class TransactionalStore : public StorePort {
 public:
  // Errors: kConflict when a condition does not hold, kNotFound when a lease has lapsed.
  virtual Result<Revision> Commit(const StoreTransaction& transaction) = 0;
  virtual Result<StoreListing> ListAll(const std::string& prefix) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PORTS_TRANSACTIONAL_STORE_H_
