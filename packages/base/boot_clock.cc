#include "base/boot_clock.h"

#include <ctime>

#include "absl/time/clock.h"

namespace pomelotray {
namespace {

absl::Duration SinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return absl::DurationFromTimespec(time);
}

}  // namespace

BootClock::BootClock() : wall_start_(absl::Now()), boot_start_(SinceBoot()) {}

absl::Time BootClock::Now() const { return wall_start_ + (SinceBoot() - boot_start_); }

bool BootClock::WaitUntil(absl::CondVar* cond, absl::Mutex* mutex, absl::Time deadline) const {
  const absl::Duration remaining = deadline - Now();
  if (remaining <= absl::ZeroDuration()) {
    return true;
  }
  return cond->WaitWithTimeout(mutex, remaining);
}

}  // namespace pomelotray
