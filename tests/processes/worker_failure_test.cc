#include <signal.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/processes/deployment.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);
constexpr char kWorker[] = "counter-cuenca-1";

void CheckHistory(const Deployment& deployment) {
  for (const Violation& violation : deployment.Check().violations) {
    BOOST_ERROR(violation);
  }
}

// Starts on one worker after `from`, by the worker's own events.
int StartsOn(const Deployment& deployment, const std::string& worker, absl::Time from) {
  int starts = 0;
  for (const Event& event : deployment.Events()) {
    starts += event.process == worker && event.code == EventCode::kTaskStarted &&
                      WallTime(event.time) > from
                  ? 1
                  : 0;
  }
  return starts;
}

BOOST_AUTO_TEST_SUITE(WorkerFailureTest)

// Guards against repeatable work that is lost with its worker, and against work that may not be
// repeated being run again or reported as not run.
BOOST_AUTO_TEST_CASE(KilledWorker) {
  Deployment deployment({"--task-lease=2s"});
  std::vector<std::string> repeatable;
  std::vector<std::string> once;
  for (int i = 0; i < 12; ++i) {
    repeatable.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", JobOf(absl::StrCat("repeatable-", i), "batch", 2000, true), kLimit));
    once.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", JobOf(absl::StrCat("once-", i), "batch", 2000, false), kLimit));
  }
  BOOST_REQUIRE(
      WaitUntil(kLimit, [&] { return StartsOn(deployment, kWorker, absl::InfinitePast()) > 4; }));
  deployment.Worker(kWorker)->Signal(SIGKILL);
  deployment.CallStandin("vmlist", "PATCH", absl::StrCat("/vms/", kWorker), {{"remove", true}});
  for (const std::string& job : repeatable) {
    BOOST_TEST(deployment.WaitForFinal("azogues-1", job, kLimit) == "succeeded");
  }
  int unknown = 0;
  for (const std::string& job : once) {
    const std::string state = deployment.WaitForFinal("azogues-1", job, kLimit);
    BOOST_TEST((state == "succeeded" || state == "unknown"), "a job ended as " << state);
    unknown += state == "unknown" ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(unknown << " jobs ended as unknown");
  CheckHistory(deployment);
}

// Guards against a worker that fails everything and draws all work, because it is always free.
BOOST_AUTO_TEST_CASE(WorkerThatFailsEverything) {
  Deployment deployment({}, /*failing_worker=*/true);
  std::vector<std::string> jobs;
  for (int i = 0; i < 40; ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", JobOf(absl::StrCat("job-", i), "batch", 100, true), kLimit));
    BOOST_TEST(!jobs.back().empty());
  }
  int failed = 0;
  for (const std::string& job : jobs) {
    const std::string state = deployment.WaitForFinal("azogues-1", job, kLimit);
    BOOST_TEST((state == "succeeded" || state == "failed"), "a job ended as " << state);
    failed += state == "failed" ? 1 : 0;
  }
  // A job fails after three failed attempts; the worker is quarantined after three in a row.
  BOOST_TEST(failed <= 1);
  int quarantined = 0;
  for (const Event& event : deployment.Events()) {
    quarantined += event.code == EventCode::kWorkerQuarantined ? 1 : 0;
  }
  BOOST_TEST(quarantined >= 1);
  CheckHistory(deployment);
}

// Guards against a drained worker that goes on getting work.
BOOST_AUTO_TEST_CASE(DrainedWorker) {
  Deployment deployment;
  const CommandResult drained = deployment.Cli("guayaquil-1", {"drain", kWorker});
  BOOST_TEST(drained.code == 0, drained.err);
  const absl::Time quiet = absl::Now() + absl::Seconds(5);
  std::vector<std::string> jobs;
  for (int i = 0; absl::Now() < quiet + absl::Seconds(1); ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", JobOf(absl::StrCat("job-", i), "batch", 100, i % 2 == 0), kLimit));
    BOOST_TEST(!jobs.back().empty());
    absl::SleepFor(absl::Milliseconds(100));
  }
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinal("azogues-1", job, kLimit) == "succeeded");
  }
  BOOST_TEST(StartsOn(deployment, kWorker, quiet) == 0);
  BOOST_TEST(StartsOn(deployment, "counter-cuenca-2", quiet) > 0);
  CheckHistory(deployment);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
