#include <signal.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/processes/deployment.h"

namespace pomelotray {
namespace {

constexpr char kShard[] = "cuenca/counter";
constexpr absl::Duration kTimeout = absl::Seconds(20);
// Longer than the instance lease of 3 s, the owner lease of 5 s and the task lease of 3 s.
constexpr absl::Duration kPause = absl::Seconds(6);
constexpr absl::Duration kObservationTime = absl::Seconds(2);
// The workers have room for 32 tasks, so some jobs are still queued when the owner is paused.
constexpr int kJobs = 44;

std::string EpochTerm(const Event& event) {
  const auto it = event.fields.find(event_field::kEpoch);
  return it == event.fields.end() ? "" : it->second.substr(0, it->second.find('.'));
}

BOOST_AUTO_TEST_SUITE(PausedOwnerTest)

// Guards against an owner that resumes after all of its leases have expired and starts the jobs
// that are still in its queue.
BOOST_AUTO_TEST_CASE(ResumedOwnerStartsNoTask) {
  Deployment deployment({"--task-lease=3s"});
  const std::optional<OwnerView> first = deployment.Owner(kShard);
  BOOST_REQUIRE(first.has_value());
  std::vector<std::string> jobs;
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("job-", i), "batch", 1500, i % 2 == 0), kTimeout));
    BOOST_TEST(!jobs.back().empty());
  }
  deployment.Instance(first->instance)->Signal(SIGSTOP);
  absl::SleepFor(kPause);
  const std::optional<OwnerView> second =
      deployment.WaitForOtherOwner(kShard, first->instance, kTimeout);
  BOOST_REQUIRE(second.has_value());
  const absl::Time resumed = absl::Now();
  deployment.Instance(first->instance)->Signal(SIGCONT);
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinalState("azogues-1", job, kTimeout) == "succeeded");
  }
  absl::SleepFor(kObservationTime - std::min(kObservationTime, absl::Now() - resumed));
  // The resumed instance forwards to the new owner instead of answering from its old state.
  BOOST_TEST(deployment.WaitForFinalState(first->instance, jobs.back(), kTimeout) == "succeeded");
  for (const Event& event : deployment.Events()) {
    const bool by_old_owner =
        event.code == EventCode::kTaskStarted && event.fields.count(event_field::kWorker) > 0 &&
        event.process == event.fields.at(event_field::kWorker) &&
        event.fields.at(event_field::kWorker).find("cuenca") != std::string::npos &&
        EpochTerm(event) == absl::StrCat(first->term);
    if (by_old_owner && WallTime(event.time) > resumed) {
      BOOST_ERROR("the resumed former owner started task " << event.fields.at(event_field::kTask));
    }
  }
  for (const auto& [instance, code] : deployment.StopInstances()) {
    BOOST_TEST(code == 0, instance << " exited with " << code);
  }
  for (const Violation& violation : deployment.Check().violations) {
    BOOST_ERROR(violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
