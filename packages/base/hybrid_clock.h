#ifndef POMELOTRAY_BASE_HYBRID_CLOCK_H_
#define POMELOTRAY_BASE_HYBRID_CLOCK_H_

#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "base/clock.h"
#include "base/strong_number.h"

namespace pomelotray {

// Hybrid logical time: microseconds since the Unix epoch, times 4096, plus a counter. 51 bits of
// microseconds last until 2041. An event that could have caused another always has the smaller
// stamp.
using HybridTime = StrongNumber<struct HybridTimeTag>;

// The wall time of a stamp, without the counter.
absl::Time WallTime(HybridTime time);
// The smallest stamp of a wall time.
HybridTime EarliestStamp(absl::Time time);

// Issues hybrid logical time stamps for one process. Every message between processes carries a
// stamp, which the receiver passes to Observe().
class HybridClock {
 public:
  explicit HybridClock(const Clock* clock);

  // Returns a stamp greater than all stamps issued or observed so far.
  HybridTime Tick();
  // Merges a stamp received from another process.
  void Observe(HybridTime remote);

 private:
  const Clock* const clock_;
  absl::Mutex mutex_;
  int64_t last_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_HYBRID_CLOCK_H_
