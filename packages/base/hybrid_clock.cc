#include "base/hybrid_clock.h"

#include <algorithm>

namespace pomelotray {
namespace {

// Stamps per microsecond.
constexpr int64_t kStampsPerMicro = 4096;

}  // namespace

absl::Time WallTime(HybridTime time) {
  return absl::FromUnixMicros(time.value() / kStampsPerMicro);
}

HybridTime EarliestStamp(absl::Time time) {
  return HybridTime(absl::ToUnixMicros(time) * kStampsPerMicro);
}

HybridClock::HybridClock(const Clock* clock) : clock_(clock) {}

HybridTime HybridClock::Tick() {
  const int64_t physical = EarliestStamp(clock_->Now()).value();
  absl::MutexLock lock(&mutex_);
  last_ = std::max(physical, last_ + 1);
  return HybridTime(last_);
}

void HybridClock::Observe(HybridTime remote) {
  absl::MutexLock lock(&mutex_);
  last_ = std::max(last_, remote.value());
}

}  // namespace pomelotray
