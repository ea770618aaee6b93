#include <boost/test/unit_test.hpp>

#include "tests/cell/advised_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

BOOST_AUTO_TEST_SUITE(ScheduleRoundTest)

// Guards against starvation of large jobs: if small tasks of lower priority take each accelerator
// that becomes free, a task that needs all accelerators of a worker never starts.
BOOST_AUTO_TEST_CASE(SmallTasksDoNotStarveLargeTask) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 64'000, 100'000, 8),
                      Fixture::Worker("w2", 64'000, 100'000, 8),
                      Fixture::Worker("w3", 64'000, 100'000, 8)});
  fixture.AddJob(Fixture::Job("small", {Fixture::Step(24, 1000, 100, 1)}, 2, /*priority=*/2));
  std::vector<SentOrder> running = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(running.size(), 24U);
  fixture.AddJob(Fixture::Job("large", {Fixture::Step(1, 1000, 100, 8)}, 2, /*priority=*/1));
  fixture.AddJob(Fixture::Job("more", {Fixture::Step(100, 1000, 100, 1)}, 2, /*priority=*/2));
  // In each iteration, one small task ends on each worker.
  bool started = false;
  for (size_t iteration = 0; iteration < 8 && !started; ++iteration) {
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
          left.push_back(Fixture::Running(it->order.key, static_cast<int>(iteration)));
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

// Guards against idle time between two short steps: the tickets for the second step are requested
// while the first step runs.
BOOST_AUTO_TEST_CASE(AdviceForNextShortStepIsRequestedAhead) {
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

// Guards against congestion collapse: the cost of a round for a waiting step grows with the number
// of workers that the adviser allows (at most 15 here), not with the size of the pool. The pool has
// 252 workers without free capacity and 50 waiting steps of ten tasks each.
BOOST_AUTO_TEST_CASE(RoundCostGrowsWithAllowedWorkers) {
  AdvisedFixture fixture;
  std::vector<WorkerDescription> workers;
  workers.reserve(252);
  for (int i = 0; i < 252; ++i) {
    workers.push_back(Fixture::Worker("w" + std::to_string(i), 1000));
  }
  fixture.AddWorkers(workers);
  fixture.AddJob(Fixture::Job("fill", {Fixture::Step(252, 1000)}, 2, /*priority=*/0));
  BOOST_REQUIRE_EQUAL(Starts(fixture.Round()).size(), 252U);
  for (int i = 0; i < 50; ++i) {
    fixture.AddAdvisedJob("j" + std::to_string(i), Fixture::Step(10, 1000));
  }
  for (const AdviceRequest& request : fixture.scheduler().Schedule(fixture.Now()).advice) {
    std::vector<std::string> allowed;
    for (const WorkerId& worker : request.question.workers) {
      allowed.push_back(worker.value());
    }
    BOOST_REQUIRE(allowed.size() <= 15U);
    fixture.AnswerQuestion(request, allowed);
  }
  // Each step examines its workers once with and once without requiring a valid ticket.
  BOOST_TEST(fixture.scheduler().Schedule(fixture.Now()).workers_examined <= 50 * 2 * 15);
}

// Guards against a thundering herd of questions: while the pool is full, a step that waits for
// capacity asks only about workers on which it could start at once, not about other full workers.
BOOST_AUTO_TEST_CASE(WaitingStepDoesNotAskAboutFullWorkers) {
  AdvisedFixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 3000)});
  fixture.AddAdvisedJob("a", Fixture::Step(4, 1000));
  fixture.AnswerQuestion(fixture.RunAdviceRound(1), {"w1"});
  BOOST_REQUIRE_EQUAL(Starts(fixture.Round()).size(), 3U);
  fixture.scheduler().UpdateDirectory({Fixture::Worker("w1", 3000), Fixture::Worker("w2", 3000)},
                                      fixture.Now());
  fixture.scheduler().ConfirmRoster({WorkerId("w2")});
  fixture.Report("w2", {}, {});
  fixture.AddJob(Fixture::Job("b", {Fixture::Step(3, 1000)}, 2, /*priority=*/0));
  const std::vector<SentOrder> occupying = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(occupying.size(), 3U);
  fixture.RunAdviceRound(0);
  fixture.Report(
      "w2", {Fixture::Running(occupying[1].order.key), Fixture::Running(occupying[2].order.key)},
      {{occupying[0].order.key, AttemptEnd::kSucceeded}});
  const AdviceRequest request = fixture.RunAdviceRound(1);
  BOOST_REQUIRE_EQUAL(request.question.workers.size(), 1U);
  BOOST_TEST(request.question.workers[0].value() == "w2");
}

// Guards against starvation of a gang that the adviser allowed too few workers: the gang also asks
// about full workers, because only workers that it may use can be reserved for it.
BOOST_AUTO_TEST_CASE(GangAsksAboutFullWorkers) {
  AdvisedFixture fixture;
  std::vector<WorkerDescription> workers;
  workers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    workers.push_back(Fixture::Worker("w" + std::to_string(i), 1000));
  }
  fixture.AddWorkers(workers);
  fixture.AddJob(Fixture::Job("fill", {Fixture::Step(20, 1000)}, 2, /*priority=*/0));
  BOOST_REQUIRE_EQUAL(Starts(fixture.Round()).size(), 20U);
  StepSpec gang = Fixture::Step(2, 1000);
  gang.gang = true;
  fixture.AddAdvisedJob("gang", gang);
  const AdviceRequest first = fixture.RunAdviceRound(1);
  fixture.AnswerQuestion(first, {first.question.workers.front().value()});
  BOOST_TEST(fixture.RunAdviceRound(1).question.workers.size() ==
             20U - first.question.workers.size());
}

// Load: wide steps on a queue for which the adviser allows few workers. Guards against a question
// that names too few workers for the step, whose base time is spent again by the next one.
BOOST_AUTO_TEST_CASE(FirstQuestionNamesEnoughWorkersForAWideStep) {
  constexpr absl::Duration kBaseCost = absl::Milliseconds(100);
  AdvisedFixture fixture;
  std::vector<WorkerDescription> workers;
  workers.reserve(100);
  for (int i = 0; i < 100; ++i) {
    workers.push_back(Fixture::Worker("w" + std::to_string(i), 1000));
  }
  fixture.AddWorkers(workers);
  const auto ask = [&](const std::string& id, int tasks) {
    fixture.AddAdvisedJob(id, Fixture::Step(tasks, 1000), kBaseCost);
    return fixture.RunAdviceRound(1);
  };
  const AdviceRequest narrow = ask("narrow", 1);
  BOOST_TEST(narrow.question.workers.size() == 30U);
  fixture.AnswerQuestion(narrow, {});
  fixture.scheduler().CancelJob(JobId("narrow"), fixture.Now());
  // Few workers are allowed, so that 20 tasks need many more than 20 workers.
  const AdviceRequest wide = ask("wide", 20);
  BOOST_TEST(wide.question.workers.size() > 50U);
  std::vector<std::string> allowed;
  for (const WorkerId& worker : wide.question.workers) {
    allowed.push_back(worker.value());
  }
  fixture.AnswerQuestion(wide, allowed);
  fixture.scheduler().CancelJob(JobId("wide"), fixture.Now());
  // After an answer that allowed all workers, fewer are named.
  BOOST_TEST(ask("next", 20).question.workers.size() < wide.question.workers.size());
}

// Guards against one question for each worker that gets free capacity: a ticket renewal includes
// other allowed workers, as many as cost a quarter of the base time of a question.
BOOST_AUTO_TEST_CASE(RenewalCoversOtherAllowedWorkers) {
  AdvisedFixture fixture;
  fixture.AddWorkers(
      {Fixture::Worker("w1", 1000), Fixture::Worker("w2", 1000), Fixture::Worker("w3", 1000)});
  fixture.AddAdvisedJob("a", Fixture::Step(4, 1000));
  fixture.AnswerQuestion(fixture.RunAdviceRound(1), {"w1", "w2", "w3"});
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 3U);
  fixture.Advance(absl::Milliseconds(1900));
  for (const SentOrder& sent : started) {
    const bool ended = sent.worker.value() == "w1";
    using Ends = std::vector<std::pair<AttemptKey, AttemptEnd>>;
    fixture.Report(sent.worker.value(),
                   ended ? std::vector<RunningAttempt>{}
                         : std::vector<RunningAttempt>{Fixture::Running(sent.order.key, 10)},
                   ended ? Ends{{sent.order.key, AttemptEnd::kSucceeded}} : Ends{});
  }
  BOOST_TEST(fixture.RunAdviceRound(1).question.workers.size() == 3U);
}

// Guards against noisy neighbors: best-effort tasks slow down serving tasks, so the two never share
// a worker, whichever starts first.
BOOST_AUTO_TEST_CASE(BestEffortTasksNeverShareWorkerWithServingTasks) {
  for (const bool serving_first : {true, false}) {
    Fixture fixture;
    fixture.AddWorkers({Fixture::Worker("w1", 4000), Fixture::Worker("w2", 4000)});
    StepSpec serving = Fixture::Step(1, 1000);
    serving.long_running = true;
    serving.latency_target = absl::Milliseconds(30);
    StepSpec best_effort_step = Fixture::Step(8, 1000);
    best_effort_step.best_effort = true;
    const JobIntake serve = Fixture::Job("serve", {serving});
    const JobIntake best_effort = Fixture::Job("fill", {best_effort_step}, 2, /*priority=*/2);
    fixture.AddJob(serving_first ? serve : best_effort);
    const std::vector<SentOrder> first = Starts(fixture.Round());
    BOOST_REQUIRE(!first.empty());
    fixture.AddJob(serving_first ? best_effort : serve);
    const std::vector<SentOrder> second = Starts(fixture.Round());
    for (const SentOrder& a : first) {
      for (const SentOrder& b : second) {
        BOOST_TEST(a.worker.value() != b.worker.value());
      }
    }
  }
}

// Guards against serving tasks that never start because all workers run best-effort tasks: those of
// one worker are stopped.
BOOST_AUTO_TEST_CASE(BestEffortTasksAreStoppedForServingTasks) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 4000)});
  StepSpec best_effort_step = Fixture::Step(2, 1000);
  best_effort_step.best_effort = true;
  fixture.AddJob(Fixture::Job("fill", {best_effort_step}, 2, /*priority=*/2));
  const std::vector<SentOrder> first = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(first.size(), 2U);
  StepSpec serving = Fixture::Step(1, 1000);
  serving.long_running = true;
  serving.latency_target = absl::Milliseconds(30);
  fixture.AddJob(Fixture::Job("serve", {serving}));
  BOOST_TEST(Stops(fixture.Round()).size() == 2U);
  fixture.Report(
      "w1", {},
      {{first[0].order.key, AttemptEnd::kStopped}, {first[1].order.key, AttemptEnd::kStopped}});
  const std::vector<SentOrder> next = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(next.size(), 1U);
  BOOST_TEST(next[0].order.key.task == "serve.0.0.0");
}

// Guards against priority inversion: a job of high priority gets free capacity before older jobs of
// lower priority.
BOOST_AUTO_TEST_CASE(HigherPriorityJobStartsFirst) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000)});
  fixture.AddJob(Fixture::Job("low", {Fixture::Step(1, 1000)}, 2, /*priority=*/2));
  fixture.AddJob(Fixture::Job("urgent", {Fixture::Step(1, 1000)}, 2, /*priority=*/0));
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 1U);
  BOOST_TEST(started[0].order.key.task == "urgent.0.0.0");
}

// Guards against idle accelerators: while a task that needs a whole worker waits for a long task to
// end, short tasks run on the reserved worker (backfilling) and longer ones do not.
BOOST_AUTO_TEST_CASE(ShortTasksBackfillReservedWorker) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 64'000, 100'000, 8)});
  StepSpec occupying = Fixture::Step(1, 1000, 100, 4);
  occupying.estimate = absl::Seconds(10);
  fixture.AddJob(Fixture::Job("occupying", {occupying}, 2, /*priority=*/0));
  BOOST_REQUIRE_EQUAL(Starts(fixture.Round()).size(), 1U);
  fixture.AddJob(Fixture::Job("whole", {Fixture::Step(1, 1000, 100, 8)}, 2, /*priority=*/1));
  StepSpec longer = Fixture::Step(1, 1000, 100, 1);
  longer.estimate = absl::Seconds(8);
  fixture.AddJob(Fixture::Job("longer", {longer}, 2, /*priority=*/2));
  fixture.AddJob(Fixture::Job("short", {Fixture::Step(2, 1000, 100, 1)}, 2, /*priority=*/2));
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 2U);
  for (const SentOrder& sent : started) {
    BOOST_TEST(sent.order.key.task.rfind("short", 0) == 0U);
  }
}

// Guards against the domino effect in an overload: a job that already misses its latency objective
// does not delay one that can still meet it.
BOOST_AUTO_TEST_CASE(LateJobsGoAfterJobsThatCanMeetObjective) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000)});
  fixture.AddJob(Fixture::Job("late", {Fixture::Step(1, 1000)}));
  // The latency objective of the first job is 3 s.
  fixture.Advance(absl::Seconds(4));
  JobIntake fresh = Fixture::Job("fresh", {Fixture::Step(1, 1000)});
  fresh.accepted = fixture.Now();
  fixture.AddJob(std::move(fresh));
  fixture.Report("w1", {});
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 1U);
  BOOST_TEST(started[0].order.key.task == "fresh.0.0.0");
}

// Guards against priority inversion in a burst: if a backlog of long patient tasks takes every core
// of the pool, short urgent tasks have to wait until some of them end.
BOOST_AUTO_TEST_CASE(PatientBacklogLeavesHeadroomForUrgentBurst) {
  Fixture fixture;
  std::vector<WorkerDescription> workers;
  workers.reserve(10);
  for (int i = 0; i < 10; ++i) {
    workers.push_back(Fixture::Worker("w" + std::to_string(i), 10'000));
  }
  fixture.AddWorkers(workers);
  StepSpec backlog = Fixture::Step(200, 1000);
  backlog.estimate = absl::Seconds(20);
  const StepSpec urgent = Fixture::Step(12, 1000);
  fixture.AddJob(Fixture::Job("backlog", {backlog}, 2, /*priority=*/2));
  fixture.AddJob(Fixture::Job("first", {Fixture::Step(3, 1000)}, 2, /*priority=*/0));
  // The urgent job takes 3 of the 100 cores; the backlog takes the others except the headroom
  // of 15.
  BOOST_TEST(Starts(fixture.Round()).size() == 85U);
  fixture.AddJob(Fixture::Job("burst", {urgent}, 2, /*priority=*/0));
  const std::vector<SentOrder> starts = Starts(fixture.Round());
  BOOST_TEST(starts.size() == 12U);
  for (const SentOrder& start : starts) {
    BOOST_TEST(start.order.key.task.rfind("burst", 0) == 0U);
  }
}

// Guards against idle capacity: the whole pool is used if there is no job of higher priority, or if
// the backlog has no slack left.
BOOST_AUTO_TEST_CASE(HeadroomIsUsedWithoutMoreUrgentWork) {
  for (const bool late : {false, true}) {
    Fixture fixture;
    fixture.AddWorkers({Fixture::Worker("w1", 10'000)});
    StepSpec backlog = Fixture::Step(20, 1000);
    backlog.estimate = absl::Seconds(20);
    JobIntake job = Fixture::Job("backlog", {backlog}, 2, /*priority=*/2);
    if (late) {
      job.accepted = fixture.Now() - absl::Seconds(30);
      StepSpec blocked = Fixture::Step(1, 50'000);
      fixture.AddJob(Fixture::Job("urgent", {blocked}, 2, /*priority=*/0));
    }
    fixture.AddJob(std::move(job));
    BOOST_TEST(Starts(fixture.Round()).size() == 10U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
