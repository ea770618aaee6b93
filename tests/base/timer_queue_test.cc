#include "base/timer_queue.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/synchronization/notification.h"
#include "base/manual_clock.h"

namespace pomelotray {
namespace {

BOOST_AUTO_TEST_SUITE(TimerQueueTest)

// Guards against a task that runs before its time, or in another order.
BOOST_AUTO_TEST_CASE(TasksRunAtTheirTimes) {
  ManualClock clock;
  TimerQueue timers(&clock);
  std::string order;
  absl::Notification first;
  absl::Notification last;
  timers.RunAfter(absl::Seconds(2), [&] {
    order += "b";
    last.Notify();
  });
  timers.RunAfter(absl::Seconds(1), [&] {
    order += "a";
    first.Notify();
  });
  clock.Advance(absl::Seconds(1));
  first.WaitForNotification();
  BOOST_TEST(!last.HasBeenNotified());
  clock.Advance(absl::Seconds(1));
  last.WaitForNotification();
  BOOST_TEST(order == "ab");
}

// Guards against a process that waits at its end for timers of the far future, or runs them.
BOOST_AUTO_TEST_CASE(TasksThatAreNotDueNeverRun) {
  ManualClock clock;
  std::atomic<int> runs{0};
  {
    TimerQueue timers(&clock);
    timers.RunAfter(absl::Hours(1), [&runs] { ++runs; });
  }
  BOOST_TEST(runs.load() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
