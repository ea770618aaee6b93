#ifndef POMELOTRAY_CELL_INTAKE_JOB_REGISTRY_H_
#define POMELOTRAY_CELL_INTAKE_JOB_REGISTRY_H_

#include <functional>
#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/token_bucket.h"
#include "cell/cell_job.h"
#include "cell/intake/caller_authorization.h"
#include "cell/intake/entry_creation.h"
#include "cell/records/job_id_record.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// A job to be stored.
struct NewJob {
  JobId id;
  // The part that is to hold the job if its id is free.
  PartName part;
  // The stored form of the job (EncodeIntake()).
  std::string intake;
};

enum class Registration {
  kCreated,
  // The id names a job that the caller may see: an earlier request for the same job.
  kKnown,
  // The id names a job that the caller may not see.
  kInUse,
  // The job was cancelled before it was stored. It is not stored and will never run.
  kWithdrawn,
};

// Decides which job an id names, and stores jobs and cancellations accordingly. The decision is
// made by the store: every transaction that creates or cancels a job has a condition on the id's
// entry (JobIdRecord). Uses this instance's access to the store only. Thread-safe.
class JobRegistry {
 public:
  // Called after this instance has created an entry that the owner of the part reads.
  using EntryCreated = std::function<void(const PartName&, const NewEntry&)>;

  JobRegistry(TransactionalStore* store, EntryWriter* writer, const Clock* clock, EventLog* events,
              EntryCreated entry_created);

  // Errors: kStoreUnavailable if this call has stored nothing and never will; kOutcomeUnknown if
  // the job may be stored, by this call or an earlier one.
  Result<Registration> Register(const NewJob& job, const CallerRights& caller,
                                const CreationLimits& limits);
  // Stores the cancellation of a job and returns true. If there is no job with the id that the
  // caller may see, makes sure that none is stored later that the caller could cancel, and returns
  // false: it withdraws the id for the retention of jobs, which is longer than any creation may be
  // under way. `expected_part` is where a job is that has no entry for its id, and the part whose
  // owner removes the withdrawal. Errors: kStoreUnavailable if nothing is stored and never
  // will be, kOutcomeUnknown if something may be, kOverloaded if too many ids without a job are
  // cancelled.
  Result<bool> Cancel(const JobId& id, const PartName& expected_part, const CallerRights& caller,
                      const CreationLimits& limits);
  // Returns what the store has about the id, or no value.
  Result<std::optional<JobIdRecord>> Find(const JobId& id);
  // Reads the state of a job from the entries of the part. No value if it has none.
  Result<std::optional<JobStatus>> StatusInPart(const PartName& part, const JobId& id);

 private:
  struct FoundRecord {
    JobIdRecord record;
    Revision revision;
  };
  // Why a job could not be created: because of what the id names, or because it was withdrawn by
  // other customers. Neither if the reason is gone.
  struct Conflict {
    std::optional<Registration> answer;
    std::optional<FoundRecord> withdrawal;
  };
  // The job that a cancellation is about.
  struct CancelledJob {
    PartName part;
    CustomerId customer;
    // Revision of the id's entry; no value if the job has none.
    std::optional<Revision> id_revision;
  };

  Result<std::optional<FoundRecord>> Read(const JobId& id);
  // Returns the creation of a job that replaces a withdrawal of its id, if one is given.
  static EntryCreation CreationOf(const NewJob& job, const CallerRights& caller,
                                  const std::optional<FoundRecord>& withdrawal);
  Result<Conflict> ExplainConflict(const NewJob& job, const CallerRights& caller);
  // Returns the job that the id names, if there is one. `look_in_part`: also the job without an
  // entry for its id in the expected part.
  Result<std::optional<CancelledJob>> FindCancelledJob(const JobId& id,
                                                       const std::optional<FoundRecord>& found,
                                                       const PartName& expected_part,
                                                       bool look_in_part);
  // Creates the entry of a cancellation. Returns false if it exists or the job's entry has changed.
  Result<bool> CreateCancel(const JobId& id, const CancelledJob& job, const CreationLimits& limits);
  // Withdraws the id, also if it is withdrawn already: the entry has to outlive creations that are
  // under way now. Returns false if the entry has changed.
  Result<bool> Withdraw(const JobId& id, const PartName& expected_part, const CallerRights& caller,
                        const std::optional<FoundRecord>& found, const CreationLimits& limits);

  TransactionalStore* const store_;
  EntryWriter* const writer_;
  const Clock* const clock_;
  EventLog* const events_;
  const EntryCreated entry_created_;
  absl::Mutex mutex_;
  TokenBucket withdrawals_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_JOB_REGISTRY_H_
