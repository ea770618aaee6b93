#include <atomic>
#include <thread>

#include "base/hybrid_clock.h"
#include "base/manual_clock.h"
#include "base/system_clock.h"
#include "boost/test/unit_test.hpp"

namespace pomelotray {
namespace {

BOOST_AUTO_TEST_SUITE(ClockTest)

// Guards against a wait that ends although the paused clock has not reached the deadline.
BOOST_AUTO_TEST_CASE(ManualClockWakesWaiterOnlyWhenAdvanced) {
  ManualClock clock;
  const absl::Time deadline = clock.Now() + absl::Seconds(5);
  std::atomic<bool> woke{false};
  std::thread waiter([&clock, &woke, deadline] {
    absl::Mutex mutex;
    absl::CondVar never_signalled;
    absl::MutexLock lock(&mutex);
    while (!clock.WaitUntil(&never_signalled, &mutex, deadline)) {
    }
    woke = true;
  });
  clock.Advance(absl::Seconds(5) - absl::Nanoseconds(1));
  BOOST_TEST(!woke);
  clock.Advance(absl::Nanoseconds(1));
  waiter.join();
  BOOST_TEST(woke);
}

// Guards against timestamps that go backwards after a stamp from a process whose clock is ahead.
BOOST_AUTO_TEST_CASE(HybridClockStaysAheadOfObservedStamps) {
  ManualClock clock;
  HybridClock hybrid(&clock);
  const HybridTime first = hybrid.Tick();
  const HybridTime remote = first + HybridTime(1 << 30);
  hybrid.Observe(remote);
  BOOST_TEST((hybrid.Tick() > remote));
  hybrid.Observe(first);
  BOOST_TEST((hybrid.Tick() > remote));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
