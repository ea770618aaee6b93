#include "model/job.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "model/sha256.h"

namespace pomelotray {
namespace {

template <typename E>
struct Named {
  E value;
  std::string_view name;
};

constexpr std::array<Named<JobKind>, 3> kJobKinds = {
    {{JobKind::kBatch, "batch"}, {JobKind::kGang, "gang"}, {JobKind::kService, "service"}}};
constexpr std::array<Named<Priority>, 2> kPriorities = {
    {{Priority::kNormal, "normal"}, {Priority::kUrgent, "urgent"}}};
constexpr std::array<Named<JobState>, 7> kJobStates = {{{JobState::kQueued, "queued"},
                                                        {JobState::kRunning, "running"},
                                                        {JobState::kSucceeded, "succeeded"},
                                                        {JobState::kFailed, "failed"},
                                                        {JobState::kCancelled, "cancelled"},
                                                        {JobState::kExpired, "expired"},
                                                        {JobState::kUnknown, "unknown"}}};
constexpr std::array<Named<TaskState>, 7> kTaskStates = {{{TaskState::kQueued, "queued"},
                                                          {TaskState::kStarting, "starting"},
                                                          {TaskState::kRunning, "running"},
                                                          {TaskState::kSucceeded, "succeeded"},
                                                          {TaskState::kFailed, "failed"},
                                                          {TaskState::kCancelled, "cancelled"},
                                                          {TaskState::kUnknown, "unknown"}}};

template <typename E, size_t N>
std::string_view NameOf(const std::array<Named<E>, N>& names, E value) {
  for (const Named<E>& entry : names) {
    if (entry.value == value) {
      return entry.name;
    }
  }
  return "";
}

template <typename E, size_t N>
std::optional<E> ValueOf(const std::array<Named<E>, N>& names, std::string_view name) {
  for (const Named<E>& entry : names) {
    if (entry.name == name) {
      return entry.value;
    }
  }
  return std::nullopt;
}

// Hex digits of the hash kept in a job id: 128 bits make a collision of two keys practically
// impossible.
constexpr size_t kJobHashDigits = 32;

}  // namespace

std::string_view JobKindName(JobKind kind) { return NameOf(kJobKinds, kind); }
std::optional<JobKind> ParseJobKind(std::string_view name) { return ValueOf(kJobKinds, name); }
std::string_view PriorityName(Priority priority) { return NameOf(kPriorities, priority); }
std::optional<Priority> ParsePriority(std::string_view name) { return ValueOf(kPriorities, name); }
std::string_view JobStateName(JobState state) { return NameOf(kJobStates, state); }
std::optional<JobState> ParseJobState(std::string_view name) { return ValueOf(kJobStates, name); }
bool IsFinal(JobState state) { return state != JobState::kQueued && state != JobState::kRunning; }
std::string_view TaskStateName(TaskState state) { return NameOf(kTaskStates, state); }
std::optional<TaskState> ParseTaskState(std::string_view name) {
  return ValueOf(kTaskStates, name);
}
bool IsFinal(TaskState state) {
  return state != TaskState::kQueued && state != TaskState::kStarting &&
         state != TaskState::kRunning;
}

JobId MakeJobId(const ShardId& shard, const CustomerId& customer, const IdempotencyKey& key) {
  // The length prefix keeps ("a", "bc") and ("ab", "c") apart.
  const std::string identity =
      absl::StrCat(customer.value().size(), ":", customer.value(), key.value());
  return JobId(absl::StrCat(shard.domain.value(), ".", shard.pool.value(), ".",
                            Sha256Hex(identity).substr(0, kJobHashDigits)));
}

std::optional<ShardId> ShardOfJob(const JobId& job) {
  const std::vector<std::string> parts = absl::StrSplit(job.value(), '.');
  if (parts.size() != 3 || parts[0].empty() || parts[1].empty() ||
      parts[2].size() != kJobHashDigits) {
    return std::nullopt;
  }
  return ShardId{FailureDomainId(parts[0]), PoolName(parts[1])};
}

TaskId MakeTaskId(const JobId& job, int64_t index) {
  return TaskId(absl::StrCat(job.value(), "/", index));
}

AttemptId MakeAttemptId(const TaskId& task, int64_t attempt_number) {
  return AttemptId(absl::StrCat(task.value(), "#", attempt_number));
}

}  // namespace pomelotray
