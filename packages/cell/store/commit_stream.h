#ifndef POMELOTRAY_CELL_STORE_COMMIT_STREAM_H_
#define POMELOTRAY_CELL_STORE_COMMIT_STREAM_H_

#include <optional>
#include <string>
#include <vector>

#include "cell/membership/cell_membership.h"
#include "cell/records/job_record.h"
#include "ports/transactional_store.h"

namespace pomelotray {

enum class CommitOutcome {
  kStored,
  // Not known to be stored. Resume() sends the same transaction again.
  kPending,
  // Another instance has claimed the pool part.
  kClaimLost,
};

// Writes progress records of one pool part's owner to the store, one transaction at a time. The
// record of a final state replaces all other entries of the job. Each transaction requires the
// owner's claim and the revision that the previous transaction gave to the stream's own entry. A
// transaction whose answer was lost therefore cannot be applied after a later one and restore old
// records. Not thread-safe.
class CommitStream {
 public:
  // Maximum number of keys that the records of one transaction may change. The rest of the store's
  // limit is taken by two conditions and the stream's own entry.
  static constexpr size_t kMaxEntries = kMaxTransactionEntries - 3;

  // `entry`: the stream's own entry as read after the claim was made, or no value if there is none.
  CommitStream(TransactionalStore* store, PartClaim claim, int number,
               const std::optional<StoreEntry>& entry);

  // Keys of the own entries of a part's streams.
  static std::string Prefix(const PartName& part);
  static std::string Key(const PartName& part, int number);

  // Commits the records in one transaction. Must not be called while a transaction is pending.
  CommitOutcome Store(const std::vector<ProgressRecord>& records);
  // Sends the pending transaction again.
  CommitOutcome Resume();
  bool HasPending() const { return pending_.has_value(); }

 private:
  void AddRecord(const ProgressRecord& record, StoreTransaction* transaction) const;
  // Called when the store rejects the pending transaction's conditions: reads the stream's own
  // entry to find out whether an earlier attempt of this transaction was applied.
  CommitOutcome ResolvePending();

  TransactionalStore* const store_;
  const PartClaim claim_;
  const std::string key_;
  Revision revision_;
  int64_t sequence_ = 0;
  std::optional<StoreTransaction> pending_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_COMMIT_STREAM_H_
