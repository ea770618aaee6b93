#include "tests/state/state_fixture.h"

#include <chrono>
#include <thread>

namespace pomelotray {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
// Longer than the paused clock's polling interval, so that waiting threads notice each step.
constexpr std::chrono::microseconds kRealStep(1500);

}  // namespace

bool StateFixture::AdvanceUntil(const std::function<bool()>& done, absl::Duration limit) {
  const absl::Time end = clock.Now() + limit;
  while (!done()) {
    if (clock.Now() >= end) {
      return false;
    }
    clock.Advance(kStep);
    std::this_thread::sleep_for(kRealStep);
  }
  return true;
}

void StateFixture::Run(absl::Duration duration) {
  AdvanceUntil([] { return false; }, duration);
}

StoreFault FaultScript::Next() {
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
