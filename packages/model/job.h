#ifndef POMELOTRAY_MODEL_JOB_H_
#define POMELOTRAY_MODEL_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/epoch.h"
#include "base/resources.h"
#include "base/shard_id.h"
#include "base/strong_id.h"

namespace pomelotray {

enum class JobKind { kBatch, kGang, kService };
enum class Priority { kNormal, kUrgent };

std::string_view JobKindName(JobKind kind);
std::optional<JobKind> ParseJobKind(std::string_view name);
std::string_view PriorityName(Priority priority);
std::optional<Priority> ParsePriority(std::string_view name);

// What a caller submits: durable work of one or more identical tasks.
struct JobSpec {
  CustomerId customer;
  IdempotencyKey key;
  JobKind kind = JobKind::kBatch;
  PoolName pool;
  int64_t task_count = 1;
  // Demand of each task.
  Resources demand;
  Priority priority = Priority::kNormal;
  // False for work that must run at most once.
  bool repeatable = true;
  // The job is useless when it has not finished by then. Services have no deadline.
  std::optional<absl::Time> deadline;
  // The caller's estimate of one task's run time; often far off.
  absl::Duration expected_run;
  // Passed to the worker unchanged, at most kMaxPayloadBytes.
  std::string payload;
};

inline constexpr int64_t kMaxPayloadBytes = 64 * 1024;
inline constexpr int64_t kMaxTasksPerJob = 512;

// Final states are those after kRunning.
enum class JobState {
  kQueued,
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled,
  // The deadline passed before a start; the job did not run.
  kExpired,
  // The job may have run; it is not run again.
  kUnknown,
};

std::string_view JobStateName(JobState state);
std::optional<JobState> ParseJobState(std::string_view name);
bool IsFinal(JobState state);

enum class TaskState { kQueued, kStarting, kRunning, kSucceeded, kFailed, kCancelled, kUnknown };

std::string_view TaskStateName(TaskState state);
std::optional<TaskState> ParseTaskState(std::string_view name);
bool IsFinal(TaskState state);

// Where a task is, as known to the shard's owner.
struct TaskStatus {
  TaskId task;
  TaskState state = TaskState::kQueued;
  // Number of starts sent so far; the attempt id is "<task>#<attempt_number>".
  int64_t attempt_number = 0;
  WorkerId worker;
  BootId boot;
  std::string result;
};

// The durable record of a job: what the journal holds and status calls show.
struct JobRecord {
  JobId id;
  JobSpec spec;
  JobState state = JobState::kQueued;
  // Why the job waits or how it ended, as a sentence.
  std::string reason;
  std::vector<TaskStatus> tasks;
  absl::Time accepted_at;
  std::optional<absl::Time> started_at;
  std::optional<absl::Time> finished_at;
};

// Derives the id from shard, customer and key, so that a repeated submission has the same id:
// "<domain>.<pool>.<32 hex digits>".
JobId MakeJobId(const ShardId& shard, const CustomerId& customer, const IdempotencyKey& key);
// The shard named in a job id, or nullopt for a malformed id.
std::optional<ShardId> ShardOfJob(const JobId& job);
// "<job>/<index>".
TaskId MakeTaskId(const JobId& job, int64_t index);
AttemptId MakeAttemptId(const TaskId& task, int64_t attempt_number);

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_JOB_H_
