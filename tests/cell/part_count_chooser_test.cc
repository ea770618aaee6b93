#include "cell/part_count_chooser.h"

#include <boost/test/unit_test.hpp>

namespace pomelotray {
namespace {

const PoolName kPool("rendering");
const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

BOOST_AUTO_TEST_SUITE(PartCountChooserTest)

// Guards against refused callers while a new pool waits for all of its workers.
BOOST_AUTO_TEST_CASE(FirstWorkerIsEnough) {
  PartCountChooser chooser;
  BOOST_TEST(chooser.Choose(kPool, 3, kStart).value_or(0) == 1);
}

// Guards against a part with too few workers for a wide step: the largest deployment of the design
// is one part.
BOOST_AUTO_TEST_CASE(LargestDeploymentIsOnePart) {
  PartCountChooser chooser;
  BOOST_TEST(chooser.Choose(kPool, 350, kStart).value_or(0) == 1);
  BOOST_TEST(chooser.Choose(kPool, 1000, kStart).value_or(0) == 3);
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
