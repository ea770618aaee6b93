#ifndef POMELOTRAY_SHARD_JOB_PROGRESS_H_
#define POMELOTRAY_SHARD_JOB_PROGRESS_H_

#include <optional>
#include <string>

#include "shard/job_table.h"

namespace pomelotray {

// True while the task is on a worker, or on its way to one.
bool OccupiesWorker(const TaskStatus& task);

// A job's state and its reason, as a sentence.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::string reason;
};

// Derives the job's progress from the states of its tasks.
JobProgress DeriveProgress(const TrackedJob& job);

// True when the caller is told that the job was not run.
bool EndedWithoutRun(const JobRecord& record);

// Marks a job in the journal whose cancellation is not complete.
inline constexpr char kStoppingReason[] = "The job is being stopped.";

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_JOB_PROGRESS_H_
