#include "shard/submission.h"

#include "model/job_codec.h"

namespace pomelotray {

JobRecord NewJobRecord(const ShardId& shard, const JobSpec& spec, absl::Time now) {
  JobRecord record;
  record.id = MakeJobId(shard, spec.customer, spec.key);
  record.spec = spec;
  record.accepted_at = now;
  for (int64_t index = 0; index < spec.task_count; ++index) {
    TaskStatus task;
    task.task = MakeTaskId(record.id, index);
    record.tasks.push_back(task);
  }
  return record;
}

bool IsSameSubmission(JobSpec a, JobSpec b) {
  a.deadline.reset();
  b.deadline.reset();
  return JobSpecToJson(a) == JobSpecToJson(b);
}

Error StoreUnavailableError() {
  return Error{
      ErrorKind::kStoreUnavailable,
      "The store does not accept writes at present. The job was not run; submit it again later.",
      kStoreRetryAfter};
}

}  // namespace pomelotray
