#ifndef POMELOTRAY_SHARD_WORKER_CLOCK_ESTIMATE_H_
#define POMELOTRAY_SHARD_WORKER_CLOCK_ESTIMATE_H_

#include "absl/time/time.h"

namespace pomelotray {

// Largest assumed relative difference between the rates of two clocks.
inline constexpr double kMaxClockDrift = 0.01;

// Computes bounds on the time shown by a worker's clock, from the latest reading of that clock and
// the maximum clock drift.
class WorkerClockEstimate {
 public:
  // Records a reading of the worker's clock. The command that read it was sent at the local time
  // `sent`, and its answer arrived at the local time `received`.
  void Observe(absl::Time sent, absl::Time received, absl::Duration worker_clock);

  // Returns an upper bound on what the worker's clock shows at the local time `now`.
  absl::Duration UpperBoundAt(absl::Time now) const;

  // Returns the local time after which the worker's clock is guaranteed to be past `worker_time`.
  absl::Time GuaranteedPastFrom(absl::Duration worker_time) const;

 private:
  absl::Time sent_;
  absl::Time received_;
  absl::Duration worker_clock_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_CLOCK_ESTIMATE_H_
