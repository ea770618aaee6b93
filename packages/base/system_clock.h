#ifndef POMELOTRAY_BASE_SYSTEM_CLOCK_H_
#define POMELOTRAY_BASE_SYSTEM_CLOCK_H_

#include <chrono>

#include "base/clock.h"

namespace pomelotray {

// Wall time read once at construction and advanced by the monotonic clock, so that leases are not
// affected when the wall clock is set.
class SystemClock : public Clock {
 public:
  SystemClock();

  absl::Time Now() const override;
  bool WaitUntil(absl::CondVar* cond, absl::Mutex* mutex, absl::Time deadline) const override;

 private:
  const absl::Time wall_start_;
  const std::chrono::steady_clock::time_point steady_start_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_SYSTEM_CLOCK_H_
