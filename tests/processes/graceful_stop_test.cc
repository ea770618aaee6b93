#include <signal.h>

#include <atomic>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/processes/deployment.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(15);
constexpr int kRequestsPerInstance = 6;

struct SteadyAnswers {
  int answered = 0;
  int refused = 0;
  // The first answer that is neither right nor a refusal with a time to retry.
  std::string cut_off;
};

// Sends one request after the other through an instance that goes on, until `stopped`.
SteadyAnswers AskSteadily(const Deployment& deployment, std::atomic<bool>* stopped) {
  SteadyAnswers result;
  for (int i = 0; !*stopped; ++i) {
    const std::string request = absl::StrCat("steady-", i);
    const ApiAnswer answer = deployment.Ask("azogues-1", request, 50);
    if (Deployment::IsAnswerTo(request, 50, answer)) {
      ++result.answered;
    } else if ((answer.status == 503 || answer.status == 429) && answer.json.is_object() &&
               answer.json["error"]["retry_after_ms"].is_number()) {
      ++result.refused;
    } else if (result.cut_off.empty()) {
      result.cut_off = absl::StrCat(request, ": ", answer.status, " ", answer.body);
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  return result;
}

BOOST_AUTO_TEST_SUITE(GracefulStopTest)

// Guards against a planned stop that cuts off requests in flight, refuses others without a time to
// retry, ends running jobs or leaves its shards without an owner.
BOOST_AUTO_TEST_CASE(StoppedOwner) {
  Deployment deployment;
  const std::optional<OwnerView> owner = deployment.Owner("cuenca/quoting");
  BOOST_REQUIRE(owner.has_value());
  std::vector<std::string> jobs;
  for (int i = 0; i < 6; ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", JobOf(absl::StrCat("job-", i), "batch", 3000, false), kLimit));
    BOOST_TEST(!jobs.back().empty());
  }
  std::atomic<int> right{0};
  std::vector<std::thread> callers;
  for (const std::string& instance : {owner->instance, std::string("azogues-1")}) {
    for (int i = 0; i < kRequestsPerInstance; ++i) {
      callers.emplace_back([&deployment, &right, instance, i] {
        right += deployment.AskAndCheck(instance, absl::StrCat(instance, "-", i), 2000) ? 1 : 0;
      });
    }
  }
  // All of them have reached the executors.
  const bool in_flight = WaitUntil(kLimit, [&] {
    int sent = 0;
    for (const Event& event : deployment.Events()) {
      sent += event.code == EventCode::kRequestSent && event.process.rfind("quote", 0) == 0 ? 1 : 0;
    }
    return sent > 2 * kRequestsPerInstance;
  });
  BOOST_TEST(in_flight);
  std::atomic<bool> stopped{false};
  SteadyAnswers steady;
  std::thread steady_caller([&] { steady = AskSteadily(deployment, &stopped); });
  deployment.Instance(owner->instance)->Signal(SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(right == 2 * kRequestsPerInstance);
  BOOST_TEST(deployment.Instance(owner->instance)->Wait(kLimit).value_or(-1) == 0);
  for (const std::string shard : {"cuenca/quoting", "cuenca/counter"}) {
    const std::optional<OwnerView> next =
        deployment.WaitForOtherOwner(shard, owner->instance, kLimit);
    BOOST_TEST(next.has_value(), shard << " was not handed over");
  }
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinal("azogues-1", job, kLimit) == "succeeded");
  }
  stopped = true;
  steady_caller.join();
  BOOST_TEST(steady.cut_off.empty(), "cut off: " << steady.cut_off);
  BOOST_TEST(steady.answered > 0);
  const bool served =
      WaitUntil(kLimit, [&] { return deployment.AskAndCheck("azogues-1", "after", 10); });
  BOOST_TEST(served);
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
