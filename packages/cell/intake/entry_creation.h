#ifndef POMELOTRAY_CELL_INTAKE_ENTRY_CREATION_H_
#define POMELOTRAY_CELL_INTAKE_ENTRY_CREATION_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "cell/membership/pool_part.h"
#include "ports/transactional_store.h"

namespace pomelotray {

struct NewEntry {
  std::string key;
  std::string value;
  // Revision of the entry that this one replaces. 0: there must be none.
  Revision replaced;
};

// Store entries of one job that are created together, exactly once.
struct EntryCreation {
  // Entries of the same job are never created in the same transaction.
  JobId job;
  // Created on condition that each replaces what it says. There is at least one.
  std::vector<NewEntry> entries;
  // Further conditions of the creation.
  std::vector<StoreCondition> conditions;
  // Keys that are removed in the same transaction.
  std::vector<std::string> removals;

  // Number of conditions, writes and removals that the creation adds to a transaction.
  size_t TransactionSize() const {
    return 2 * entries.size() + conditions.size() + removals.size();
  }
};

// Adds the conditions and writes of the creation to the transaction.
void AddCreation(const EntryCreation& creation, StoreTransaction* transaction);

// How long the creation of entries may take.
struct CreationLimits {
  // Longest wait for an unavailable store. The entries are then refused unsent.
  absl::Duration max_wait;
  // The caller stops waiting for the outcome at this time.
  absl::Time deadline;
};

// Creates entries in the store.
class EntryWriter {
 public:
  virtual ~EntryWriter() = default;
  // Returns true if this call created the entries, false if a condition does not hold, which
  // includes that an earlier attempt of this call may have created them. Errors: kStoreUnavailable
  // if they will never be written by this call; kOutcomeUnknown if they may still be.
  virtual Result<bool> Create(const EntryCreation& creation, const CreationLimits& limits) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_ENTRY_CREATION_H_
