#include "base/hybrid_clock.h"

#include "base/manual_clock.h"
#include "boost/test/unit_test.hpp"

namespace pomelotray {
namespace {

BOOST_AUTO_TEST_SUITE(HybridClockTest)

// Guards against stamps of the present that overflow 64 bits: a 16-bit counter below microseconds
// left 47 bits, which overflow in June 1974.
BOOST_AUTO_TEST_CASE(StampsKeepTheWallTimeOfThisCentury) {
  for (const int64_t year : {2026, 2040}) {
    const absl::Time now =
        absl::FromCivil(absl::CivilYear(year), absl::UTCTimeZone()) + absl::Microseconds(7);
    const ManualClock clock(now);
    HybridClock hybrid(&clock);
    BOOST_TEST((WallTime(hybrid.Tick()) == now));
  }
}

// Guards against two events of one process that share a stamp while the clock stands still.
BOOST_AUTO_TEST_CASE(StampsRiseWhileTheClockStandsStill) {
  const ManualClock clock;
  HybridClock hybrid(&clock);
  const HybridTime first = hybrid.Tick();
  BOOST_TEST((first < hybrid.Tick()));
}

// Guards against an effect that is ordered before its cause on a process with a later clock.
BOOST_AUTO_TEST_CASE(StampsFollowObservedOnes) {
  const ManualClock clock;
  HybridClock hybrid(&clock);
  const HybridTime remote = EarliestStamp(clock.Now() + absl::Seconds(3));
  hybrid.Observe(remote);
  BOOST_TEST((remote < hybrid.Tick()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
