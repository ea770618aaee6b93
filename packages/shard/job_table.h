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

// Sequence of a record that the journal had no room for; it is appended again later.
inline constexpr uint64_t kNotJournalled = std::numeric_limits<uint64_t>::max();

// A job with what its owner keeps in memory only.
struct TrackedJob {
  JobRecord record;
  // False until the accepted record is durable; the job is not shown and not placed before.
  bool accepted = false;
  // Journal sequence of the accepted record.
  uint64_t accepted_sequence = 0;
  // Journal sequence of the latest record about the job.
  uint64_t last_sequence = 0;
  // Read from the journal after a claim.
  bool inherited = false;
  bool cancel_requested = false;
  // A gang of which one task could not start: all tasks are stopped before it is queued again.
  bool restarting = false;
  // Tasks that were asked to stop.
  std::set<TaskId> stopping;
};

// A task of a tracked job. Valid until the job is removed.
struct TaskRef {
  TrackedJob* job = nullptr;
  TaskStatus* task = nullptr;
};

// All jobs of one shard, with an index of the tasks that occupy each worker. Not thread-safe.
class JobTable {
 public:
  TrackedJob* Insert(JobRecord record);
  TrackedJob* Find(const JobId& job);
  const TrackedJob* Find(const JobId& job) const;
  std::optional<TaskRef> FindTask(const TaskId& task);
  void Remove(const JobId& job);

  // Keeps the index of occupied workers; called whenever a task starts to occupy a worker or leaves
  // it.
  void Occupy(const TaskStatus& task);
  void Vacate(const TaskStatus& task);
  std::vector<TaskId> TasksOn(const WorkerId& worker) const;

  const std::map<JobId, std::unique_ptr<TrackedJob>>& jobs() const { return jobs_; }
  // Jobs of the customer that are not final.
  int64_t LiveJobs(const CustomerId& customer) const;

 private:
  std::map<JobId, std::unique_ptr<TrackedJob>> jobs_;
  std::map<WorkerId, std::set<TaskId>> tasks_by_worker_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_JOB_TABLE_H_
