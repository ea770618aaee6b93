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
  // Minimum time between the starts of two batch writes.
  absl::Duration commit_interval = absl::Milliseconds(20);
  // Delay after a failed write, unless the error specifies another one.
  absl::Duration retry_interval = absl::Milliseconds(200);
  // Limits on the records that are queued or being written. Append refuses records beyond them.
  size_t max_pending_records = 20'000;
  size_t max_pending_bytes = 4'000'000;
  // Limit on the total size of the encoded records in one batch. A larger record forms a batch of
  // its own.
  size_t max_batch_bytes = 256'000;
};

// Returned by Append for a record that it refused. Such a record is never written.
inline constexpr uint64_t kRefusedRecord = 0;

// Write-ahead journal of a shard's jobs, written by the shard's owner. Records are committed in
// groups: one store write contains the records queued since the previous write, up to the batch
// size limit. An owner is deposed when an owner with a later term recovers the journal.
// Thread-safe.
class Journal {
 public:
  Journal(const StateContext& context, const ShardId& shard, const InstanceId& owner, int64_t term,
          const JournalOptions& options = {});
  ~Journal();

  // Reads the journal, deposes earlier owners and returns all jobs in the journal. Must succeed
  // once before the first Append; may be called again after a failure. kFenced: an owner with a
  // later term has written to the journal.
  Result<std::vector<JobRecord>> Recover();

  // Queues a record and returns its sequence number, or kRefusedRecord when the journal is full or
  // the record is too large for a store value. Never blocks.
  uint64_t Append(JournalRecord record);
  // Waits until the record is durable. Errors:
  // - kStoreUnavailable: the record was in no batch at the deadline, but may still be written
  //   unless Withdraw succeeds; or it was withdrawn or refused and will never be written.
  // - kOutcomeUnknown: the record is in a batch whose outcome is not known yet.
  // - kFenced: this owner was deposed before the record was known to be durable; the new owner may
  //   have recovered the record.
  Outcome<void> AwaitDurable(uint64_t sequence, absl::Time deadline);
  // Removes a record from the queue if no batch contains it yet. Returns true if the record will
  // never be written, and false if it was written or may be written.
  bool Withdraw(uint64_t sequence);

  // All records up to and including this sequence number are durable or were withdrawn.
  uint64_t durable_sequence() const;
  bool deposed() const;
  // True while Append refuses records because too many are queued.
  bool IsFull() const;
  size_t pending_records() const;
  size_t pending_bytes() const;

  // Stops the writer thread. Records that are not durable yet may be lost, so callers should wait
  // for them first.
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
  // Moves pending records into the batch in flight and returns the encoded records of that batch.
  std::vector<std::string> FillBatch() ABSL_LOCKS_EXCLUDED(mutex_);
  Result<void> CommitBatch() ABSL_LOCKS_EXCLUDED(mutex_);
  // Moves the records in flight back to the queue, unless the batch may have been written.
  void RequeueBatch() ABSL_LOCKS_EXCLUDED(mutex_);
  void MarkDurable() ABSL_LOCKS_EXCLUDED(mutex_);
  void MarkDeposed() ABSL_LOCKS_EXCLUDED(mutex_);
  bool IsFullLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
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
  absl::CondVar writer_wake_;
  uint64_t next_sequence_ ABSL_GUARDED_BY(mutex_) = 1;
  std::deque<Pending> pending_ ABSL_GUARDED_BY(mutex_);
  // Encoded size of the pending records and the records in flight, including framing.
  size_t pending_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  // The batch being written; only the writer thread changes it.
  std::vector<Pending> in_flight_ ABSL_GUARDED_BY(mutex_);
  // Sequence numbers of the most recently withdrawn records.
  std::set<uint64_t> withdrawn_ ABSL_GUARDED_BY(mutex_);
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_H_
