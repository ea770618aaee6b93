#ifndef POMELOTRAY_SCHEDULER_WAIT_ESTIMATOR_H_
#define POMELOTRAY_SCHEDULER_WAIT_ESTIMATOR_H_

#include <string>

#include "absl/time/time.h"
#include "base/error.h"
#include "model/job.h"
#include "scheduler/scheduler_state.h"

namespace pomelotray {

// Estimates for jobs that are not placed yet: whether they can be placed at all, how long they will
// wait, and why they wait.
class WaitEstimator {
 public:
  explicit WaitEstimator(const SchedulerState* state) : state_(state) {}

  Result<void> CheckPlaceable(const JobSpec& spec) const;
  Result<void> Admit(const JobSpec& spec) const;
  absl::Duration ExpectedWait(const JobSpec& spec) const;
  std::string WaitReason(const QueuedJob& job) const;

 private:
  bool FitsNow(const JobSpec& spec) const;
  // Expected wait behind the queued tasks if capacity is shared by customer weight.
  absl::Duration BacklogWait(const JobSpec& spec) const;
  // Expected time until one of the running tasks ends.
  absl::Duration TimeToNextEnd(const JobSpec& spec) const;
  // Limits the duration to the allowed range of retry_after and randomizes it by up to 50%, so that
  // clients do not all retry at the same time.
  absl::Duration Jitter(absl::Duration around) const;

  const SchedulerState* state_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_WAIT_ESTIMATOR_H_
