#include <signal.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/test/unit_test.hpp"
#include "tests/processes/deployment.h"

namespace pomelotray {
namespace {

constexpr char kShard[] = "cuenca/counter";
constexpr absl::Duration kTakeoverLimit = absl::Seconds(12);
constexpr absl::Duration kJobLimit = absl::Seconds(20);

void CheckHistory(const Deployment& deployment) {
  for (const Violation& violation : deployment.Check().violations) {
    BOOST_ERROR(violation);
  }
}

// Waits until the workers have started all tasks of the jobs; `task_counts` maps each job to its
// number of tasks. If the owner dies between the starts of the tasks of a gang that is not
// repeatable, the gang correctly ends as failed or unknown, which this test does not cover. The
// expected starts are counted from the jobs because a job that was just accepted has no start event
// yet.
bool WaitForTaskStarts(const Deployment& deployment,
                       const std::map<std::string, size_t>& task_counts) {
  const auto all_started = [&] {
    std::map<std::string, std::set<std::string>> started;
    for (const Event& event : deployment.Events()) {
      const auto job = event.fields.find(event_field::kJob);
      const auto task = event.fields.find(event_field::kTask);
      if (event.code == EventCode::kTaskStarted && job != event.fields.end() &&
          task != event.fields.end()) {
        started[job->second].insert(task->second);
      }
    }
    return std::all_of(task_counts.begin(), task_counts.end(), [&started](const auto& entry) {
      return started[entry.first].size() == entry.second;
    });
  };
  return WaitUntil(kJobLimit, all_started);
}

BOOST_AUTO_TEST_SUITE(OwnerDeathTest)

// Guards against jobs that are lost, run twice or never end when the owner of their shard is
// killed, and against a shard that stays without an owner.
BOOST_AUTO_TEST_CASE(KilledOwner) {
  Deployment deployment;
  const std::optional<OwnerView> first = deployment.Owner(kShard);
  BOOST_REQUIRE(first.has_value());
  std::vector<std::string> jobs;
  std::map<std::string, size_t> task_counts;
  const auto submit = [&](const std::string& key, const std::string& kind, int64_t run_ms,
                          bool repeatable) {
    const std::string id = deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(key, kind, run_ms, repeatable), kJobLimit);
    BOOST_TEST(!id.empty(), "job " << key << " was not accepted");
    jobs.push_back(id);
    task_counts[id] = kind == "gang" ? 2 : 1;
  };
  for (int i = 0; i < 4; ++i) {
    submit(absl::StrCat("batch-", i), "batch", 3000, true);
    submit(absl::StrCat("once-", i), "batch", 3000, false);
    submit(absl::StrCat("gang-", i), "gang", 3000, false);
  }
  const std::string service = deployment.SubmitUntilAccepted(
      "azogues-1", MakeCounterJob("service", "service", 0, true), kJobLimit);
  task_counts[service] = 1;
  BOOST_REQUIRE(WaitForTaskStarts(deployment, task_counts));
  deployment.Instance(first->instance)->Signal(SIGKILL);
  for (int i = 4; i < 8; ++i) {
    submit(absl::StrCat("once-", i), "batch", 500, false);
  }
  const std::optional<OwnerView> second =
      deployment.WaitForOtherOwner(kShard, first->instance, kTakeoverLimit);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->term > first->term);
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinalState("azogues-1", job, kJobLimit) == "succeeded");
  }
  BOOST_TEST(deployment.Call("azogues-1", "POST", "/v1/jobs/" + service + "/cancel").status == 200);
  BOOST_TEST(deployment.WaitForFinalState("azogues-1", service, kJobLimit) == "cancelled");
  deployment.StopInstances();
  CheckHistory(deployment);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
