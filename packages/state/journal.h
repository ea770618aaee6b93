#ifndef POMELOTRAY_STATE_JOURNAL_H_
#define POMELOTRAY_STATE_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "base/shard_id.h"
#include "state/journal_record.h"
#include "state/state_context.h"

namespace pomelotray {

class JournalStorage;

struct JournalOptions {
  // Shortest time between two batches.
  absl::Duration commit_interval = absl::Milliseconds(20);
  // Pause after a failed write.
  absl::Duration retry_interval = absl::Milliseconds(200);
  // Bounds on records that wait for a batch.
  size_t max_pending_records = 20'000;
  size_t max_pending_bytes = 4'000'000;
  // Bound on the encoded records of one batch.
  size_t max_batch_bytes = 256'000;
};

// Sequence number of a record that Append refused and that is never written.
inline constexpr uint64_t kRefusedRecord = 0;

// The durable record of a shard's jobs, written by the shard's owner. One store write carries all
// records that have arrived since the previous one. Thread-safe.
class Journal {
 public:
  Journal(const StateContext& context, const ShardId& shard, const InstanceId& owner, int64_t term,
          const JournalOptions& options = {});
  ~Journal();

  // Reads the journal and deposes earlier owners; returns all jobs in it. Called once, before any
  // Append; may be repeated after a failure. kFenced: a later term has written to the journal.
  Result<std::vector<JobRecord>> Recover();

  // Queues a record and returns its sequence number, or kRefusedRecord when the journal is full or
  // the record is too large for a store value. Never blocks.
  uint64_t Append(JournalRecord record);
  // Waits until the record is durable. kStoreUnavailable: it was in no batch by the deadline, but
  // may be later unless Withdraw succeeds; or it was refused because the journal is full, and will
  // never be written. kOutcomeUnknown: it is in a batch whose outcome is not known yet. kFenced:
  // another owner has deposed this one; the record was not known to be durable by then, and the new
  // owner may know it.
  Outcome<void> AwaitDurable(uint64_t sequence, absl::Time deadline);
  // Takes back a record that no batch contains yet; true means that it is never written. False: it
  // has been written or may be.
  bool Withdraw(uint64_t sequence);

  // All records up to this number are durable or were withdrawn.
  uint64_t durable_sequence() const;
  bool deposed() const;
  // True when Append refuses records until earlier ones are durable.
  bool Full() const;
  size_t pending_records() const;
  size_t pending_bytes() const;

  // Ends the writer thread. Records that are not durable yet may be lost; drain them first.
  void Stop();

 private:
  struct Pending {
    uint64_t sequence = 0;
    JournalRecord record;
    std::string encoded;
  };

  void Run();
  bool WaitForWork() ABSL_LOCKS_EXCLUDED(mutex_);
  void PauseUntil(absl::Time time) ABSL_LOCKS_EXCLUDED(mutex_);
  // Moves pending records into the batch in flight and returns its encoded records.
  std::vector<std::string> FillBatch() ABSL_LOCKS_EXCLUDED(mutex_);
  Result<void> CommitBatch() ABSL_LOCKS_EXCLUDED(mutex_);
  // Makes the records of a batch that was not written pending again.
  void ReturnBatch() ABSL_LOCKS_EXCLUDED(mutex_);
  void MarkDurable() ABSL_LOCKS_EXCLUDED(mutex_);
  void MarkDeposed() ABSL_LOCKS_EXCLUDED(mutex_);
  bool FullLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  uint64_t DurableSequenceLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Error TimeoutError(uint64_t sequence) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const StateContext context_;
  const ShardId shard_;
  const int64_t term_;
  const JournalOptions options_;
  // Used by Recover before the writer thread starts, and by that thread afterwards.
  const std::unique_ptr<JournalStorage> storage_;
  mutable absl::Mutex mutex_;
  // Signalled when records become durable, are withdrawn or can no longer become durable.
  absl::CondVar changed_;
  // Wakes the writer thread.
  absl::CondVar work_;
  uint64_t next_sequence_ ABSL_GUARDED_BY(mutex_) = 1;
  std::deque<Pending> pending_ ABSL_GUARDED_BY(mutex_);
  // Of the pending records and those in flight.
  size_t pending_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  // The batch being written; only the writer thread changes it.
  std::vector<Pending> in_flight_ ABSL_GUARDED_BY(mutex_);
  std::set<uint64_t> withdrawn_ ABSL_GUARDED_BY(mutex_);
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_H_
