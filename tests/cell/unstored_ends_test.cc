#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// Longer than a worker may be silent before the roster lists it as unreachable.
constexpr absl::Duration kUnreachable = absl::Seconds(3);

// A pool of two workers. The only task of the job "a" has succeeded on `worker`, and the store has
// not accepted the result yet.
class UnstoredEndFixture : public Fixture {
 public:
  UnstoredEndFixture() {
    AddWorkers({Worker("w1", 1000), Worker("w2", 1000)});
    AddJob(job);
    const SentOrder sent = Starts(Round()).at(0);
    key = sent.order.key;
    worker = sent.worker.value();
    other = worker == "w1" ? "w2" : "w1";
    Report(worker, {}, {{key, AttemptEnd::kSucceeded}});
  }

  // Replaces the owner by one to which only the other worker has reported. Returns the number of
  // tasks that the new owner starts.
  size_t StartsOfNextOwner(const std::vector<RosterEntry>& roster) {
    TakeOver({job}, roster);
    scheduler().UpdateDirectory({Worker("w1", 1000), Worker("w2", 1000)}, Now());
    scheduler().ConfirmRoster({WorkerId("w1"), WorkerId("w2")});
    Report(other, {});
    return Starts(Round()).size();
  }

  const JobIntake job = Job("a", {Step(1, 1000)});
  AttemptKey key;
  std::string worker;
  std::string other;
};

BOOST_AUTO_TEST_SUITE(UnstoredEndsTest)

// Guards against a second run of a finished task after a planned handover while the store is slow:
// the owner stops before the result is stored, and its list of what may run vouches for the worker.
BOOST_AUTO_TEST_CASE(HandoverListsAttemptsWhoseEndsAreNotStored) {
  UnstoredEndFixture fixture;
  BOOST_TEST(fixture.StartsOfNextOwner(fixture.scheduler().BuildHandoverRoster(fixture.Now())) ==
             0U);
  // The worker repeats the end to the next owner.
  WorkerReport report;
  report.started_at = absl::UnixEpoch();
  report.ended = {EndedAttempt{EndNumber(1), fixture.key, AttemptEnd::kSucceeded, ""}};
  fixture.Advance(absl::Milliseconds(1));
  fixture.scheduler().ApplyReport(WorkerId(fixture.worker), report, fixture.Now(), fixture.Now());
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.CommitAll();
  BOOST_TEST((fixture.State("a") == CellJobState::kCompleted));
}

// Guards against the same if the worker becomes unreachable and the owner is lost before the result
// is stored: the roster says that nothing runs on the worker.
BOOST_AUTO_TEST_CASE(RosterListsUnstoredEndsOfUnreachableWorkers) {
  UnstoredEndFixture fixture;
  fixture.scheduler().HoldFailed(WorkerId(fixture.worker), fixture.Now());
  fixture.Advance(kUnreachable);
  BOOST_TEST(fixture.StartsOfNextOwner(fixture.scheduler().BuildRoster(fixture.Now())) == 0U);
}

// Guards against the same for a worker that drains and runs nothing else: it left the roster before
// the result was stored.
BOOST_AUTO_TEST_CASE(DrainingWorkerStaysOnTheRosterUntilItsEndsAreStored) {
  UnstoredEndFixture fixture;
  std::vector<WorkerDescription> workers = {Fixture::Worker("w1", 1000),
                                            Fixture::Worker("w2", 1000)};
  for (WorkerDescription& worker : workers) {
    worker.draining = worker.id.value() == fixture.worker;
  }
  fixture.scheduler().UpdateDirectory(workers, fixture.Now());
  const std::vector<RosterEntry> roster = fixture.scheduler().BuildRoster(fixture.Now());
  BOOST_TEST(fixture.StartsOfNextOwner(roster) == 0U);
}

// Guards against workers that stay on the roster for ever: once the result is stored, the next
// owner waits neither for an unreachable nor for a draining worker.
BOOST_AUTO_TEST_CASE(StoredEndsLeaveTheRoster) {
  UnstoredEndFixture fixture;
  fixture.CommitAll();
  fixture.scheduler().HoldFailed(WorkerId(fixture.worker), fixture.Now());
  fixture.Advance(kUnreachable);
  for (const RosterEntry& entry : fixture.scheduler().BuildRoster(fixture.Now())) {
    BOOST_TEST(entry.worker.id.value() != fixture.worker);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
