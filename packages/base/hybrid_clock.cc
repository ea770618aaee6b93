#include "base/hybrid_clock.h"

#include <algorithm>

namespace pomelotray {
namespace {

constexpr int kLogicalBits = 16;

}  // namespace

HybridClock::HybridClock(const Clock* clock) : clock_(clock) {}

HybridTime HybridClock::Tick() {
  const int64_t physical = absl::ToUnixMicros(clock_->Now()) << kLogicalBits;
  absl::MutexLock lock(&mutex_);
  last_ = std::max(physical, last_ + 1);
  return HybridTime(last_);
}

void HybridClock::Observe(HybridTime remote) {
  absl::MutexLock lock(&mutex_);
  last_ = std::max(last_, remote.value());
}

}  // namespace pomelotray
