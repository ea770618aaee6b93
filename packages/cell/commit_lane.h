#ifndef POMELOTRAY_CELL_COMMIT_LANE_H_
#define POMELOTRAY_CELL_COMMIT_LANE_H_

#include <optional>
#include <string>
#include <vector>

#include "cell/cell_membership.h"
#include "cell/job_record.h"
#include "ports/transactional_store.h"

namespace pomelotray {

enum class LaneOutcome {
  kStored,
  // Nothing is known to be stored; Resume() tries again.
  kPending,
  // Another instance has claimed the pool.
  kDeposed,
};

// Stores progress records of one pool's owner, one transaction after the other. The record of a
// final state takes the place of all that is stored of the job. Each transaction
// requires the pool's claim and advances the lane's own entry, so a transaction whose answer was
// lost cannot be carried out after a later one and bring old records back. Not thread-safe.
class CommitLane {
 public:
  // Keys that the records of one transaction may change: beside them stand two conditions and the
  // lane's entry.
  static constexpr size_t kMaxEntries = kMaxTransactionEntries - 3;

  // `entry`: the lane's entry as it was read after the claim; none when it does not exist.
  CommitLane(TransactionalStore* store, PartClaim claim, int number,
             const std::optional<StoreEntry>& entry);

  // Where the lanes of a pool have their entries.
  static std::string Prefix(const PartName& part);
  static std::string Key(const PartName& part, int number);

  // Only when nothing is pending.
  LaneOutcome Store(const std::vector<ProgressRecord>& records);
  LaneOutcome Resume();
  bool HasPending() const { return pending_.has_value(); }

 private:
  void AddRecord(const ProgressRecord& record, StoreTransaction* transaction) const;
  // Reads the lane's entry to learn whether the pending transaction was carried out.
  LaneOutcome Inspect();

  TransactionalStore* const store_;
  const PartClaim claim_;
  const std::string key_;
  Revision revision_;
  int64_t sequence_ = 0;
  std::optional<StoreTransaction> pending_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_COMMIT_LANE_H_
