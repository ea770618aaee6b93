#include "base/clock.h"

namespace pomelotray {

void Clock::SleepFor(absl::Duration duration) const {
  absl::Mutex mutex;
  absl::CondVar never_signalled;
  const absl::Time deadline = Now() + duration;
  absl::MutexLock lock(&mutex);
  while (Now() < deadline) {
    WaitUntil(&never_signalled, &mutex, deadline);
  }
}

}  // namespace pomelotray
