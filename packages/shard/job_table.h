#ifndef POMELOTRAY_SHARD_JOB_TABLE_H_
#define POMELOTRAY_SHARD_JOB_TABLE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/job.h"

namespace pomelotray {

// Sequence number of a record that the journal refused. TaskLifecycle::RetryJournal() appends the
// record again. The number is larger than any other, so the record never counts as durable.
inline constexpr uint64_t kNotJournalled = std::numeric_limits<uint64_t>::max();

// A job's record and the state that its owner keeps in memory only.
struct TrackedJob {
  JobRecord record;
  // True once the record of the job's acceptance is durable. Until then the job is neither returned
  // to callers nor scheduled.
  bool accepted = false;
  // Journal sequence number of the record of the job's acceptance.
  uint64_t accepted_sequence = 0;
  // Journal sequence number of the latest task update of the job.
  uint64_t last_sequence = 0;
  // True when this owner read the job from the journal of an earlier owner.
  bool inherited = false;
  bool cancel_requested = false;
  // True while the remaining tasks of a gang are stopped because one of its tasks could not run.
  // The gang is queued again when all of them have stopped.
  bool gang_restarting = false;
  // Tasks for which a stop command has been sent.
  std::set<TaskId> stopping_tasks;
  // For each task, the number of the last attempt that was counted as a success of its worker
  // because of its run time.
  std::map<TaskId, int64_t> proven_attempts;
};

// A task and the job it belongs to. Valid until the job is removed from its JobTable.
struct TaskRef {
  TrackedJob* job = nullptr;
  TaskStatus* task = nullptr;
};

// All jobs of one shard, with an index of the starting and running tasks by worker. Not
// thread-safe.
class JobTable {
 public:
  TrackedJob* Insert(JobRecord record);
  TrackedJob* Find(const JobId& job);
  const TrackedJob* Find(const JobId& job) const;
  std::optional<TaskRef> FindTask(const TaskId& task);
  void Remove(const JobId& job);

  // Add the task to, or remove it from, the index of tasks by worker. To be called whenever a task
  // enters or leaves the states in which it occupies its worker.
  void AddToWorker(const TaskStatus& task);
  void RemoveFromWorker(const TaskStatus& task);
  std::vector<TaskId> TasksOn(const WorkerId& worker) const;

  const std::map<JobId, std::unique_ptr<TrackedJob>>& jobs() const { return jobs_; }
  // Returns the number of the customer's jobs that are not final.
  int64_t UnfinishedJobCount(const CustomerId& customer) const;

 private:
  std::map<JobId, std::unique_ptr<TrackedJob>> jobs_;
  std::map<WorkerId, std::set<TaskId>> tasks_by_worker_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_JOB_TABLE_H_
