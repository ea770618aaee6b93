#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/cell/advised_fixture.h"
#include "tests/cell/running_pool.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

constexpr absl::Duration kMaxWait = StartUrgency::kMaxWait;

StepSpec LongRunningStep(int tasks, int64_t cpu) {
  StepSpec step = Fixture::Step(tasks, cpu);
  step.long_running = true;
  return step;
}

// Returns the number of starts of the job's tasks among the orders.
int CountStarts(const std::vector<SentOrder>& orders, const std::string& job) {
  int count = 0;
  for (const SentOrder& sent : Starts(orders)) {
    count += IsOfJob(sent.order.key, job) ? 1 : 0;
  }
  return count;
}

BOOST_AUTO_TEST_SUITE(StartUrgencyTest)

// Guards against a suspected long-running task that waits for a worker of its own without a bound,
// while all workers run other work and have capacity for it.
BOOST_AUTO_TEST_CASE(SuspectStartsBesideOtherWorkOnceItHasWaited) {
  RunningPool pool;
  pool.AddWorkers(6, 8000);
  pool.Add(Fixture::Job("batch", {Fixture::Step(6, 5000)}));
  pool.Step();
  BOOST_REQUIRE_EQUAL(pool.CountRunning("batch"), 6);
  pool.Add(LongRunningJob("watch", 1, 1000));
  for (int loss = 0; loss < 3; ++loss) {
    pool.Run(absl::Seconds(1 + loss * 2));
    BOOST_REQUIRE_EQUAL(pool.CountRunning("watch"), 1);
    pool.Crash(pool.WorkerOf("watch"));
    pool.Step();
  }
  pool.Run(kMaxWait);
  BOOST_TEST(pool.CountRunning("watch") == 1);
}

// Guards against bounds that add up: the lease of a lost worker and then the suspicion that the
// task caused the loss.
BOOST_AUTO_TEST_CASE(SuspectStartsAsSoonAsTheLeaseOfItsLostWorkerIsOver) {
  RunningPool pool;
  pool.AddWorkers(6, 8000);
  pool.Add(Fixture::Job("batch", {Fixture::Step(6, 5000)}));
  pool.Step();
  pool.Add(LongRunningJob("watch", 1, 1000));
  pool.Step();
  // A loss right after the start makes the task a suspect, once the lost worker's entry is gone.
  const std::string lost = pool.WorkerOf("watch");
  pool.running().erase(lost);
  SchedulerFixture& fixture = pool.fixture();
  fixture.scheduler().HoldFailed(WorkerId(lost), fixture.Now());
  std::vector<WorkerDescription> listed;
  for (const auto& [worker, keys] : pool.running()) {
    listed.push_back(Fixture::Worker(worker, 8000));
  }
  fixture.scheduler().UpdateDirectory(listed, fixture.Now());
  constexpr absl::Duration kLongestLease = absl::Milliseconds(6540);
  pool.Run(kLongestLease + absl::Milliseconds(300));
  const std::vector<Event> losses = fixture.Events(EventCode::kTaskWorkerLost);
  BOOST_REQUIRE(!losses.empty());
  BOOST_TEST(losses.back().fields.at("suspected") == "1");
  BOOST_TEST(pool.CountRunning("watch") == 1);
}

// Guards against a task that waits for as long as other work keeps arriving: each gap on a worker
// is taken by a short task of a more urgent job before the round comes to it.
BOOST_AUTO_TEST_CASE(CapacityIsHeldForATaskThatHasWaited) {
  RunningPool pool;
  pool.AddWorkers(4, 4000);
  pool.Add(Fixture::Job("fill", {Fixture::Step(400, 1000)}, 2, /*priority=*/0));
  pool.Step();
  BOOST_REQUIRE_EQUAL(pool.CountRunning("fill"), 16);
  pool.Add(LongRunningJob("watch", 1, 1500));
  const absl::Time added = pool.fixture().Now();
  while (pool.CountRunning("watch") == 0 && pool.fixture().Now() < added + 2 * kMaxWait) {
    for (int i = 0; i < 4; ++i) {
      const std::string worker = "w" + std::to_string(i);
      if (!pool.running().at(worker).empty()) {
        pool.End(worker, "fill", AttemptEnd::kSucceeded);
      }
    }
    pool.Step();
  }
  BOOST_TEST(pool.CountRunning("watch") == 1);
  BOOST_TEST(pool.fixture().Now() - added <= kMaxWait);
}

// Guards against a task that waits because every worker is isolated for a task of another job.
BOOST_AUTO_TEST_CASE(TaskStartsOnAnIsolatedWorkerOnceItHasWaited) {
  RunningPool pool;
  pool.AddWorkers(1, 8000);
  pool.Add(LongRunningJob("suspect", 1, 1000));
  pool.Step();
  // A crash right after the start makes the task suspected.
  pool.Crash(pool.WorkerOf("suspect"));
  pool.Run(absl::Seconds(1));
  BOOST_REQUIRE_EQUAL(pool.CountRunning("suspect"), 1);
  pool.Run(absl::Seconds(20));
  pool.Crash(pool.WorkerOf("suspect"));
  pool.Step();
  pool.Add(LongRunningJob("watch", 1, 1000));
  pool.Run(kMaxWait);
  BOOST_TEST(pool.CountRunning("watch") == 1);
}

// Guards against answers of the adviser that come too late: while it decides which workers may run
// a long-running step, tasks of later steps take their capacity.
BOOST_AUTO_TEST_CASE(CapacityIsHeldWhileTheAdviserAnswers) {
  AdvisedFixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000), Fixture::Worker("w2", 1000)});
  fixture.AddAdvisedJob("watch", LongRunningStep(1, 1000));
  const AdviceRequest request = fixture.RunAdviceRound(1);
  fixture.AddJob(Fixture::Job("batch", {Fixture::Step(2, 1000)}, 2, /*priority=*/2));
  fixture.Advance(absl::Milliseconds(800));
  const std::vector<SentOrder> meanwhile = fixture.Round();
  fixture.AnswerQuestion(request, {"w1"});
  BOOST_TEST(CountStarts(meanwhile, "batch") < 2);
  BOOST_TEST(CountStarts(fixture.Round(), "watch") == 1);
}

// Guards against questions that leave out the workers that a waiting task may use as soon as they
// have capacity: none could be held for it.
BOOST_AUTO_TEST_CASE(FullWorkersAreAskedAboutForATaskThatHasWaited) {
  AdvisedFixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 4000)});
  fixture.AddAdvisedJob("watch", LongRunningStep(1, 1000));
  fixture.AnswerQuestion(fixture.RunAdviceRound(1), {});
  fixture.AddWorkers({Fixture::Worker("w1", 4000), Fixture::Worker("w2", 4000)});
  fixture.AddJob(Fixture::Job("batch", {Fixture::Step(8, 1000)}, 2, /*priority=*/0));
  BOOST_REQUIRE_EQUAL(CountStarts(fixture.Round(), "batch"), 8);
  fixture.Advance(absl::Seconds(1));
  const AdviceRequest request = fixture.RunAdviceRound(1);
  BOOST_TEST(request.question.workers == std::vector<WorkerId>{WorkerId("w2")},
             boost::test_tools::per_element());
}

// Guards against a restart that has to wait for the adviser: the loss of a worker is certain only
// seconds after it has stopped answering, in which the tickets can be renewed.
BOOST_AUTO_TEST_CASE(TicketsAreRenewedWhileAWorkerDoesNotAnswer) {
  AdvisedFixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000), Fixture::Worker("w2", 1000)});
  fixture.AddAdvisedJob("watch", LongRunningStep(1, 1000));
  fixture.AnswerQuestion(fixture.RunAdviceRound(1), {"w1", "w2"});
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 1U);
  const std::string lost = started[0].worker.value();
  const std::string other = lost == "w1" ? "w2" : "w1";
  fixture.Report(lost, {Fixture::Running(started[0].order.key)});
  fixture.Advance(absl::Seconds(3));
  fixture.Report(other, {});
  fixture.scheduler().HoldFailed(WorkerId(lost), fixture.Now());
  const AdviceRequest request = fixture.RunAdviceRound(1);
  BOOST_TEST(request.question.workers == std::vector<WorkerId>{WorkerId(other)},
             boost::test_tools::per_element());
  fixture.AnswerQuestion(request, {other});
  fixture.scheduler().WorkerReplaced(WorkerId(lost), fixture.Now());
  BOOST_TEST(CountStarts(fixture.Round(), "watch") == 1);
}

// Guards against best-effort tasks that have waited and refill a worker whose best-effort attempts
// are being stopped for a serving task.
BOOST_AUTO_TEST_CASE(BestEffortTasksStayAwayFromAWorkerThatIsCleared) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 4000)});
  StepSpec best_effort = LongRunningStep(1, 1000);
  best_effort.best_effort = true;
  fixture.AddJob(Fixture::Job("fill", {best_effort}));
  const std::vector<SentOrder> running = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(running.size(), 1U);
  const auto report = [&fixture, &running] {
    fixture.Report("w1", {Fixture::Running(running[0].order.key, 100)});
  };
  report();
  StepSpec serving = LongRunningStep(1, 1000);
  serving.latency_target = absl::Milliseconds(10);
  fixture.AddJob(Fixture::Job("serve", {serving}, 2, /*priority=*/0));
  BOOST_REQUIRE_EQUAL(Stops(fixture.Round()).size(), 1U);
  fixture.AddJob(Fixture::Job("more", {best_effort}));
  for (int i = 0; i < 30; ++i) {
    fixture.Advance(absl::Milliseconds(100));
    report();
    BOOST_TEST(CountStarts(fixture.Round(), "more") == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
