#ifndef POMELOTRAY_STATE_JOURNAL_H_
#define POMELOTRAY_STATE_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
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

  // Queues a record and returns its sequence number; never blocks.
  uint64_t Append(JournalRecord record);
  // Waits until the record is durable. kStoreUnavailable: it was in no batch by the deadline, but
  // may be later unless Withdraw succeeds; or it was refused because the journal is full, and will
  // never be written. kOutcomeUnknown: it is in a batch whose outcome is not known yet. kFenced:
  // another owner has deposed this one; the record was not durable when it did.
  Outcome<void> AwaitDurable(uint64_t sequence, absl::Time deadline);
  // Takes back a record that no batch contains yet. False: it has been or may be written.
  bool Withdraw(uint64_t sequence);

  // All records up to this number are durable, were withdrawn or were refused.
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
    bool withdrawn = false;
  };

  void Run();
  bool WaitForWork() ABSL_LOCKS_EXCLUDED(mutex_);
  void PauseUntil(absl::Time time) ABSL_LOCKS_EXCLUDED(mutex_);
  // Moves pending records into the batch in flight.
  void FillBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool CommitBatch() ABSL_LOCKS_EXCLUDED(mutex_);
  void MarkDurable() ABSL_LOCKS_EXCLUDED(mutex_);
  void MarkDeposed() ABSL_LOCKS_EXCLUDED(mutex_);
  bool IsDurable(uint64_t sequence) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Error TimeoutError(uint64_t sequence) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const StateContext context_;
  const ShardId shard_;
  const int64_t term_;
  const JournalOptions options_;
  // Used by Recover before the writer thread starts, and by that thread afterwards.
  const std::unique_ptr<JournalStorage> storage_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  uint64_t next_sequence_ ABSL_GUARDED_BY(mutex_) = 1;
  uint64_t durable_sequence_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<Pending> pending_ ABSL_GUARDED_BY(mutex_);
  size_t pending_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  // The batch being written; only the writer thread changes it.
  std::vector<Pending> in_flight_ ABSL_GUARDED_BY(mutex_);
  size_t in_flight_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  std::set<uint64_t> refused_ ABSL_GUARDED_BY(mutex_);
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_H_
