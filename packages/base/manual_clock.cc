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
  while (Now() < deadline) {
    if (!cond->WaitWithTimeout(mutex, kPollInterval)) {
      return false;
    }
  }
  return true;
}

void ManualClock::Advance(absl::Duration duration) {
  absl::MutexLock lock(&mutex_);
  now_ += duration;
}

}  // namespace pomelotray
