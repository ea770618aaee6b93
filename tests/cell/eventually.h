#ifndef POMELOTRAY_TESTS_CELL_EVENTUALLY_H_
#define POMELOTRAY_TESTS_CELL_EVENTUALLY_H_

#include <functional>

#include "base/system_clock.h"

namespace pomelotray {

// Waits for something that takes seconds at most; no test asserts a time.
inline bool Eventually(const std::function<bool()>& condition) {
  constexpr absl::Duration kPatience = absl::Seconds(60);
  constexpr absl::Duration kPoll = absl::Milliseconds(5);
  const SystemClock clock;
  const absl::Time end = clock.Now() + kPatience;
  while (clock.Now() < end) {
    if (condition()) {
      return true;
    }
    clock.SleepFor(kPoll);
  }
  return false;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_EVENTUALLY_H_
