#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/processes/deployment.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kOutage = absl::Seconds(6);
constexpr absl::Duration kTimeout = absl::Seconds(20);

void CheckHistory(const Deployment& deployment) {
  for (const Violation& violation : deployment.Check().violations) {
    BOOST_ERROR(violation);
  }
}

struct Answers {
  int correct = 0;
  // Descriptions of all incorrect answers, each with the time, the instance and the request.
  std::vector<std::string> incorrect;
};

// Sends requests to the instances in turn until `end`.
Answers SendRequestsUntil(const Deployment& deployment, const std::string& prefix, absl::Time end) {
  const std::vector<std::string> instances = Deployment::InstanceIds();
  Answers answers;
  for (size_t i = 0; absl::Now() < end; ++i) {
    const std::string& instance = instances[i % instances.size()];
    const std::string request = absl::StrCat(prefix, "-", i);
    const ApiAnswer answer = deployment.SendQuotingRequest(instance, request, 20);
    if (Deployment::IsAnswerTo(request, 20, answer)) {
      ++answers.correct;
    } else {
      answers.incorrect.push_back(absl::StrCat(absl::FormatTime(absl::Now()), " ", instance, " ",
                                               request, ": ", answer.status, " ", answer.body));
    }
    absl::SleepFor(absl::Milliseconds(50));
  }
  return answers;
}

void CheckAnswers(const Answers& answers) {
  BOOST_TEST(answers.correct > 0);
  for (const std::string& incorrect : answers.incorrect) {
    BOOST_ERROR("request without a correct answer: " << incorrect);
  }
}

BOOST_AUTO_TEST_SUITE(StoreOutageTest)

// Guards against faults while the store is down: requests that wait for the store, new jobs that
// are accepted without a durable record, leases that are not renewed and jobs that are lost.
BOOST_AUTO_TEST_CASE(StoreDown) {
  Deployment deployment({"--task-lease=3s"});
  std::vector<std::string> jobs;
  for (int i = 0; i < 8; ++i) {
    // These jobs run for longer than the outage, which is longer than the task lease.
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("long-", i), "batch", 7000, i % 2 == 0),
        kTimeout));
    BOOST_TEST(!jobs.back().empty());
  }
  BOOST_REQUIRE(WaitUntil(kTimeout, [&] {
    const ApiAnswer last = deployment.Call("azogues-1", "GET", "/v1/jobs/" + jobs.back());
    return last.status == 200 && last.json.value("state", "") == "running";
  }));
  BOOST_TEST(
      deployment
          .CallStandin("store", "POST", "/fault",
                       {{"mode", "down"}, {"duration_ms", absl::ToInt64Milliseconds(kOutage)}})
          .status == 200);
  const absl::Time end = absl::Now() + kOutage;
  Answers answers;
  std::thread request_thread([&] { answers = SendRequestsUntil(deployment, "down", end); });
  int refused = 0;
  for (int i = 0; absl::Now() + absl::Seconds(3) < end; ++i) {
    const nlohmann::json job = MakeCounterJob(absl::StrCat("new-", i), "batch", 200, false);
    const ApiAnswer answer = deployment.Call("azogues-1", "POST", "/v1/jobs", job.dump());
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.ErrorKind() == "store_unavailable");
    BOOST_TEST((answer.json.is_object() && answer.json["error"]["retry_after_ms"].is_number()),
               "no retry_after_ms in the answer: " << answer.body);
    ++refused;
    absl::SleepFor(absl::Milliseconds(200));
  }
  request_thread.join();
  BOOST_TEST(refused > 0);
  CheckAnswers(answers);
  for (int i = 0; i < refused; ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("new-", i), "batch", 200, false), kTimeout));
    BOOST_TEST(!jobs.back().empty());
  }
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinalState("azogues-1", job, kTimeout) == "succeeded");
  }
  CheckHistory(deployment);
}

// Guards against jobs that run twice or are lost when the store commits a write but its answer is
// lost.
BOOST_AUTO_TEST_CASE(StoreLosesAnswers) {
  Deployment deployment;
  deployment.CallStandin("store", "POST", "/fault",
                         {{"mode", "lose_answers"}, {"probability", 0.3}, {"duration_ms", 3000}});
  Answers answers;
  std::thread request_thread(
      [&] { answers = SendRequestsUntil(deployment, "lost", absl::Now() + absl::Seconds(3)); });
  std::vector<std::string> jobs;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back(deployment.SubmitUntilAccepted(
        "azogues-1", MakeCounterJob(absl::StrCat("job-", i), "batch", 300, i % 2 == 0), kTimeout));
    BOOST_TEST(!jobs.back().empty());
  }
  request_thread.join();
  CheckAnswers(answers);
  for (const std::string& job : jobs) {
    BOOST_TEST(deployment.WaitForFinalState("azogues-1", job, kTimeout) == "succeeded");
  }
  CheckHistory(deployment);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
