#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

JobIntake GangJob(const std::string& id) {
  StepSpec gang = Fixture::Step(2, 1000);
  gang.gang = true;
  return Fixture::Job(id, {gang});
}

// A gang of two tasks whose starts are ordered, one on each of two workers.
class GangFixture : public Fixture {
 public:
  GangFixture() {
    AddWorkers({Worker("w1", 1000), Worker("w2", 1000)});
    AddJob(GangJob("a"));
    ordered = Starts(Round(/*confirm=*/false));
    BOOST_REQUIRE_EQUAL(ordered.size(), 2U);
  }

  void Finish(const SentOrder& sent, const OrderOutcome& outcome) {
    scheduler().StartFinished(sent.worker, sent.order.key, outcome, Now());
  }

  std::vector<SentOrder> ordered;
};

const OrderOutcome kAccepted{OrderAnswer::kAccepted, false};
const OrderOutcome kNotSent{std::nullopt, true};

BOOST_AUTO_TEST_SUITE(GangTest)

// Guards against members of a gang that wait for the others until they give up: one start was
// refused, or got no answer, and the others went on waiting.
BOOST_AUTO_TEST_CASE(MembersStopWhenOneDoesNotStart) {
  for (const OrderOutcome& outcome :
       {OrderOutcome{OrderAnswer::kTicketRefused, false}, OrderOutcome{OrderAnswer::kNoRoom, false},
        OrderOutcome{OrderAnswer::kUnhealthy, false}, kNotSent, OrderOutcome{}}) {
    GangFixture fixture;
    const SentOrder& started = fixture.ordered[0];
    fixture.Finish(started, kAccepted);
    fixture.Finish(fixture.ordered[1], outcome);
    bool stopped = false;
    for (const SentOrder& stop : Stops(fixture.Round())) {
      stopped = stopped || stop.order.key == started.order.key;
    }
    BOOST_TEST(stopped);
  }
}

// Guards against the same when the worker of one member is lost.
BOOST_AUTO_TEST_CASE(MembersStopWhenOneLosesItsWorker) {
  GangFixture fixture;
  fixture.Finish(fixture.ordered[0], kAccepted);
  fixture.Finish(fixture.ordered[1], kAccepted);
  fixture.scheduler().WorkerReplaced(fixture.ordered[1].worker, fixture.Now());
  const std::vector<SentOrder> stops = Stops(fixture.Round());
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST((stops[0].order.key == fixture.ordered[0].order.key));
}

// Guards against the same when one member makes no progress: the others were stopped only after it
// had ended.
BOOST_AUTO_TEST_CASE(MembersStopWithOneThatMakesNoProgress) {
  GangFixture fixture;
  for (const SentOrder& sent : fixture.ordered) {
    fixture.Finish(sent, kAccepted);
  }
  const SentOrder& stalled = fixture.ordered[0];
  const SentOrder& other = fixture.ordered[1];
  for (int second = 0; second < 4; ++second) {
    fixture.Report(other.worker.value(), {Fixture::Running(other.order.key, 10 + second)});
    fixture.Report(stalled.worker.value(), {Fixture::Running(stalled.order.key, 0)});
    fixture.Advance(absl::Seconds(1));
  }
  BOOST_TEST(Stops(fixture.Round()).size() == 2U);
}

// Guards against the same after a takeover: the earlier owner was lost before it had started all
// members.
BOOST_AUTO_TEST_CASE(NextOwnerStopsMembersOfAnIncompleteGang) {
  GangFixture fixture;
  const SentOrder& started = fixture.ordered[0];
  const SentOrder& missing = fixture.ordered[1];
  const std::vector<WorkerDescription> workers = {Fixture::Worker("w1", 1000),
                                                  Fixture::Worker("w2", 1000)};
  fixture.TakeOver({GangJob("a")}, workers);
  fixture.Report(started.worker.value(), {Fixture::Running(started.order.key, 0)});
  BOOST_TEST(fixture.Round().empty());
  fixture.Report(missing.worker.value(), {});
  const std::vector<SentOrder> stops = Stops(fixture.Round());
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST((stops[0].order.key == started.order.key));
}

// Guards against gangs that are started with several checkpoints, one for each member: members wait
// in vain for others that resume from another checkpoint.
BOOST_AUTO_TEST_CASE(MembersStartWithTheSameCheckpoint) {
  GangFixture fixture;
  for (const SentOrder& sent : fixture.ordered) {
    fixture.Finish(sent, kAccepted);
  }
  const AttemptKey first = fixture.ordered[0].order.key;
  const AttemptKey second = fixture.ordered[1].order.key;
  fixture.Report(fixture.ordered[0].worker.value(), {RunningAttempt{first, "c1", 10, 0}});
  fixture.Report(fixture.ordered[1].worker.value(), {RunningAttempt{second, "c2", 20, 0}});
  fixture.Report(fixture.ordered[1].worker.value(), {}, {{second, AttemptEnd::kFailed}});
  fixture.Report(fixture.ordered[0].worker.value(), {}, {{first, AttemptEnd::kGangBroken}});
  const std::vector<SentOrder> restarted = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(restarted.size(), 2U);
  for (const SentOrder& sent : restarted) {
    BOOST_TEST(sent.order.checkpoint == "c2");
  }
}

// Guards against the same when the next owner restarts the gang and only one member had reported a
// checkpoint.
BOOST_AUTO_TEST_CASE(NextOwnerStartsMembersWithTheSameCheckpoint) {
  GangFixture fixture;
  for (const SentOrder& sent : fixture.ordered) {
    fixture.Finish(sent, kAccepted);
  }
  const AttemptKey first = fixture.ordered[0].order.key;
  const AttemptKey second = fixture.ordered[1].order.key;
  fixture.Report(fixture.ordered[0].worker.value(), {RunningAttempt{first, "c1", 10, 0}});
  fixture.Report(fixture.ordered[0].worker.value(), {}, {{first, AttemptEnd::kGangBroken}});
  fixture.Report(fixture.ordered[1].worker.value(), {}, {{second, AttemptEnd::kFailed}});
  fixture.CommitAll();
  const std::vector<WorkerDescription> workers = {Fixture::Worker("w1", 1000),
                                                  Fixture::Worker("w2", 1000)};
  fixture.TakeOver({GangJob("a")}, workers);
  fixture.AddWorkers(workers);
  const std::vector<SentOrder> restarted = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(restarted.size(), 2U);
  for (const SentOrder& sent : restarted) {
    BOOST_TEST(sent.order.checkpoint == "c1");
  }
}

// Guards against members that are started although the gang cannot become complete, and against
// workers that get no starts for up to a second because such an order was given up.
BOOST_AUTO_TEST_CASE(MembersThatAreNotSentYetAreGivenUp) {
  GangFixture fixture;
  const SentOrder& waiting = fixture.ordered[1];
  fixture.Finish(fixture.ordered[0], OrderOutcome{OrderAnswer::kNoRoom, false});
  BOOST_TEST(!fixture.scheduler()
                  .PrepareStart(waiting.worker, waiting.order.key, fixture.Now())
                  .has_value());
  fixture.Finish(waiting, kNotSent);
  fixture.AddJob(Fixture::Job("b", {Fixture::Step(1, 1000)}, 2, /*priority=*/0));
  const std::vector<SentOrder> next = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(next.size(), 1U);
  BOOST_TEST((next[0].worker == waiting.worker));
}

// Guards against members that are stopped although the gang has succeeded: the end of one member
// stands for all.
BOOST_AUTO_TEST_CASE(SuccessOfOneMemberStopsNone) {
  GangFixture fixture;
  for (const SentOrder& sent : fixture.ordered) {
    fixture.Finish(sent, kAccepted);
  }
  const SentOrder& first = fixture.ordered[0];
  const SentOrder& second = fixture.ordered[1];
  fixture.Report(first.worker.value(), {}, {{first.order.key, AttemptEnd::kSucceeded}});
  fixture.Report(second.worker.value(), {}, {{second.order.key, AttemptEnd::kSucceeded}});
  BOOST_TEST(fixture.Round().empty());
  fixture.CommitAll();
  BOOST_TEST((fixture.State("a") == CellJobState::kCompleted));
}

// Guards against a second run of a gang that has succeeded: the owner acknowledged the ends of the
// other members before the success was stored, was lost, and the next owner learned of no end.
BOOST_AUTO_TEST_CASE(EndsOfAllMembersWaitForTheStoredSuccess) {
  GangFixture fixture;
  for (const SentOrder& sent : fixture.ordered) {
    fixture.Finish(sent, kAccepted);
  }
  for (const SentOrder& sent : fixture.ordered) {
    fixture.Report(sent.worker.value(), {}, {{sent.order.key, AttemptEnd::kSucceeded}});
  }
  for (const SentOrder& sent : fixture.ordered) {
    BOOST_TEST(fixture.scheduler().AcknowledgedEnd(sent.worker).value() == 0);
  }
  fixture.CommitAll();
  for (const SentOrder& sent : fixture.ordered) {
    BOOST_TEST(fixture.scheduler().AcknowledgedEnd(sent.worker).value() == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
