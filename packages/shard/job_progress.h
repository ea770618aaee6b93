#ifndef POMELOTRAY_SHARD_JOB_PROGRESS_H_
#define POMELOTRAY_SHARD_JOB_PROGRESS_H_

#include <optional>
#include <string>

#include "shard/job_table.h"

namespace pomelotray {

// True while the task is starting or running, so that its resources on a worker are in use.
bool OccupiesWorker(const TaskStatus& task);

// State of a job and the reason for it, as a sentence for the caller.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::string reason;
};

// Computes the job's state and reason from the states of its tasks.
JobProgress DeriveProgress(const TrackedJob& job);

// True when the job is final and was never started. Callers are then told that it was not run.
bool EndedWithoutRun(const JobRecord& record);

// Reason of a job whose cancellation is not complete. It is stored in the journal; a new owner that
// reads it continues the cancellation.
inline constexpr char kStoppingReason[] = "The job is being stopped.";

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_JOB_PROGRESS_H_
