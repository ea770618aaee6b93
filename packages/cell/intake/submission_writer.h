#ifndef POMELOTRAY_CELL_INTAKE_SUBMISSION_WRITER_H_
#define POMELOTRAY_CELL_INTAKE_SUBMISSION_WRITER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "cell/intake/entry_creation.h"
#include "cell/store/store_availability.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Creates entries in the store and batches the entries of concurrent callers into one transaction.
// Creation is idempotent: a creation whose entries exist already changes nothing, so a caller may
// repeat a request at any instance. One transaction is in progress at a time, and none is sent
// while the store is known to be unavailable. An outage therefore leaves the outcome of a single
// transaction unknown; the entries that arrive after it wait unsent and are either refused or
// written once the store is back.
class SubmissionWriter : public EntryWriter {
 public:
  SubmissionWriter(TransactionalStore* store, const Clock* clock, StoreAvailability* availability);
  ~SubmissionWriter() override;

  // Errors: kStoreUnavailable also if the entries were not sent within `limits.max_wait`;
  // kOutcomeUnknown if the deadline has passed after they were sent.
  Result<bool> Create(const EntryCreation& creation, const CreationLimits& limits) override;
  void Stop();

 private:
  struct PendingCreation {
    EntryCreation creation;
    // The creation is refused if it has not been sent by then.
    absl::Time send_by;
    absl::Time deadline;
    // A transaction with these entries was sent and its outcome is not known.
    bool maybe_written = false;
    bool done = false;
    Outcome<bool> outcome = false;
  };
  using Batch = std::vector<std::shared_ptr<PendingCreation>>;

  void Run();
  // Removes the matching entries from the queue and completes them as refused, or as unknown if
  // they were sent before.
  void ReturnUnsent(const std::function<bool(const PendingCreation&)>& matches)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // The error of an entry that is taken from the queue.
  static Error UnsentError(const PendingCreation& entry);
  static Error UnknownOutcomeError();
  // Returns whether an entry can be sent now.
  bool MaySend() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Batch TakeBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Outcome<Revision> Commit(const Batch& batch);
  void WriteBatch(const Batch& batch);
  // Handles an entry whose transaction failed: completes it with an error, or queues it again if
  // its outcome is unknown and its deadline has not passed.
  void RetryOrFail(const std::shared_ptr<PendingCreation>& entry, const Error& error);
  void Complete(const std::shared_ptr<PendingCreation>& entry, const Outcome<bool>& outcome);

  TransactionalStore* const store_;
  const Clock* const clock_;
  StoreAvailability* const availability_;
  absl::Mutex mutex_;
  absl::CondVar queued_;
  absl::CondVar completed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::shared_ptr<PendingCreation>> queue_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_SUBMISSION_WRITER_H_
