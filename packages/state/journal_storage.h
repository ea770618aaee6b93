#ifndef POMELOTRAY_STATE_JOURNAL_STORAGE_H_
#define POMELOTRAY_STATE_JOURNAL_STORAGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/job_table.h"
#include "state/journal_codec.h"
#include "state/journal_keys.h"
#include "state/snapshot_store.h"
#include "state/state_context.h"

namespace pomelotray {

// The journal's keys in the store: the ring of batches and the snapshot. Not thread-safe.
class JournalStorage {
 public:
  JournalStorage(const StateContext& context, const ShardId& shard, const InstanceId& owner,
                 int64_t term);

  // Reads all jobs and deposes earlier owners: from then on all their writes conflict.
  Result<std::vector<JobRecord>> Recover();

  // Writes the next batch. After kOutcomeUnknown it must be called again with the same records.
  // kFenced: a later owner took over.
  Result<void> WriteBatch(const std::vector<std::string>& records);
  // True after kOutcomeUnknown: the batch may be in the store.
  bool BatchMayExist() const { return uncertain_; }
  // Applies a record of a written batch to the jobs that the next snapshot will contain.
  void Apply(const JournalRecord& record) { jobs_.Apply(record); }

  bool SnapshotDue() const { return last_batch_ - snapshot_.covered() >= kBatchesPerSnapshot; }
  // The next batch would overwrite one that no snapshot covers.
  bool RingFull() const { return last_batch_ - snapshot_.covered() >= kJournalSlots; }
  Result<void> WriteSnapshot() { return snapshot_.Write(jobs_, last_batch_); }

 private:
  std::string SlotKey(int64_t number) const;
  Revision& SlotRevision(int64_t number) { return slot_revisions_[number % kJournalSlots]; }
  // Each returns kConflict when an earlier owner wrote meanwhile and all must be read again.
  Result<void> ReadAll();
  Result<void> ReadSlots(const std::map<std::string, StoreEntry>& entries);
  Result<void> WriteBarrier();
  // Applies the batch that an earlier owner wrote in the place of the barrier.
  Result<void> AbsorbNextBatch();
  Result<void> ApplyBatch(const JournalBatch& batch);
  Result<void> ReadBackBatch(const std::string& value);
  void Advance(Revision revision);

  const StateContext context_;
  const ShardId shard_;
  const InstanceId owner_;
  const int64_t term_;
  SnapshotStore snapshot_;
  JobTable jobs_;
  int64_t last_batch_ = 0;
  std::array<Revision, kJournalSlots> slot_revisions_ = {};
  uint64_t nonce_ = 0;
  bool uncertain_ = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_STORAGE_H_
