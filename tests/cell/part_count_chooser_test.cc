#include "cell/part_count_chooser.h"

#include <boost/test/unit_test.hpp>

namespace pomelotray {
namespace {

const PoolName kPool("rendering");
const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

BOOST_AUTO_TEST_SUITE(PartCountChooserTest)

// Readings of the directory are this far apart.
constexpr absl::Duration kReading = absl::Milliseconds(500);

// Guards against refused callers of a new pool whose workers are known: the second reading decides.
BOOST_AUTO_TEST_CASE(UnchangedNumberOfWorkersIsTaken) {
  PartCountChooser chooser;
  BOOST_TEST(!chooser.Choose(kPool, 3, kStart).has_value());
  BOOST_TEST(chooser.Choose(kPool, 3, kStart + kReading).value_or(0) == 1);
}

// Guards against one owner for thousands of workers (hot spot): they announce themselves over 1.5
// s, and the first reading sees a few of them.
BOOST_AUTO_TEST_CASE(WorkersThatStartTogetherAreAllCounted) {
  PartCountChooser chooser;
  size_t announced = 5;
  for (int reading = 0; reading < 3; ++reading, announced += 1000) {
    BOOST_TEST(!chooser.Choose(kPool, announced, kStart + reading * kReading).has_value());
  }
  BOOST_TEST(!chooser.Choose(kPool, 3000, kStart + 3 * kReading).has_value());
  BOOST_TEST(chooser.Choose(kPool, 3000, kStart + 4 * kReading).value_or(0) == 8);
}

// Guards against a pool that is never set up because its workers come and go.
BOOST_AUTO_TEST_CASE(ChangingNumberIsTakenAfterAWhile) {
  PartCountChooser chooser;
  for (int reading = 0; reading < 4; ++reading) {
    BOOST_TEST(!chooser.Choose(kPool, 10U + reading, kStart + reading * kReading).has_value());
  }
  BOOST_TEST(chooser.Choose(kPool, 20, kStart + 4 * kReading).value_or(0) == 1);
}

// Guards against a part with too few workers for a wide step: the largest deployment of the design
// is one part.
BOOST_AUTO_TEST_CASE(LargestDeploymentIsOnePart) {
  PartCountChooser chooser;
  BOOST_TEST(!chooser.Choose(kPool, 350, kStart).has_value());
  BOOST_TEST(chooser.Choose(kPool, 350, kStart + kReading).value_or(0) == 1);
  const PoolName larger("larger");
  BOOST_TEST(!chooser.Choose(larger, 1000, kStart).has_value());
  BOOST_TEST(chooser.Choose(larger, 1000, kStart + kReading).value_or(0) == 3);
}

// Guards against a pool without workers that is never set up, which would refuse its jobs for good.
BOOST_AUTO_TEST_CASE(PoolWithoutWorkersIsSetUpAfterAWhile) {
  PartCountChooser chooser;
  BOOST_TEST(!chooser.Choose(kPool, 0, kStart).has_value());
  BOOST_TEST(!chooser.Choose(kPool, 0, kStart + absl::Seconds(1)).has_value());
  BOOST_TEST(chooser.Choose(kPool, 0, kStart + absl::Seconds(2)).value_or(0) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
