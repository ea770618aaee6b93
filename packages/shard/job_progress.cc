#include "shard/job_progress.h"

#include <algorithm>
#include <set>

namespace pomelotray {

bool OccupiesWorker(const TaskStatus& task) {
  return task.state == TaskState::kStarting || task.state == TaskState::kRunning;
}

JobProgress DeriveProgress(const TrackedJob& job) {
  std::set<TaskState> states;
  for (const TaskStatus& task : job.record.tasks) {
    states.insert(task.state);
  }
  const bool all_final =
      std::all_of(states.begin(), states.end(), [](TaskState state) { return IsFinal(state); });
  if (!all_final) {
    const bool active = states.count(TaskState::kStarting) + states.count(TaskState::kRunning) > 0;
    return {active ? JobState::kRunning : JobState::kQueued,
            job.cancel_requested ? kStoppingReason : ""};
  }
  if (states.count(TaskState::kUnknown) > 0) {
    return {JobState::kUnknown,
            "The job may have run and is not run again. Check its effects before submitting it "
            "with a new idempotency key."};
  }
  if (states.count(TaskState::kFailed) > 0) {
    return {JobState::kFailed, "A task failed; see the result of the task for the cause."};
  }
  if (states.count(TaskState::kCancelled) > 0) {
    return {JobState::kCancelled, job.record.started_at.has_value()
                                      ? "The job was cancelled after it had started."
                                      : "The job was cancelled; it was not run."};
  }
  return {JobState::kSucceeded, ""};
}

bool EndedWithoutRun(const JobRecord& record) {
  return record.state == JobState::kExpired ||
         (record.state == JobState::kCancelled && !record.started_at.has_value());
}

}  // namespace pomelotray
