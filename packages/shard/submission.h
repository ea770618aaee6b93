#ifndef POMELOTRAY_SHARD_SUBMISSION_H_
#define POMELOTRAY_SHARD_SUBMISSION_H_

#include "absl/time/time.h"
#include "base/error.h"
#include "base/shard_id.h"
#include "model/job.h"

namespace pomelotray {

// Creates the record of a newly submitted job, with one queued task per requested task.
JobRecord NewJobRecord(const ShardId& shard, const JobSpec& spec, absl::Time now);

// True when both specifications are equal except for their deadlines. A caller that retries a
// submission may compute a new deadline, so deadlines are not compared.
bool IsSameSubmission(JobSpec a, JobSpec b);

// Error for a job that is refused because its record cannot be made durable at present. The job was
// not run.
Error StoreUnavailableError();

// Delay after which a caller may retry a request that failed because of the store.
inline constexpr absl::Duration kStoreRetryAfter = absl::Seconds(2);

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_SUBMISSION_H_
