#include "base/manual_clock.h"

namespace pomelotray {
namespace {

// Real time between two looks at the manual clock while waiting. Polling avoids a registry of
// waiters, whose lifetime would have to be tied to that of every waiting thread.
constexpr absl::Duration kPollInterval = absl::Milliseconds(1);

}  // namespace

ManualClock::ManualClock(absl::Time start) : now_(start) {}

absl::Time ManualClock::Now() const {
  absl::MutexLock lock(&mutex_);
  return now_;
}

bool ManualClock::WaitUntil(absl::CondVar* cond, absl::Mutex* mutex, absl::Time deadline) const {
  if (Now() >= deadline) {
    return true;
  }
  // A signal that comes while the poll has timed out but does not hold the mutex yet would be lost,
  // so the end of a poll counts as a spurious wake-up.
  cond->WaitWithTimeout(mutex, kPollInterval);
  return Now() >= deadline;
}

void ManualClock::Advance(absl::Duration duration) {
  absl::MutexLock lock(&mutex_);
  now_ += duration;
}

}  // namespace pomelotray
