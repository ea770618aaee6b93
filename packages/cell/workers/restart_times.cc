#include "cell/workers/restart_times.h"

#include <algorithm>

namespace pomelotray {

void RestartTimes::Begin(absl::Time ended, absl::Time known) {
  if (!active()) {
    ended_ = ended;
    known_ = known;
  }
}

void RestartTimes::Ordered(absl::Time now, absl::Time asked, absl::Time received) {
  if (orders_ == 0) {
    first_ordered_ = now;
    advice_ = std::max(received - std::max(asked, known_), absl::ZeroDuration());
  }
  ++orders_;
}

void RestartTimes::Describe(EventBuilder* event, absl::Time confirmed) const {
  event->With("without_run_ms", absl::ToInt64Milliseconds(confirmed - ended_))
      .With("lease_ms", absl::ToInt64Milliseconds(known_ - ended_))
      .With("rules_ms", absl::ToInt64Milliseconds(first_ordered_ - known_ - advice_))
      .With("advice_ms", absl::ToInt64Milliseconds(advice_))
      .With("order_ms", absl::ToInt64Milliseconds(confirmed - first_ordered_))
      .With("orders", orders_);
}

}  // namespace pomelotray
