#include "tests/soak/long_running_soak.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

constexpr char kSeeds[] = "1";

std::string Setting(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? fallback : value;
}

int NumberSetting(const char* name, int fallback) {
  return std::atoi(Setting(name, std::to_string(fallback)).c_str());
}

void Report(const std::string& name, const LongRunningSoak& run,
            const std::vector<std::string>& violations) {
  const std::vector<absl::Duration> gaps = run.gaps();
  BOOST_TEST_MESSAGE(
      name << ": " << gaps.size() << " restarts, the longest time without a run "
           << absl::FormatDuration(gaps.empty() ? absl::ZeroDuration() : gaps.front())
           << "; logs in " << run.folder());
  for (const std::string& violation : violations) {
    BOOST_ERROR(name << ": " << violation);
  }
}

// One long-running task on six workers.
LongRunningSoak::Limits SmallPool() {
  LongRunningSoak::Limits limits;
  limits.workers = 6;
  limits.long_running_jobs = 1;
  limits.tasks_per_job = 1;
  return limits;
}

BOOST_AUTO_TEST_SUITE(LongRunningSoakTest)

// Guards against long-running tasks that stay without a run although a worker could take them, and
// against tasks that run twice, while workers, instances and the store fail.
BOOST_AUTO_TEST_CASE(LongRunningTasksAreRestartedInTimeUnderFaults) {
  std::istringstream seeds(Setting("POMELOTRAY_SOAK_SEEDS", kSeeds));
  LongRunningSoak::Limits limits;
  limits.instances = NumberSetting("POMELOTRAY_SOAK_INSTANCES", limits.instances);
  limits.workers = NumberSetting("POMELOTRAY_SOAK_WORKERS", limits.workers);
  for (int seed = 0; seeds >> seed;) {
    LongRunningSoak run(seed, limits);
    const std::vector<std::string> violations = run.Run();
    Report(absl::StrCat("seed ", seed), run, violations);
  }
}

// Guards against a restart that is ordered from a worker that has stopped answering: the task then
// waited until that worker answered or its lease was over as well.
BOOST_AUTO_TEST_CASE(RestartIsNotOrderedFromASilentWorker) {
  LongRunningSoak::Limits limits = SmallPool();
  limits.short_jobs = false;
  LongRunningSoak run(24, limits);
  const std::vector<std::string> violations = run.RunLossBesideSilentWorker();
  Report("a silent worker", run, violations);
}

// Guards against a takeover that begins the wait for the lease of a lost worker anew.
BOOST_AUTO_TEST_CASE(TakeoverDoesNotRestartTheLease) {
  for (const absl::Duration kill : {absl::Seconds(3), absl::Milliseconds(5000)}) {
    LongRunningSoak run(23, SmallPool());
    const std::vector<std::string> violations = run.RunLossBeforeTakeovers({kill});
    Report(absl::StrCat("owner killed after ", absl::FormatDuration(kill)), run, violations);
  }
}

// Guards against workers that are never called again because they came back at another address.
BOOST_AUTO_TEST_CASE(WorkerIsUsedAtItsNewAddress) {
  LongRunningSoak run(23, SmallPool());
  const std::vector<std::string> violations = run.RunReturnAtOtherAddress();
  Report("a new address", run, violations);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
