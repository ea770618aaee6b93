#include <signal.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
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

// Waits until each start that was sent has been confirmed by its worker. A gang that may not be
// repeated cannot go on when its owner dies between the starts of its tasks: it honestly ends as
// failed or unknown, which this test is not about.
bool AwaitConfirmedStarts(const Deployment& deployment) {
  const absl::Time end = absl::Now() + kJobLimit;
  while (absl::Now() < end) {
    std::set<std::string> intended;
    std::set<std::string> confirmed;
    for (const Event& event : deployment.Events()) {
      const auto attempt = event.fields.find(event_field::kAttempt);
      if (attempt == event.fields.end()) {
        continue;
      }
      if (event.code == EventCode::kTaskIntent || event.code == EventCode::kTaskStartSent) {
        intended.insert(attempt->second);
      } else if (event.code == EventCode::kTaskStarted) {
        confirmed.insert(attempt->second);
      }
    }
    if (std::includes(confirmed.begin(), confirmed.end(), intended.begin(), intended.end())) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(OwnerDeathTest)

// Guards against jobs that are lost, run twice or never end when the owner of their shard is
// killed, and against a shard that stays without an owner.
BOOST_AUTO_TEST_CASE(KilledOwner) {
  Deployment deployment;
  const std::optional<OwnerView> first = deployment.Owner(kShard);
  BOOST_REQUIRE(first.has_value());
  std::vector<std::string> jobs;
  const auto submit = [&](const std::string& key, const std::string& kind, int64_t run_ms,
                          bool repeatable) {
    const std::string id = deployment.SubmitUntilAccepted(
        "azogues-1", JobOf(key, kind, run_ms, repeatable), kJobLimit);
    BOOST_TEST(!id.empty(), "job " << key << " was not accepted");
    jobs.push_back(id);
  };
  for (int i = 0; i < 4; ++i) {
    submit(absl::StrCat("batch-", i), "batch", 3000, true);
    submit(absl::StrCat("once-", i), "batch", 3000, false);
    submit(absl::StrCat("gang-", i), "gang", 3000, false);
  }
  const std::string service =
      deployment.SubmitUntilAccepted("azogues-1", JobOf("service", "service", 0, true), kJobLimit);
  BOOST_REQUIRE(AwaitConfirmedStarts(deployment));
  deployment.Instance(first->instance)->Signal(SIGKILL);
  for (int i = 4; i < 8; ++i) {
    submit(absl::StrCat("once-", i), "batch", 500, false);
  }
  const std::optional<OwnerView> second =
      deployment.WaitForOtherOwner(kShard, first->instance, kTakeoverLimit);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->term > first->term);
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinal("azogues-1", job, kJobLimit) == "succeeded");
  }
  BOOST_TEST(deployment.Call("azogues-1", "POST", "/v1/jobs/" + service + "/cancel").status == 200);
  BOOST_TEST(deployment.WaitForFinal("azogues-1", service, kJobLimit) == "cancelled");
  deployment.StopInstances();
  CheckHistory(deployment);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
