#include "shard/worker_clock_estimate.h"

#include <algorithm>

namespace pomelotray {

void WorkerClockEstimate::Observe(absl::Time sent, absl::Time received,
                                  absl::Duration worker_clock) {
  sent_ = sent;
  received_ = received;
  worker_clock_ = worker_clock;
}

absl::Duration WorkerClockEstimate::UpperBoundAt(absl::Time now) const {
  return worker_clock_ + (now - sent_) * (1 + kMaxClockDrift);
}

absl::Time WorkerClockEstimate::GuaranteedPastFrom(absl::Duration worker_time) const {
  const absl::Duration remaining = std::max(absl::ZeroDuration(), worker_time - worker_clock_);
  return received_ + remaining / (1 - kMaxClockDrift);
}

}  // namespace pomelotray
