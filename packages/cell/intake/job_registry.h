#ifndef POMELOTRAY_CELL_INTAKE_JOB_REGISTRY_H_
#define POMELOTRAY_CELL_INTAKE_JOB_REGISTRY_H_

#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
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
};

// Decides which job an id names, and stores jobs and cancellations accordingly. The decision is
// made by the store: every transaction that creates or cancels a job has a condition on the id's
// entry (JobIdRecord). Uses this instance's access to the store only. Thread-safe.
class JobRegistry {
 public:
  // Called after this instance has created an entry that the owner of the part reads.
  using EntryCreated = std::function<void(const PartName&, const NewEntry&)>;

  JobRegistry(TransactionalStore* store, EntryWriter* writer, EventLog* events,
              EntryCreated entry_created);

  // Errors: kStoreUnavailable if this call has not stored the job and never will, and the id named
  // no job; kOutcomeUnknown if the job may be stored.
  Result<Registration> Register(const NewJob& job, const CallerRights& caller,
                                const CreationLimits& limits);
  // Stores the cancellation of a job. Returns false if there is no job with the id that the caller
  // may see. `expected_part` is where a job is that has no entry for its id. Errors:
  // kStoreUnavailable if the cancellation is not stored and never will be, kOutcomeUnknown if it
  // may be.
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

  Result<std::optional<FoundRecord>> Read(const JobId& id);
  // Finds out which job has prevented the creation of this one. No value if none is there any more.
  Result<std::optional<Registration>> ExplainConflict(const NewJob& job,
                                                      const CallerRights& caller);
  // Creates the entry of a cancellation. Returns false if it exists or the condition does not hold.
  Result<bool> CreateCancel(const JobId& id, const PartName& part,
                            std::optional<Revision> id_revision, const CreationLimits& limits);

  TransactionalStore* const store_;
  EntryWriter* const writer_;
  EventLog* const events_;
  const EntryCreated entry_created_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_JOB_REGISTRY_H_
