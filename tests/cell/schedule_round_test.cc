#include <boost/test/unit_test.hpp>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// Jobs whose workers the adviser chooses.
class AdvisedFixture : public Fixture {
 public:
  void AddAdvisedJob(const std::string& id, const StepSpec& step) {
    JobIntake job = Job(id, {step});
    job.policy.advice =
        AdvicePolicy{absl::Milliseconds(15), absl::Milliseconds(1), absl::Seconds(2)};
    AddJob(std::move(job));
  }
  // Runs a round that is to put `count` questions, and returns the last.
  AdviceRequest Ask(size_t count) {
    const ScheduledOrders scheduled = scheduler().Schedule(Now());
    BOOST_REQUIRE_EQUAL(scheduled.advice.size(), count);
    return count > 0 ? scheduled.advice.back() : AdviceRequest();
  }
  void Answer(const AdviceRequest& request, const std::vector<std::string>& allowed) {
    Advice advice;
    advice.validity = absl::Seconds(2);
    for (const std::string& worker : allowed) {
      advice.tickets[WorkerId(worker)] = "ticket";
    }
    scheduler().AdviceFinished(request, advice, Now());
  }
};

BOOST_AUTO_TEST_SUITE(ScheduleRoundTest)

// Guards against starvation of large jobs: small tasks of less urgent work would take each
// accelerator that becomes free, so a task that needs all of them would never start.
BOOST_AUTO_TEST_CASE(LargeTaskIsNotStarvedBySmallOnes) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 64'000, 100'000, 8),
                      Fixture::Worker("w2", 64'000, 100'000, 8),
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

// Guards against congestion collapse: the cost of a round for a step that waits grows with the
// workers that the adviser allows (at most 15 here), not with the pool. Load: 252 workers, all
// full, 50 waiting steps of ten tasks.
BOOST_AUTO_TEST_CASE(WaitingStepsCostWhatTheyMayUse) {
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
    fixture.Answer(request, allowed);
  }
  // Once with and once without a valid ticket.
  BOOST_TEST(fixture.scheduler().Schedule(fixture.Now()).rooms_considered <= 50 * 2 * 15);
}

// Guards against a herd of questions: when the pool is full, a step that waits for room does not
// ask about further workers that are full as well, only about one that it could use at once.
BOOST_AUTO_TEST_CASE(FullWorkersAreNotAskedAbout) {
  AdvisedFixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 3000)});
  fixture.AddAdvisedJob("a", Fixture::Step(4, 1000));
  fixture.Answer(fixture.Ask(1), {"w1"});
  BOOST_REQUIRE_EQUAL(Starts(fixture.Round()).size(), 3U);
  fixture.scheduler().UpdateDirectory({Fixture::Worker("w1", 3000), Fixture::Worker("w2", 3000)},
                                      fixture.Now());
  fixture.scheduler().ConfirmRoster({WorkerId("w2")});
  fixture.Report("w2", {}, {});
  fixture.AddJob(Fixture::Job("b", {Fixture::Step(3, 1000)}, 2, /*priority=*/0));
  const std::vector<SentOrder> occupying = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(occupying.size(), 3U);
  fixture.Ask(0);
  fixture.Report(
      "w2", {Fixture::Running(occupying[1].order.key), Fixture::Running(occupying[2].order.key)},
      {{occupying[0].order.key, AttemptEnd::kSucceeded}});
  const AdviceRequest request = fixture.Ask(1);
  BOOST_REQUIRE_EQUAL(request.question.workers.size(), 1U);
  BOOST_TEST(request.question.workers[0].value() == "w2");
}

// Guards against starvation of a gang that was allowed too few workers: it asks about full ones
// too, because room can only be kept for it on workers that it may use.
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
  const AdviceRequest first = fixture.Ask(1);
  fixture.Answer(first, {first.question.workers.front().value()});
  BOOST_TEST(fixture.Ask(1).question.workers.size() == 20U - first.question.workers.size());
}

// Guards against a question for each room that appears: one renewal covers other allowed workers,
// too, within a quarter of the question's base time.
BOOST_AUTO_TEST_CASE(RenewalCoversOtherAllowedWorkers) {
  AdvisedFixture fixture;
  fixture.AddWorkers(
      {Fixture::Worker("w1", 1000), Fixture::Worker("w2", 1000), Fixture::Worker("w3", 1000)});
  fixture.AddAdvisedJob("a", Fixture::Step(4, 1000));
  fixture.Answer(fixture.Ask(1), {"w1", "w2", "w3"});
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
  BOOST_TEST(fixture.Ask(1).question.workers.size() == 3U);
}

// Guards against noisy neighbours: work that fills unused capacity slows tasks that serve users, so
// the two never share a worker, whichever comes first.
BOOST_AUTO_TEST_CASE(FillingWorkKeepsAwayFromServingTasks) {
  for (const bool serving_first : {true, false}) {
    Fixture fixture;
    fixture.AddWorkers({Fixture::Worker("w1", 4000), Fixture::Worker("w2", 4000)});
    StepSpec serving = Fixture::Step(1, 1000);
    serving.long_running = true;
    serving.latency_target = absl::Milliseconds(30);
    StepSpec filling = Fixture::Step(8, 1000);
    filling.fills = true;
    const JobIntake serve = Fixture::Job("serve", {serving});
    const JobIntake fill = Fixture::Job("fill", {filling}, 2, /*priority=*/2);
    fixture.AddJob(serving_first ? serve : fill);
    const std::vector<SentOrder> first = Starts(fixture.Round());
    BOOST_REQUIRE(!first.empty());
    fixture.AddJob(serving_first ? fill : serve);
    const std::vector<SentOrder> second = Starts(fixture.Round());
    for (const SentOrder& a : first) {
      for (const SentOrder& b : second) {
        BOOST_TEST(a.worker.value() != b.worker.value());
      }
    }
  }
}

// Guards against services that find no worker because filling work is everywhere: it makes room.
BOOST_AUTO_TEST_CASE(FillingWorkMakesRoomForServingTasks) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 4000)});
  StepSpec filling = Fixture::Step(2, 1000);
  filling.fills = true;
  fixture.AddJob(Fixture::Job("fill", {filling}, 2, /*priority=*/2));
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

// Guards against idle accelerators: while a task that needs a whole worker waits for a long one to
// end, short tasks run in the room that is kept for it (backfilling), and longer ones do not.
BOOST_AUTO_TEST_CASE(ShortTasksRunInKeptRoomUntilItIsNeeded) {
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

// Guards against the domino effect in an overload: a job that is late anyway does not make the next
// one late as well.
BOOST_AUTO_TEST_CASE(LateJobsWaitBehindThoseThatCanBeInTime) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000)});
  fixture.AddJob(Fixture::Job("late", {Fixture::Step(1, 1000)}));
  // Its objective is 3 s.
  fixture.Advance(absl::Seconds(4));
  JobIntake fresh = Fixture::Job("fresh", {Fixture::Step(1, 1000)});
  fresh.accepted = fixture.Now();
  fixture.AddJob(std::move(fresh));
  fixture.Report("w1", {});
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 1U);
  BOOST_TEST(started[0].order.key.task == "fresh.0.0.0");
}

// Guards against priority inversion in a burst: a backlog of long patient tasks would fill the pool
// to the last core, and short urgent ones would wait until some of them end.
BOOST_AUTO_TEST_CASE(BacklogOfPatientWorkLeavesHeadroomForAnUrgentBurst) {
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
  // The urgent job takes three of a hundred cores; of the rest, the backlog leaves fifteen.
  BOOST_TEST(Starts(fixture.Round()).size() == 85U);
  fixture.AddJob(Fixture::Job("burst", {urgent}, 2, /*priority=*/0));
  const std::vector<SentOrder> starts = Starts(fixture.Round());
  BOOST_TEST(starts.size() == 12U);
  for (const SentOrder& start : starts) {
    BOOST_TEST(start.order.key.task.rfind("burst", 0) == 0U);
  }
}

// Guards against idle room: without more urgent work, or once the backlog itself has to hurry, the
// whole pool is used.
BOOST_AUTO_TEST_CASE(HeadroomIsUsedWhenNobodyUrgentNeedsIt) {
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
