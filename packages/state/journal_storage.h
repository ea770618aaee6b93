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

// Reads and writes a journal in the store: a ring of batches and a snapshot. Not thread-safe.
class JournalStorage {
 public:
  JournalStorage(const StateContext& context, const ShardId& shard, const InstanceId& owner,
                 int64_t term);

  // Reads all jobs and deposes earlier owners: all their later writes fail with a conflict.
  Result<std::vector<JobRecord>> Recover();

  // Writes the next batch. After kOutcomeUnknown it must be called again with the same records.
  // kFenced: a later owner has taken over the journal.
  Result<void> WriteBatch(const std::vector<std::string>& records);
  // True after WriteBatch failed with kOutcomeUnknown: the batch may be in the store.
  bool BatchOutcomeUnknown() const { return batch_outcome_unknown_; }
  // Applies a record of a written batch to the jobs that the next snapshot contains.
  void Apply(const JournalRecord& record) { jobs_.Apply(record); }

  bool SnapshotDue() const { return last_batch_ - snapshot_.covered() >= kBatchesPerSnapshot; }
  // True if the next batch would overwrite one that the snapshot does not cover.
  bool RingFull() const { return last_batch_ - snapshot_.covered() >= kJournalSlots; }
  Result<void> WriteSnapshot() { return snapshot_.Write(jobs_, last_batch_); }

 private:
  std::string SlotKey(int64_t number) const;
  Revision& SlotRevision(int64_t number) { return slot_revisions_[number % kJournalSlots]; }
  // ReadAll, ReadSlots, WriteBarrier and ApplyConflictingBatch return kConflict if an earlier owner
  // wrote to the journal concurrently and the whole journal must be read again.
  Result<void> ReadAll();
  Result<void> ReadSlots(const std::map<std::string, StoreEntry>& entries);
  // Writes an empty batch as the next one, so that the next batch of an earlier owner conflicts.
  Result<void> WriteBarrier();
  // Applies the batch that an earlier owner wrote to the slot intended for the barrier.
  Result<void> ApplyConflictingBatch();
  Result<void> ApplyBatch(const JournalBatch& batch);
  // Reads the slot of the next batch to find out whether an earlier attempt wrote `value`.
  Result<void> ReadBackBatch(const std::string& value);
  // Records that the next batch is in the store, in a slot that now has this revision.
  void Advance(Revision revision);

  const StateContext context_;
  const ShardId shard_;
  const InstanceId owner_;
  const int64_t term_;
  SnapshotStore snapshot_;
  JobTable jobs_;
  int64_t last_batch_ = 0;
  std::array<Revision, kJournalSlots> slot_revisions_ = {};
  // Nonce of the batch being written, kept across retries; 0 if there is none.
  uint64_t nonce_ = 0;
  bool batch_outcome_unknown_ = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_STORAGE_H_
