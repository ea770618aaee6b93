#ifndef POMELOTRAY_SHARD_SUBMISSION_H_
#define POMELOTRAY_SHARD_SUBMISSION_H_

#include "absl/time/time.h"
#include "base/error.h"
#include "base/shard_id.h"
#include "model/job.h"

namespace pomelotray {

// The record of a job that has just been submitted.
JobRecord NewJobRecord(const ShardId& shard, const JobSpec& spec, absl::Time now);

// True when both submissions ask for the same work. A caller that repeats a submission may compute
// its deadline anew, so deadlines are not compared.
bool SameWork(JobSpec a, JobSpec b);

// The refusal of a job that cannot become durable now and was not run.
Error StoreRefusal();

// When a caller may try again after an answer that depends on the store.
inline constexpr absl::Duration kStoreRetryAfter = absl::Seconds(2);

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_SUBMISSION_H_
