#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// Longer than a worker may be silent before the roster lists it as unreachable.
constexpr absl::Duration kUnreachable = absl::Seconds(1);
// The longest time from the last extension of a lease to its end, with the drift of clocks.
constexpr absl::Duration kMaxLease = absl::Milliseconds(6540);

// A pool of two workers, each of which has capacity for the whole job "a". Its owner is stopped.
class HandoverFixture : public Fixture {
 public:
  explicit HandoverFixture(StepSpec step = Step(1, 1000))
      : job(Job("a", {std::move(step)}, /*max_attempts=*/3)) {
    AddWorkers({Worker("w1", 4000), Worker("w2", 4000)});
    AddJob(job);
  }

  // Sends the starts of all tasks of the job, without answers.
  void StartTasks() {
    started = Starts(Round(/*confirm=*/false));
    BOOST_REQUIRE(!started.empty());
    worker = started[0].worker.value();
    other = worker == "w1" ? "w2" : "w1";
  }
  void Answer(const SentOrder& start, std::optional<OrderAnswer> answer) {
    scheduler().StartFinished(start.worker, start.order.key, OrderOutcome{answer, false}, Now());
  }
  // The owner stops, and the next one reads the list that was stored. `reporting` reports to it.
  void HandOver(const std::string& reporting, std::vector<RunningAttempt> running = {}) {
    const std::string text = EncodeRoster(scheduler().BuildHandoverRoster(Now()));
    TakeOver({job}, Capture([&text] { return DecodeRoster(text); }).value());
    scheduler().ConfirmRoster({WorkerId(reporting)});
    Report(reporting, std::move(running));
  }
  const AttemptKey& key() const { return started[0].order.key; }

  const JobIntake job;
  std::vector<SentOrder> started;
  std::string worker;
  std::string other;
};

BOOST_AUTO_TEST_SUITE(HandoverTest)

// Guards against two runs of a task after a planned stop of the owner: a start got no answer, so
// the attempt is listed as one to be stopped, and the next owner started the task elsewhere at
// once.
BOOST_AUTO_TEST_CASE(UnansweredStartIsNotRepeatedWhileItMayRun) {
  HandoverFixture fixture;
  fixture.StartTasks();
  fixture.Answer(fixture.started[0], std::nullopt);
  fixture.HandOver(fixture.other);
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.Report(fixture.worker, {Fixture::Running(fixture.key())});
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.Report(fixture.worker, {}, {{fixture.key(), AttemptEnd::kStopped}});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
}

// Guards against the same if the worker has been cut off: nobody can stop the attempt there until
// its lease is over.
BOOST_AUTO_TEST_CASE(TaskOfACutOffWorkerWaitsForItsLease) {
  HandoverFixture fixture;
  fixture.StartTasks();
  fixture.Answer(fixture.started[0], std::nullopt);
  fixture.scheduler().HoldFailed(WorkerId(fixture.worker), fixture.Now());
  fixture.Advance(kUnreachable);
  fixture.scheduler().BuildRoster(fixture.Now());
  fixture.HandOver(fixture.other);
  const absl::Time taken_over = fixture.Now();
  while (Starts(fixture.Round()).empty()) {
    fixture.Advance(absl::Milliseconds(100));
    fixture.Report(fixture.other, {});
    BOOST_REQUIRE(fixture.Now() - taken_over < 2 * kMaxLease);
  }
  BOOST_TEST(fixture.Now() - taken_over > kMaxLease - kUnreachable - absl::Milliseconds(200));
}

// Guards against a second run of a task that succeeds while it is being stopped.
BOOST_AUTO_TEST_CASE(SuccessOfAnAttemptBeingStoppedCounts) {
  HandoverFixture fixture;
  fixture.StartTasks();
  fixture.Answer(fixture.started[0], std::nullopt);
  fixture.HandOver(fixture.other);
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.Report(fixture.worker, {}, {{fixture.key(), AttemptEnd::kSucceeded}});
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.CommitAll();
  BOOST_TEST((fixture.State("a") == CellJobState::kCompleted));
}

// Guards against a wait without a bound for an attempt that has never begun: the next owner learns
// from the worker that the unanswered start was not carried out.
BOOST_AUTO_TEST_CASE(UnansweredStartThatNeverBeganIsRepeated) {
  HandoverFixture fixture;
  fixture.StartTasks();
  fixture.Answer(fixture.started[0], std::nullopt);
  fixture.HandOver(fixture.other);
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.Report(fixture.worker, {});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
}

// Guards against a gang that starts again beside its members that are being stopped, because
// another member could not be started.
BOOST_AUTO_TEST_CASE(GangBeingStoppedStartsAgainOnceAllMembersHaveEnded) {
  StepSpec step = Fixture::Step(2, 1000);
  step.max_per_worker = 1;
  step.gang = true;
  HandoverFixture fixture(step);
  fixture.StartTasks();
  BOOST_REQUIRE_EQUAL(fixture.started.size(), 2U);
  fixture.Answer(fixture.started[0], OrderAnswer::kAccepted);
  fixture.Answer(fixture.started[1], OrderAnswer::kNoRoom);
  const std::string refusing = fixture.started[1].worker.value();
  fixture.HandOver(refusing);
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.Report(fixture.worker, {Fixture::Running(fixture.key())});
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.Report(fixture.worker, {}, {{fixture.key(), AttemptEnd::kStopped}});
  fixture.scheduler().ConfirmRoster({WorkerId("w1"), WorkerId("w2")});
  BOOST_TEST(Starts(fixture.Round()).size() == 2U);
}

// Guards against a third run of a task whose older attempt is listed beside the newer one: the
// newer one is the task's, whichever of them is to be stopped and on whichever worker it is.
BOOST_AUTO_TEST_CASE(NewestListedAttemptIsTheOneOfItsTask) {
  for (const bool newer_on_first : {false, true}) {
    HandoverFixture fixture;
    fixture.StartTasks();
    fixture.Answer(fixture.started[0], OrderAnswer::kAccepted);
    const AttemptKey newer{fixture.key().task, RunNumber(fixture.key().run.value() + 1)};
    std::vector<RosterEntry> roster(2);
    for (size_t i = 0; i < roster.size(); ++i) {
      const bool has_newer = (i == 0) == newer_on_first;
      roster[i].worker = Fixture::Worker(i == 0 ? "w1" : "w2", 4000);
      roster[i].handover_term = 1;
      roster[i].attempts = {has_newer ? newer : fixture.key()};
      roster[i].stopping = roster[i].attempts;
    }
    fixture.TakeOver({fixture.job}, roster);
    const std::string older_on = newer_on_first ? "w2" : "w1";
    const std::string newer_on = newer_on_first ? "w1" : "w2";
    fixture.Report(older_on, {}, {{fixture.key(), AttemptEnd::kStopped}});
    BOOST_TEST(Starts(fixture.Round()).empty());
    fixture.Report(newer_on, {}, {{newer, AttemptEnd::kStopped}});
    BOOST_TEST(Starts(fixture.Round()).size() == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
