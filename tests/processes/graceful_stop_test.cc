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

constexpr absl::Duration kTimeout = absl::Seconds(15);
constexpr int kRequestsPerInstance = 6;

struct AnswerCounts {
  int answered = 0;
  int refused = 0;
  // The first answer that is neither correct nor a refusal with a retry time.
  std::string first_failure;
};

// Sends requests one after the other to an instance that keeps running, until `stopped` is set.
AnswerCounts SendRequestsUntilStopped(const Deployment& deployment, std::atomic<bool>* stopped) {
  AnswerCounts result;
  for (int i = 0; !*stopped; ++i) {
    const std::string request = absl::StrCat("steady-", i);
    const ApiAnswer answer = deployment.SendQuotingRequest("azogues-1", request, 50);
    if (Deployment::IsAnswerTo(request, 50, answer)) {
      ++result.answered;
    } else if ((answer.status == 503 || answer.status == 429) && answer.json.is_object() &&
               answer.json["error"]["retry_after_ms"].is_number()) {
      ++result.refused;
    } else if (result.first_failure.empty()) {
      result.first_failure = absl::StrCat(request, ": ", answer.status, " ", answer.body);
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  return result;
}

BOOST_AUTO_TEST_SUITE(GracefulStopTest)

// Guards against a graceful stop that interrupts requests in flight, refuses others without a retry
// time, ends running jobs or leaves the shards of the instance without an owner.
BOOST_AUTO_TEST_CASE(StoppedOwner) {
  Deployment deployment;
  const std::optional<OwnerView> owner = deployment.Owner("cuenca/quoting");
  BOOST_REQUIRE(owner.has_value());
  std::vector<std::string> jobs;
  for (int i = 0; i < 6; ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("job-", i), "batch", 3000, false), kTimeout));
    BOOST_TEST(!jobs.back().empty());
  }
  std::atomic<int> correct{0};
  std::vector<std::thread> callers;
  for (const std::string& instance : {owner->instance, std::string("azogues-1")}) {
    for (int i = 0; i < kRequestsPerInstance; ++i) {
      callers.emplace_back([&deployment, &correct, instance, i] {
        correct +=
            deployment.SendAndVerifyRequest(instance, absl::StrCat(instance, "-", i), 2000) ? 1 : 0;
      });
    }
  }
  // Wait until all requests have reached the executors.
  const bool in_flight = WaitUntil(kTimeout, [&] {
    int sent = 0;
    for (const Event& event : deployment.Events()) {
      sent += event.code == EventCode::kRequestSent && event.process.rfind("quote", 0) == 0 ? 1 : 0;
    }
    return sent > 2 * kRequestsPerInstance;
  });
  BOOST_TEST(in_flight);
  std::atomic<bool> stopped{false};
  AnswerCounts steady;
  std::thread steady_caller([&] { steady = SendRequestsUntilStopped(deployment, &stopped); });
  deployment.Instance(owner->instance)->Signal(SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(correct == 2 * kRequestsPerInstance);
  BOOST_TEST(deployment.Instance(owner->instance)->Wait(kTimeout).value_or(-1) == 0);
  for (const std::string shard : {"cuenca/quoting", "cuenca/counter"}) {
    const std::optional<OwnerView> next =
        deployment.WaitForOtherOwner(shard, owner->instance, kTimeout);
    BOOST_TEST(next.has_value(), shard << " was not handed over");
  }
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinalState("azogues-1", job, kTimeout) == "succeeded");
  }
  stopped = true;
  steady_caller.join();
  BOOST_TEST(steady.first_failure.empty(),
             "request neither answered nor refused with a retry time: " << steady.first_failure);
  BOOST_TEST(steady.answered > 0);
  const bool served = WaitUntil(
      kTimeout, [&] { return deployment.SendAndVerifyRequest("azogues-1", "after", 10); });
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
