#ifndef POMELOTRAY_CELL_RECORDS_JOB_RECORD_H_
#define POMELOTRAY_CELL_RECORDS_JOB_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "cell/cell_job.h"

namespace pomelotray {

// A progress record that the owner of a pool part writes to the store for one job.
struct ProgressRecord {
  JobId job;
  int64_t version = 0;
  std::string text;
  // State shown to callers once the record is stored.
  CellJobState state = CellJobState::kQueued;
  // The store has an earlier progress record of the job, or a cancellation request for it.
  bool has_stored_progress = false;
  bool has_stored_cancel = false;

  // Number of keys in the store that writing the record changes.
  size_t EntryCount() const {
    return IsFinal(state) ? size_t{2} + (has_stored_progress ? 1 : 0) + (has_stored_cancel ? 1 : 0)
                          : size_t{1};
  }
};

std::string_view CellJobStateName(CellJobState state);

// Returns whether the id can be part of a task name and of a key: up to 64 letters, digits, '-' and
// '_'.
bool IsStorableJobId(const JobId& id);

// Converts an accepted job to and from its stored form (JSON). Decoding fails for jobs that no
// version has accepted, for example with a step that depends on itself.
std::string EncodeIntake(const JobIntake& intake);
Result<JobIntake> DecodeIntake(const JobId& id, const std::string& text);
// Decodes only the customer from a stored job; empty if the job has none.
Result<CustomerId> DecodeIntakeCustomer(const std::string& text);

// Returns the stored form of a job's progress (JSON): its state, its customer and, unless the
// state is final, the results of all step runs that have any.
std::string EncodeProgress(const CellJob& job);
// Decodes the intake `text` of a job that a new owner takes over. `progress` is the job's stored
// progress, or empty if there is none. The result for a job in a final state contains only the id
// and the customer, since such a job is only listed and purged. A new owner finds hundreds of
// finished jobs; decoding all of their intakes delayed the first starts by half a second. Fails for
// an unfinished job whose progress ApplyProgress() would refuse: its finished tasks must not run
// again.
Result<JobIntake> DecodeInheritedIntake(const JobId& id, const std::string& text,
                                        const std::string& progress);
// Applies stored progress to a job created by MakeCellJob(). On failure the job is unchanged.
Result<void> ApplyProgress(const std::string& text, CellJob* job);
// Decodes only the job's state and customer from stored progress.
Result<JobStatus> DecodeJobStatus(const std::string& text);

// A worker on which attempts of the pool part may be running. The owner stores these entries,
// called the roster, for the next owner.
struct RosterEntry {
  WorkerDescription worker;
  // The worker is unreachable: no more attempts are started on it, and only those in `attempts` can
  // be running on it or have ended there without their end being stored.
  bool unreachable = false;
  // For an unreachable worker and for one that has not reported to this owner: all leases that any
  // owner has granted there are over within this time after the entry was written. No owner extends
  // them before a later roster that it has stored has no such value for the worker. No value if the
  // leases are being extended.
  std::optional<absl::Duration> lease_left;
  // For an unreachable worker: for how long it had not answered when the entry was written.
  absl::Duration unreachable_for;
  // Term of the owner that wrote the entry during a clean shutdown, else 0. When that owner
  // released the pool part, the same holds for this worker. Only the owner of the next term may
  // rely on this; later owners may not, because the owner in between starts further attempts.
  int64_t handover_term = 0;
  std::vector<AttemptKey> attempts;
  // The subset of `attempts` that is being stopped.
  std::vector<AttemptKey> stopping;
  // The subset of `attempts` that were ordered, but of which the worker has not said that they have
  // begun.
  std::vector<AttemptKey> unconfirmed;
};

// Converts the roster of a pool part to and from its stored form (JSON). Decoding fails if any row
// cannot be read: tasks may be running on the worker that the row describes.
std::string EncodeRoster(const std::vector<RosterEntry>& roster);
// Returns the stored form without the durations, which change with the time of writing only.
std::string EncodeRosterWithoutTimes(std::vector<RosterEntry> roster);
Result<std::vector<RosterEntry>> DecodeRoster(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RECORDS_JOB_RECORD_H_
