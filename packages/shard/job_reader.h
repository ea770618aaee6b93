#ifndef POMELOTRAY_SHARD_JOB_READER_H_
#define POMELOTRAY_SHARD_JOB_READER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ports/admin_service.h"
#include "scheduler/shard_scheduler.h"
#include "shard/job_table.h"
#include "shard/worker_table.h"
#include "state/journal.h"

namespace pomelotray {

// Read access to the jobs and workers of a shard's owner, in the form that is returned to callers.
// Not thread-safe: ShardOwner holds its mutex during each call.
class JobReader {
 public:
  struct Context {
    ShardId shard;
    const JobTable* jobs = nullptr;
    const WorkerTable* worker_table = nullptr;
    const ShardScheduler* scheduler = nullptr;
    const Journal* journal = nullptr;
    // Tasks that may not be repeated and are not started while the store is unavailable, because
    // the intent to start them cannot be made durable.
    const std::set<TaskId>* tasks_awaiting_store = nullptr;
    const bool* takeover_complete = nullptr;
  };

  explicit JobReader(const Context& context) : context_(context) {}

  // Returns the job's record. A queued job's record contains the reason why the job waits; a final
  // job is returned as running until its final state is durable.
  JobRecord VisibleRecord(const TrackedJob& job) const;
  // Returns the accepted jobs that are not final, of one customer or of all.
  std::vector<JobRecord> UnfinishedJobs(const std::optional<CustomerId>& customer) const;
  std::vector<WorkerStatus> Workers() const;

 private:
  std::string WaitReason(const TrackedJob& job) const;

  const Context context_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_JOB_READER_H_
