#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "tests/cell/pool_simulation.h"

namespace pomelotray {
namespace {

constexpr int kSeeds = 20;

int Setting(const char* name, int fallback) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? fallback : std::atoi(value);
}

// Runs the simulation for all seeds and reports each violation with its seed.
void CheckSeeds(const PoolSimulation::Faults& faults) {
  const int first = Setting("POMELOTRAY_FAULT_FIRST_SEED", 1);
  const int count = Setting("POMELOTRAY_FAULT_SEEDS", kSeeds);
  int crashing_jobs = 0;
  int bystanders = 0;
  for (int seed = first; seed < first + count; ++seed) {
    PoolSimulation run(seed, faults);
    const std::vector<std::string> violations = run.Run();
    BOOST_TEST(violations.empty());
    for (const std::string& violation : violations) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
    crashing_jobs += run.crashing_jobs();
    bystanders += run.bystander_losses();
  }
  BOOST_TEST_MESSAGE(count << " seeds: " << crashing_jobs << " jobs with a crashing task, "
                           << bystanders << " losses of a worker by other tasks");
}

BOOST_AUTO_TEST_SUITE(PoolFaultRunTest)

// Guards against tasks that crash workers without end, and against giving up others, when no other
// fault occurs.
BOOST_AUTO_TEST_CASE(OnlyCrashingTasksAreGivenUp) {
  PoolSimulation::Faults faults;
  faults.worker_crashes = 0;
  faults.cut_offs = 0;
  faults.owner_changes = 0;
  faults.store_outages = 0;
  faults.capacity_changes = 0;
  CheckSeeds(faults);
}

// Guards against the same while workers crash and are cut off for other causes, owners change, the
// store is down and capacities change; and against starts beyond the capacity of a worker.
BOOST_AUTO_TEST_CASE(GuaranteesHoldWhileTasksCrashWorkers) { CheckSeeds(PoolSimulation::Faults()); }

// Guards against starts beyond a capacity that shrinks and grows while attempts run and are
// stopped.
BOOST_AUTO_TEST_CASE(CapacityHoldsWhileItChanges) {
  PoolSimulation::Faults faults;
  faults.crashing_jobs = 0;
  faults.capacity_changes = 60;
  CheckSeeds(faults);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
