#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "tests/cell/job_identity_simulation.h"

namespace pomelotray {
namespace {

constexpr int kSeeds = 20;

int Setting(const char* name, int fallback) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? fallback : std::atoi(value);
}

BOOST_AUTO_TEST_SUITE(JobIdentityRunTest)

// Guards against two jobs of one id, accepted jobs that are unknown, jobs that start after their
// cancellation was acknowledged, clients that keep the ids of others, and entries that stay, while
// routes move, instances are behind, owners change and creations are carried out late.
BOOST_AUTO_TEST_CASE(IdsNameOneJobAndCancellationsHold) {
  const int first = Setting("POMELOTRAY_FAULT_FIRST_SEED", 1);
  const int count = Setting("POMELOTRAY_FAULT_SEEDS", kSeeds);
  int late_creations = 0;
  int withdrawals = 0;
  for (int seed = first; seed < first + count; ++seed) {
    JobIdentitySimulation run(static_cast<unsigned>(seed));
    const std::vector<std::string> violations = run.Run();
    BOOST_TEST(violations.empty());
    for (const std::string& violation : violations) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
    late_creations += run.late_creations();
    withdrawals += run.withdrawals();
  }
  if (count >= kSeeds) {
    BOOST_TEST(late_creations > 0);
    BOOST_TEST(withdrawals > 0);
  }
  BOOST_TEST_MESSAGE(count << " seeds: " << late_creations << " creations carried out late, "
                           << withdrawals << " cancellations of jobs that were not stored");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
