#include <boost/test/unit_test.hpp>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

BOOST_AUTO_TEST_SUITE(ScheduleRoundTest)

// Guards against starvation of large jobs: small tasks of less urgent work would take each
// accelerator that becomes free, so a task that needs all of them would never start.
BOOST_AUTO_TEST_CASE(LargeTaskIsNotStarvedBySmallOnes) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 64'000, 100'000, 8), Fixture::Worker("w2", 64'000, 100'000, 8),
                      Fixture::Worker("w3", 64'000, 100'000, 8)});
  fixture.AddJob(Fixture::Job("small", {Fixture::Step(24, 1000, 100, 1)}, 2, /*priority=*/2));
  std::vector<SentOrder> running = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(running.size(), 24U);
  fixture.AddJob(Fixture::Job("large", {Fixture::Step(1, 1000, 100, 8)}, 2, /*priority=*/1));
  fixture.AddJob(Fixture::Job("more", {Fixture::Step(100, 1000, 100, 1)}, 2, /*priority=*/2));
  // Each worker ends one small task after the other.
  bool started = false;
  for (size_t turn = 0; turn < 8 && !started; ++turn) {
    for (const std::string worker : {"w1", "w2", "w3"}) {
      std::vector<RunningAttempt> left;
      std::vector<std::pair<AttemptKey, AttemptEnd>> ended;
      for (auto it = running.begin(); it != running.end();) {
        if (it->worker.value() == worker && ended.empty()) {
          ended.emplace_back(it->order.key, AttemptEnd::kSucceeded);
          it = running.erase(it);
          continue;
        }
        if (it->worker.value() == worker) {
          left.push_back(Fixture::Running(it->order.key, static_cast<int>(turn)));
        }
        ++it;
      }
      fixture.Report(worker, left, ended);
    }
    for (const SentOrder& sent : Starts(fixture.Round())) {
      started = started || sent.order.key.task.rfind("large", 0) == 0;
      running.push_back(sent);
    }
  }
  BOOST_TEST(started);
}

// Guards against idle time between two short steps: the second one's tickets are asked for while
// the first one runs.
BOOST_AUTO_TEST_CASE(AdviceForTheNextShortStepIsAskedAhead) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 4000)});
  StepSpec second = Fixture::Step(1, 1000);
  second.after = {0};
  JobIntake job = Fixture::Job("a", {Fixture::Step(1, 1000), second});
  job.policy.advice = AdvicePolicy{absl::Milliseconds(15), absl::Milliseconds(1), absl::Seconds(2)};
  fixture.AddJob(std::move(job));
  Advice advice;
  advice.validity = absl::Seconds(2);
  advice.tickets[WorkerId("w1")] = "ticket";
  const ScheduledOrders first = fixture.scheduler().Schedule(fixture.Now());
  BOOST_REQUIRE_EQUAL(first.advice.size(), 1U);
  fixture.scheduler().AdviceFinished(first.advice[0], advice, fixture.Now());
  const SentOrder started = Starts(fixture.Round()).at(0);
  const ScheduledOrders ahead = fixture.scheduler().Schedule(fixture.Now());
  BOOST_REQUIRE_EQUAL(ahead.advice.size(), 1U);
  BOOST_TEST(ahead.advice[0].question.step == "a.0.1");
  fixture.scheduler().AdviceFinished(ahead.advice[0], advice, fixture.Now());
  fixture.Report("w1", {}, {{started.order.key, AttemptEnd::kSucceeded}});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
}

// Guards against priority inversion: urgent work takes free room before older, less urgent work.
BOOST_AUTO_TEST_CASE(UrgentWorkGoesFirst) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000)});
  fixture.AddJob(Fixture::Job("low", {Fixture::Step(1, 1000)}, 2, /*priority=*/2));
  fixture.AddJob(Fixture::Job("urgent", {Fixture::Step(1, 1000)}, 2, /*priority=*/0));
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 1U);
  BOOST_TEST(started[0].order.key.task == "urgent.0.0.0");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
