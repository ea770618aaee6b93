#ifndef POMELOTRAY_SHARD_WORKER_CLOCK_ESTIMATE_H_
#define POMELOTRAY_SHARD_WORKER_CLOCK_ESTIMATE_H_

#include "absl/time/time.h"

namespace pomelotray {

// Largest assumed difference between the rates of two clocks.
inline constexpr double kMaxClockDrift = 0.01;

// Bounds on a worker's clock, derived from one exchange with it and the drift bound.
class WorkerClockEstimate {
 public:
  // A command sent at `sent` was answered at `received` with the worker's clock.
  void Observe(absl::Time sent, absl::Time received, absl::Duration worker_clock);

  // The worker's clock at `now` shows at most this.
  absl::Duration LatestAt(absl::Time now) const;

  // The local time from which on the worker's clock certainly is past `worker_time`.
  absl::Time CertainlyPast(absl::Duration worker_time) const;

 private:
  absl::Time sent_;
  absl::Time received_;
  absl::Duration worker_clock_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_CLOCK_ESTIMATE_H_
