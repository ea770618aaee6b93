#ifndef POMELOTRAY_TESTS_CELL_EVENTUALLY_H_
#define POMELOTRAY_TESTS_CELL_EVENTUALLY_H_

#include <functional>

#include "base/system_clock.h"

namespace pomelotray {

// Polls until `condition` holds, and returns false if it does not within the timeout. The timeout
// is far above the few seconds that any condition needs, so no test depends on the machine's speed.
inline bool Eventually(const std::function<bool()>& condition) {
  constexpr absl::Duration kTimeout = absl::Seconds(60);
  constexpr absl::Duration kPollInterval = absl::Milliseconds(5);
  const SystemClock clock;
  const absl::Time end = clock.Now() + kTimeout;
  while (clock.Now() < end) {
    if (condition()) {
      return true;
    }
    clock.SleepFor(kPollInterval);
  }
  return false;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_EVENTUALLY_H_
