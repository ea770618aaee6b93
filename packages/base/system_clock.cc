#include "base/system_clock.h"

#include "absl/time/clock.h"

namespace pomelotray {

SystemClock::SystemClock()
    : wall_start_(absl::Now()), steady_start_(std::chrono::steady_clock::now()) {}

absl::Time SystemClock::Now() const {
  return wall_start_ + absl::FromChrono(std::chrono::steady_clock::now() - steady_start_);
}

bool SystemClock::WaitUntil(absl::CondVar* cond, absl::Mutex* mutex, absl::Time deadline) const {
  const absl::Duration remaining = deadline - Now();
  if (remaining <= absl::ZeroDuration()) {
    return true;
  }
  return cond->WaitWithTimeout(mutex, remaining);
}

}  // namespace pomelotray
