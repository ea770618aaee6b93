#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "tests/cell/pool_simulation.h"

namespace pomelotray {
namespace {

constexpr int kSeeds = 20;

int Setting(const char* name, int fallback) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? fallback : std::atoi(value);
}

// Runs the simulation for all seeds and reports each violation with its seed.
void CheckSeeds(const PoolSimulation::Faults& faults,
                const PoolSimulation::Load& load = PoolSimulation::Load()) {
  const int first = Setting("POMELOTRAY_FAULT_FIRST_SEED", 1);
  const int count = Setting("POMELOTRAY_FAULT_SEEDS", kSeeds);
  int crashing_jobs = 0;
  int bystanders = 0;
  int restarts = 0;
  int checked_waits = 0;
  absl::Duration longest_wait;
  PoolSimulation::Trace trace;
  if (Setting("POMELOTRAY_FAULT_TRACE", 0) != 0) {
    trace = [](const std::string& line) { std::cerr << line << "\n"; };
  }
  for (int seed = first; seed < first + count; ++seed) {
    PoolSimulation run(seed, faults, load, trace);
    const std::vector<std::string> violations = run.Run();
    BOOST_TEST(violations.empty());
    for (const std::string& violation : violations) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
    crashing_jobs += run.crashing_jobs();
    bystanders += run.bystander_losses();
    restarts += run.long_running_restarts();
    checked_waits += run.checked_waits();
    longest_wait = std::max(longest_wait, run.longest_checked_wait());
  }
  // Fewer seeds, chosen to trace one, may have no such wait.
  if (load.check_waits && count >= kSeeds) {
    BOOST_TEST(checked_waits > 0);
  }
  BOOST_TEST_MESSAGE(count << " seeds: " << crashing_jobs << " jobs with a crashing task, "
                           << bystanders << " losses of a worker by other tasks, " << restarts
                           << " restarts of long-running tasks, " << checked_waits
                           << " checked waits, the longest " << absl::FormatDuration(longest_wait));
}

// Few faults apart from the waves, so that the check of waits, which allows for the time of each
// fault, applies for most of the run.
PoolSimulation::Faults FaultsWithCrashWaves() {
  PoolSimulation::Faults faults;
  faults.crashing_jobs = 0.01;
  faults.worker_crashes = 0.5;
  faults.crash_waves = 3;
  faults.cut_offs = 0.3;
  faults.owner_changes = 0.3;
  faults.store_outages = 0.2;
  faults.capacity_changes = 1;
  return faults;
}

PoolSimulation::Load ManyLongRunningTasks() {
  PoolSimulation::Load load;
  load.long_running_jobs = 8;
  load.wide_long_running_jobs = true;
  load.mixed_workers = true;
  load.check_waits = true;
  return load;
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

// Guards against long-running tasks that wait although workers have capacity for them, after waves
// of crashes and in a pool that other tasks keep busy.
BOOST_AUTO_TEST_CASE(LongRunningTasksRunWhileWorkersHaveCapacity) {
  CheckSeeds(FaultsWithCrashWaves(), ManyLongRunningTasks());
}

// Guards against the same while the adviser allows each step on a part of the workers only.
BOOST_AUTO_TEST_CASE(LongRunningTasksRunWhileAllowedWorkersHaveCapacity) {
  PoolSimulation::Load load = ManyLongRunningTasks();
  load.adviser = true;
  CheckSeeds(FaultsWithCrashWaves(), load);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
