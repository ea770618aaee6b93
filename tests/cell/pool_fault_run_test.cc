#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "tests/cell/pool_simulation.h"

namespace pomelotray {
namespace {

constexpr int kSeeds = 20;
// About 25 jobs of short tasks end per second in a full pool, and each waits for about a second for
// the adviser.
constexpr int kShortJobs = 50;

int Setting(const char* name, int fallback) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? fallback : std::atoi(value);
}

// Runs the simulation for the given seeds and reports each violation with its seed.
void CheckSeedsFrom(int first, int count, const PoolSimulation::Faults& faults,
                    const PoolSimulation::Load& load) {
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

// Runs the simulation for all seeds.
void CheckSeeds(const PoolSimulation::Faults& faults,
                const PoolSimulation::Load& load = PoolSimulation::Load()) {
  CheckSeedsFrom(Setting("POMELOTRAY_FAULT_FIRST_SEED", 1),
                 Setting("POMELOTRAY_FAULT_SEEDS", kSeeds), faults, load);
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

// Waves of different sizes, and workers that leave, shrink and are lost for good.
PoolSimulation::Faults FaultsWithWorkerChanges() {
  PoolSimulation::Faults faults = FaultsWithCrashWaves();
  faults.min_wave_percent = 14;
  faults.max_wave_percent = 40;
  faults.owner_changes = 0;
  faults.departures = 1.5;
  faults.shrinks = 1.5;
  faults.final_losses = 1.5;
  return faults;
}

PoolSimulation::Load ManyLongRunningTasksWithSlowAdviser() {
  PoolSimulation::Load load = ManyLongRunningTasks();
  load.adviser = true;
  load.slow_adviser = true;
  load.strict_waits = true;
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

// Guards against a count of pending jobs that goes by what the owner has ordered, not by what the
// workers have started, while orders are refused and lost, workers are lost and owners change.
BOOST_AUTO_TEST_CASE(PendingJobsAreThoseWithoutAStart) {
  PoolSimulation::Faults faults;
  faults.worker_crashes = 8;
  faults.cut_offs = 8;
  faults.owner_changes = 5;
  faults.refusals = 8;
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

// Guards against the waits of suspected tasks that these seeds of the case above showed: all
// allowed workers with capacity run other work, so that none is ever open to the task.
BOOST_AUTO_TEST_CASE(SuspectedTasksRunWhileAllowedWorkersHaveCapacity) {
  PoolSimulation::Load load = ManyLongRunningTasks();
  load.adviser = true;
  for (const int seed : {55, 117}) {
    CheckSeedsFrom(seed, 1, FaultsWithCrashWaves(), load);
  }
}

// Guards against long-running tasks that wait because short tasks take the capacity of the allowed
// workers whenever some becomes free, in particular while the adviser answers.
BOOST_AUTO_TEST_CASE(LongRunningTasksRunInAPoolFullOfShortTasks) {
  PoolSimulation::Faults faults = FaultsWithCrashWaves();
  faults.owner_changes = 0;
  PoolSimulation::Load load = ManyLongRunningTasksWithSlowAdviser();
  load.short_jobs = kShortJobs;
  CheckSeeds(faults, load);
}

// Guards against long-running tasks that wait although one allowed worker has capacity, while the
// workers that may run them crash in waves, leave, shrink and are lost for good.
BOOST_AUTO_TEST_CASE(LongRunningTasksRunWhileWorkersComeAndGo) {
  CheckSeeds(FaultsWithWorkerChanges(), ManyLongRunningTasksWithSlowAdviser());
}

// Guards against the same when the wait of a task starts anew with each owner.
BOOST_AUTO_TEST_CASE(LongRunningTasksRunWhileWorkersAndOwnersChange) {
  PoolSimulation::Faults faults = FaultsWithWorkerChanges();
  faults.owner_changes = 2;
  CheckSeeds(faults, ManyLongRunningTasksWithSlowAdviser());
}

// Guards against a second run of a task after a planned stop of the owner, which lists attempts
// that are being stopped because their starts were not answered, their gang is broken or their job
// was cancelled.
BOOST_AUTO_TEST_CASE(PlannedStopsOfOwnersRepeatNoTask) {
  PoolSimulation::Faults faults;
  faults.worker_crashes = 2;
  faults.owner_changes = 1;
  faults.planned_stops = 12;
  faults.lost_answers = 0.05;
  CheckSeeds(faults);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
