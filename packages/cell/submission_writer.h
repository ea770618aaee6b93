#ifndef POMELOTRAY_CELL_SUBMISSION_WRITER_H_
#define POMELOTRAY_CELL_SUBMISSION_WRITER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "cell/entry_creation.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Creates entries in the store and batches the entries of concurrent callers into one transaction.
// Creation is idempotent: an entry that exists already counts as written, so a caller may repeat a
// request at any instance.
class SubmissionWriter {
 public:
  // `on_commit_failure` is called after each transaction that the store refused or did not answer.
  // A conflict does not count as a failure.
  SubmissionWriter(TransactionalStore* store, const Clock* clock,
                   std::function<void()> on_commit_failure);
  ~SubmissionWriter();

  // Returns after the entry or its successor (see EntryCreation) is stored: true if this call
  // created the entry, false if it existed or may have existed before. Errors: kStoreUnavailable if
  // the entry was not written and never will be, kOutcomeUnknown if `deadline` has passed and the
  // entry may still be written.
  Result<bool> Create(const EntryCreation& entry, absl::Time deadline);
  void Stop();

 private:
  struct PendingEntry {
    EntryCreation new_entry;
    absl::Time deadline;
    // A transaction with this entry was sent and its outcome is not known.
    bool maybe_written = false;
    bool done = false;
    Outcome<bool> outcome = false;
  };
  using Batch = std::vector<std::shared_ptr<PendingEntry>>;

  void Run();
  Batch TakeBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Outcome<Revision> Commit(const Batch& batch);
  void WriteBatch(const Batch& batch);
  // Handles an entry whose transaction failed: completes it with an error, or queues it again if
  // its outcome is unknown and its deadline has not passed.
  void RetryOrFail(const std::shared_ptr<PendingEntry>& entry, const Error& error);
  void Complete(const std::shared_ptr<PendingEntry>& entry, const Outcome<bool>& outcome);

  TransactionalStore* const store_;
  const Clock* const clock_;
  const std::function<void()> on_commit_failure_;
  absl::Mutex mutex_;
  absl::CondVar queued_;
  absl::CondVar completed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::shared_ptr<PendingEntry>> queue_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_SUBMISSION_WRITER_H_
