#include "tests/state/state_fixture.h"

#include <chrono>
#include <thread>

namespace pomelotray {
namespace {

constexpr absl::Duration kClockStep = absl::Milliseconds(10);
// Longer than the polling interval of ManualClock, so that waiting threads observe each step.
constexpr std::chrono::microseconds kRealSleep(1500);

}  // namespace

bool StateFixture::AdvanceUntil(const std::function<bool()>& done, absl::Duration limit) {
  const absl::Time end = clock.Now() + limit;
  while (!done()) {
    if (clock.Now() >= end) {
      return false;
    }
    clock.Advance(kClockStep);
    std::this_thread::sleep_for(kRealSleep);
  }
  return true;
}

void StateFixture::AdvanceBy(absl::Duration duration) {
  AdvanceUntil([] { return false; }, duration);
}

StoreFault StoreFaultSequence::Next() {
  if (next_ >= numbers_.size()) {
    return StoreFault::kNone;
  }
  switch (numbers_[next_++] % 9) {
    case 6:
      return StoreFault::kDown;
    case 7:
      return StoreFault::kRequestLost;
    case 8:
      return StoreFault::kAnswerLost;
    default:
      return StoreFault::kNone;
  }
}

}  // namespace pomelotray
