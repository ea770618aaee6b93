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
#include "cell/new_entry.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Creates entries in the store, several callers' entries in one transaction. An entry that exists
// already counts as written, so the same request may arrive again at any instance.
class SubmissionWriter {
 public:
  // `failed` is told about each transaction that the store did not carry out or not answer.
  SubmissionWriter(TransactionalStore* store, const Clock* clock, std::function<void()> failed);
  ~SubmissionWriter();

  // Returns once the entry, or its successor, is stored; true when this call created it, false when
  // it existed or may have. Errors: kStoreUnavailable when it
  // certainly is not and never will be, kOutcomeUnknown when `deadline` passed and it may be
  // written yet.
  Result<bool> Create(const NewEntry& entry, absl::Time deadline);
  void Stop();

 private:
  struct Entry {
    NewEntry created;
    absl::Time deadline;
    // A transaction with this entry was sent and not answered.
    bool maybe_written = false;
    bool done = false;
    Outcome<bool> outcome = false;
  };
  using Batch = std::vector<std::shared_ptr<Entry>>;

  void Run();
  Batch TakeBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Outcome<Revision> Commit(const Batch& batch);
  void WriteBatch(const Batch& batch);
  // Settles an entry whose transaction failed, or queues it again.
  void Retry(const std::shared_ptr<Entry>& entry, const Error& error);
  void Settle(const std::shared_ptr<Entry>& entry, const Outcome<bool>& outcome);

  TransactionalStore* const store_;
  const Clock* const clock_;
  const std::function<void()> failed_;
  absl::Mutex mutex_;
  absl::CondVar queued_;
  absl::CondVar settled_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::shared_ptr<Entry>> queue_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_SUBMISSION_WRITER_H_
