#ifndef POMELOTRAY_STATE_JOURNAL_RECORD_H_
#define POMELOTRAY_STATE_JOURNAL_RECORD_H_

#include <optional>
#include <string>
#include <variant>

#include "model/job.h"

namespace pomelotray {

// Creates a job or replaces its entire record.
struct JobUpsert {
  JobRecord job;
};

// Updates one task of a job together with the state of the job.
struct TaskUpdate {
  JobId job;
  TaskStatus status;
  JobState job_state = JobState::kQueued;
  std::string reason;
  std::optional<absl::Time> started_at;
  std::optional<absl::Time> finished_at;
};

// Removes a job whose status callers can no longer query.
struct JobRemoval {
  JobId job;
};

using JournalRecord = std::variant<JobUpsert, TaskUpdate, JobRemoval>;

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_RECORD_H_
