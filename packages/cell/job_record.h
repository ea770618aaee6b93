#ifndef POMELOTRAY_CELL_JOB_RECORD_H_
#define POMELOTRAY_CELL_JOB_RECORD_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "cell/cell_job.h"

namespace pomelotray {

// What an owner stores about a job's progress.
struct ProgressRecord {
  JobId job;
  int64_t version = 0;
  std::string text;
  // Callers may be told this state once the record is stored.
  CellJobState state = CellJobState::kQueued;
  // The store holds an earlier record of the job, or an order to cancel it.
  bool has_stored_progress = false;
  bool has_stored_cancel = false;

  // Keys that the record changes in the store.
  size_t EntryCount() const {
    return IsFinal(state) ? size_t{2} + (has_stored_progress ? 1 : 0) + (has_stored_cancel ? 1 : 0)
                          : size_t{1};
  }
};

std::string_view CellJobStateName(CellJobState state);

// Stored form of an accepted job (JSON).
std::string EncodeIntake(const JobIntake& intake);
Result<JobIntake> DecodeIntake(const JobId& id, const std::string& text);

// Stored form of a job's progress (JSON): the state and, while it is not final, each step run that
// has results.
std::string EncodeProgress(const CellJob& job);
// The intake of a job whose stored progress is `progress` (empty: none). A finished job is only
// shown and purged, so its intake has the id alone: a new owner finds hundreds of them, and reading
// their descriptions took it half a second in which nothing started.
Result<JobIntake> DecodeInherited(const JobId& id, const std::string& text,
                                  const std::string& progress);
// Applies a stored progress to a job that MakeCellJob() built.
Result<void> ApplyProgress(const std::string& text, CellJob* job);
// The state alone.
Result<CellJobState> DecodeProgressState(const std::string& text);

// A worker on which tasks of the pool may run, as a later owner has to know it.
struct RosterEntry {
  WorkerDescription worker;
  // Unreachable: nothing starts there any more, and nothing but `attempts` can run there.
  bool frozen = false;
  // The term of an owner that stopped in order: when it gave up its claim, nothing but `attempts`
  // could run there. The owner of the next term may rely on it; later ones may not, since that
  // owner starts more. 0: written by an owner that went on.
  int64_t handed_over_by = 0;
  std::vector<AttemptKey> attempts;
  // Those of `attempts` that are being stopped.
  std::vector<AttemptKey> stopping;
};

// Stored form of the roster (JSON).
std::string EncodeRoster(const std::vector<RosterEntry>& roster);
Result<std::vector<RosterEntry>> DecodeRoster(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_JOB_RECORD_H_
