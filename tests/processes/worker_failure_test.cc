#include <signal.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/processes/deployment.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(20);
constexpr char kWorker[] = "counter-cuenca-1";

void CheckHistory(const Deployment& deployment) {
  for (const Violation& violation : deployment.Check().violations) {
    BOOST_ERROR(violation);
  }
}

// Returns how many task starts the worker itself has recorded after `from`.
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

// Guards against repeatable jobs that are lost with their worker, and against jobs that are not
// repeatable but run again or are reported as not run.
BOOST_AUTO_TEST_CASE(KilledWorker) {
  Deployment deployment({"--task-lease=2s"});
  std::vector<std::string> repeatable;
  std::vector<std::string> once;
  for (int i = 0; i < 12; ++i) {
    repeatable.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("repeatable-", i), "batch", 2000, true),
        kTimeout));
    once.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("once-", i), "batch", 2000, false), kTimeout));
  }
  BOOST_REQUIRE(
      WaitUntil(kTimeout, [&] { return StartsOn(deployment, kWorker, absl::InfinitePast()) > 4; }));
  deployment.Worker(kWorker)->Signal(SIGKILL);
  deployment.CallStandin("vmlist", "PATCH", absl::StrCat("/vms/", kWorker), {{"remove", true}});
  for (const std::string& job : repeatable) {
    BOOST_TEST(deployment.WaitForFinalState("azogues-1", job, kTimeout) == "succeeded");
  }
  int unknown = 0;
  for (const std::string& job : once) {
    const std::string state = deployment.WaitForFinalState("azogues-1", job, kTimeout);
    BOOST_TEST((state == "succeeded" || state == "unknown"), "a job ended as " << state);
    unknown += state == "unknown" ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(unknown << " jobs ended as unknown");
  CheckHistory(deployment);
}

// Guards against a worker that fails every task immediately and, being always free, attracts all
// tasks.
BOOST_AUTO_TEST_CASE(WorkerThatFailsAllTasks) {
  Deployment deployment({}, /*failing_worker=*/true);
  std::vector<std::string> jobs;
  for (int i = 0; i < 40; ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("job-", i), "batch", 100, true), kTimeout));
    BOOST_TEST(!jobs.back().empty());
  }
  int failed = 0;
  for (const std::string& job : jobs) {
    const std::string state = deployment.WaitForFinalState("azogues-1", job, kTimeout);
    BOOST_TEST((state == "succeeded" || state == "failed"), "a job ended as " << state);
    failed += state == "failed" ? 1 : 0;
  }
  // A job fails after three failed attempts. A worker is quarantined after three failures in a row,
  // so at most one job is expected to fail.
  BOOST_TEST(failed <= 1);
  int quarantined = 0;
  for (const Event& event : deployment.Events()) {
    quarantined += event.code == EventCode::kWorkerQuarantined ? 1 : 0;
  }
  BOOST_TEST(quarantined >= 1);
  CheckHistory(deployment);
}

// Guards against a drained worker that still receives tasks.
BOOST_AUTO_TEST_CASE(DrainedWorker) {
  Deployment deployment;
  const CommandResult drained = deployment.RunCli("guayaquil-1", {"drain", kWorker});
  BOOST_TEST(drained.code == 0, drained.err);
  const absl::Time drain_deadline = absl::Now() + absl::Seconds(5);
  std::vector<std::string> jobs;
  for (int i = 0; absl::Now() < drain_deadline + absl::Seconds(1); ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("job-", i), "batch", 100, i % 2 == 0), kTimeout));
    BOOST_TEST(!jobs.back().empty());
    absl::SleepFor(absl::Milliseconds(100));
  }
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinalState("azogues-1", job, kTimeout) == "succeeded");
  }
  BOOST_TEST(StartsOn(deployment, kWorker, drain_deadline) == 0);
  BOOST_TEST(StartsOn(deployment, "counter-cuenca-2", drain_deadline) > 0);
  CheckHistory(deployment);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
