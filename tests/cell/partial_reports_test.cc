#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

constexpr bool kMayOmitEnds = true;
// Longer than the lease of an earlier owner, in steps that keep the present owner's lease alive.
constexpr int kReportsPastTheLease = 10;
constexpr absl::Duration kReportInterval = absl::Seconds(1);

// Starts a job of two tasks on the worker w1. Returns the keys of its attempts.
std::vector<AttemptKey> StartTwoTasks(Fixture* fixture, const JobIntake& job) {
  fixture->AddWorkers({Fixture::Worker("w1", 2000), Fixture::Worker("w2", 2000)});
  fixture->scheduler().UpdateDirectory({Fixture::Worker("w1", 2000)}, fixture->Now());
  fixture->AddJob(job);
  std::vector<AttemptKey> keys;
  for (const SentOrder& sent : Starts(fixture->Round())) {
    keys.push_back(sent.order.key);
  }
  BOOST_REQUIRE_EQUAL(keys.size(), 2U);
  return keys;
}

BOOST_AUTO_TEST_SUITE(PartialReportsTest)

// Guards against a second run of finished tasks after a takeover: a worker lists only the first of
// the ends that wait there, and the next owner takes the other tasks for not started.
BOOST_AUTO_TEST_CASE(InheritedTasksWaitForEndsThatAReportOmits) {
  Fixture fixture;
  const JobIntake job = Fixture::Job("a", {Fixture::Step(2, 1000)});
  const std::vector<AttemptKey> keys = StartTwoTasks(&fixture, job);
  fixture.TakeOver({job}, {Fixture::Worker("w1", 2000), Fixture::Worker("w2", 2000)});
  fixture.scheduler().ConfirmRoster({WorkerId("w1"), WorkerId("w2")});
  fixture.Report("w2", {});
  fixture.Report("w1", {}, {{keys[0], AttemptEnd::kSucceeded}}, kMayOmitEnds);
  BOOST_TEST(Starts(fixture.Round()).empty());
  for (int i = 0; i < kReportsPastTheLease; ++i) {
    fixture.Advance(kReportInterval);
    fixture.Report("w2", {});
    fixture.Report("w1", {}, {}, kMayOmitEnds);
    BOOST_TEST(Starts(fixture.Round()).empty());
  }
  fixture.Report("w1", {}, {{keys[1], AttemptEnd::kSucceeded}});
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.CommitAll();
  BOOST_TEST((fixture.State("a") == CellJobState::kCompleted));
}

// Guards against the same when the next owner is replaced in turn, in a planned handover, before it
// has seen all ends: the list of what may run does not contain the attempts that it does not know.
BOOST_AUTO_TEST_CASE(HandoverDoesNotVouchForAPartlyReportedWorker) {
  Fixture fixture;
  const JobIntake job = Fixture::Job("a", {Fixture::Step(2, 1000)});
  const std::vector<AttemptKey> keys = StartTwoTasks(&fixture, job);
  fixture.TakeOver({job}, {Fixture::Worker("w1", 2000)});
  fixture.Report("w1", {}, {{keys[0], AttemptEnd::kSucceeded}}, kMayOmitEnds);
  fixture.CommitAll();
  std::vector<RosterEntry> roster = fixture.scheduler().BuildHandoverRoster(fixture.Now());
  roster.emplace_back().worker = Fixture::Worker("w2", 2000);
  fixture.TakeOver({job}, roster);
  fixture.scheduler().ConfirmRoster({WorkerId("w2")});
  fixture.Report("w2", {});
  BOOST_TEST(Starts(fixture.Round()).empty());
}

// Guards against a second run of a task whose owner stays the same: over a longer outage of the
// store, more ends pile up at the worker than one report lists. The attempts count as neither over
// nor stalled.
BOOST_AUTO_TEST_CASE(AttemptMissingFromAPartialReportIsKept) {
  Fixture fixture;
  const JobIntake job = Fixture::Job("a", {Fixture::Step(2, 1000)});
  const std::vector<AttemptKey> keys = StartTwoTasks(&fixture, job);
  fixture.Report("w1", {Fixture::Running(keys[0]), Fixture::Running(keys[1])});
  fixture.Report("w1", {}, {{keys[0], AttemptEnd::kSucceeded}}, kMayOmitEnds);
  for (int i = 0; i < kReportsPastTheLease; ++i) {
    BOOST_TEST(fixture.Round().empty());
    fixture.Advance(kReportInterval);
    fixture.Report("w1", {}, {}, kMayOmitEnds);
  }
  fixture.Report("w1", {}, {{keys[1], AttemptEnd::kSucceeded}});
  BOOST_TEST(fixture.Round().empty());
  fixture.CommitAll();
  BOOST_TEST((fixture.State("a") == CellJobState::kCompleted));
}

// Guards against a second run of a task whose start was not answered: the report that is requested
// after its stop acknowledges nothing, so it lists the oldest ends only.
BOOST_AUTO_TEST_CASE(PartialReportDoesNotSettleAnUnansweredStart) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000)});
  fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
  const AttemptKey key = Starts(fixture.Round(/*confirm=*/false)).at(0).order.key;
  fixture.scheduler().StartFinished(WorkerId("w1"), key, OrderOutcome{}, fixture.Now());
  BOOST_REQUIRE_EQUAL(Stops(fixture.Round()).size(), 1U);
  fixture.Advance(absl::Milliseconds(1));
  WorkerReport report;
  report.started_at = absl::UnixEpoch();
  report.may_omit_ends = true;
  const WorkerId worker("w1");
  BOOST_TEST(!fixture.scheduler().ResolveStoppedAttempt(worker, key, report, fixture.Now(),
                                                        fixture.Now()));
  report.may_omit_ends = false;
  BOOST_TEST(
      fixture.scheduler().ResolveStoppedAttempt(worker, key, report, fixture.Now(), fixture.Now()));
}

// Guards against an unnoticed change of the number of ends that a worker lists at a time: an end
// whose attempt earlier reports have not shown is logged.
BOOST_AUTO_TEST_CASE(EndThatACompleteReportOmittedIsLogged) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 1000)});
  BOOST_TEST(fixture.Events(EventCode::kUnexpectedEnd).empty());
  fixture.Report("w1", {}, {{AttemptKey{"a.0.0.0", RunNumber(1)}, AttemptEnd::kSucceeded}});
  BOOST_TEST(fixture.Events(EventCode::kUnexpectedEnd).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
