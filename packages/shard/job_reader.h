#ifndef POMELOTRAY_SHARD_JOB_READER_H_
#define POMELOTRAY_SHARD_JOB_READER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ports/admin_service.h"
#include "scheduler/shard_scheduler.h"
#include "shard/job_table.h"
#include "shard/worker_roster.h"
#include "state/journal.h"

namespace pomelotray {

// Shows an owner's jobs and workers as callers may see them. Not thread-safe: the shard's owner
// locks.
class JobReader {
 public:
  struct Context {
    ShardId shard;
    const JobTable* jobs = nullptr;
    const WorkerRoster* roster = nullptr;
    const ShardScheduler* scheduler = nullptr;
    const Journal* journal = nullptr;
    // Tasks held because their intent cannot become durable now.
    const std::set<TaskId>* held_for_store = nullptr;
    const bool* takeover_complete = nullptr;
  };

  explicit JobReader(const Context& context) : context_(context) {}

  // The record with the reason why it waits. An end that is not durable yet is not shown.
  JobRecord Visible(const TrackedJob& job) const;
  std::vector<JobRecord> LiveJobs(const std::optional<CustomerId>& customer) const;
  std::vector<WorkerStatus> Workers() const;

 private:
  std::string WaitReason(const TrackedJob& job) const;

  const Context context_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_JOB_READER_H_
