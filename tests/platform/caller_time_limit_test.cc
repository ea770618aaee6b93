#include <boost/test/unit_test.hpp>

#include "platform/caller_server.h"

namespace pomelotray::platform {
namespace {

BOOST_AUTO_TEST_SUITE(CallerTimeLimitTest)

// Guards against deadlines in the infinite future, which cannot be sent to other instances.
BOOST_AUTO_TEST_CASE(OddDeadlinesAreReplacedOrCut) {
  const absl::Duration usual = CallerTimeLimit("");
  BOOST_TEST((usual > absl::ZeroDuration() && usual < absl::Minutes(1)));
  for (const char* header : {"nan", "-inf", "-1", "0", "x", "80x"}) {
    BOOST_TEST_CONTEXT(header) { BOOST_TEST((CallerTimeLimit(header) == usual)); }
  }
  for (const char* header : {"inf", "1e300", "1e999", "18446744073709551615"}) {
    BOOST_TEST_CONTEXT(header) {
      BOOST_TEST((CallerTimeLimit(header) < absl::InfiniteDuration() / 1000));
      BOOST_TEST((CallerTimeLimit(header) <= absl::Hours(24)));
    }
  }
  BOOST_TEST((CallerTimeLimit("2500.5") == absl::Microseconds(2'500'500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
