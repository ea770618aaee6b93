#ifndef POMELOTRAY_SCHEDULER_WAIT_ESTIMATOR_H_
#define POMELOTRAY_SCHEDULER_WAIT_ESTIMATOR_H_

#include <string>

#include "absl/time/time.h"
#include "base/error.h"
#include "model/job.h"
#include "scheduler/scheduler_state.h"

namespace pomelotray {

// Answers questions about work that is not placed yet: whether it can ever be, how long it will
// wait, and why it waits.
class WaitEstimator {
 public:
  explicit WaitEstimator(const SchedulerState* state) : state_(state) {}

  Result<void> CheckPlaceable(const JobSpec& spec) const;
  Result<void> Admit(const JobSpec& spec) const;
  absl::Duration ExpectedWait(const JobSpec& spec) const;
  std::string WaitReason(const QueuedJob& job) const;

 private:
  bool FitsNow(const JobSpec& spec) const;
  // Wait behind the queued work when capacity is shared by weight.
  absl::Duration BacklogWait(const JobSpec& spec) const;
  absl::Duration TimeToNextEnd(const JobSpec& spec) const;
  absl::Duration Jitter(absl::Duration around) const;

  const SchedulerState* state_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_WAIT_ESTIMATOR_H_
