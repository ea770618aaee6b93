#ifndef POMELOTRAY_STATE_JOURNAL_RECORD_H_
#define POMELOTRAY_STATE_JOURNAL_RECORD_H_

#include <optional>
#include <string>
#include <variant>

#include "model/job.h"

namespace pomelotray {

// Creates a job or replaces its whole record.
struct JobUpsert {
  JobRecord job;
};

// Changes one task of a job, and the job's own state with it.
struct TaskUpdate {
  JobId job;
  TaskStatus status;
  JobState job_state = JobState::kQueued;
  std::string reason;
  std::optional<absl::Time> started_at;
  std::optional<absl::Time> finished_at;
};

// Removes a job that no caller may ask for any longer.
struct JobForget {
  JobId job;
};

using JournalRecord = std::variant<JobUpsert, TaskUpdate, JobForget>;

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_RECORD_H_
