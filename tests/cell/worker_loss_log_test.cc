#include <boost/test/unit_test.hpp>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

BOOST_AUTO_TEST_SUITE(WorkerLossLogTest)

// Guards against logs that do not tell which tasks were on a crashed worker, and for how long.
BOOST_AUTO_TEST_CASE(LogNamesTheTasksOnACrashedWorkerAndTheirRunTimes) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 2000)});
  fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
  fixture.Round();
  fixture.Advance(absl::Milliseconds(300));
  fixture.AddJob(Fixture::Job("b", {Fixture::Step(1, 1000)}));
  fixture.Round();
  fixture.Advance(absl::Milliseconds(20));
  fixture.Crash("w1", "w2");
  const std::vector<Event> lost = fixture.Events(EventCode::kWorkerLost);
  BOOST_REQUIRE_EQUAL(lost.size(), 1U);
  BOOST_TEST(lost[0].fields.at("cause") == "crashed");
  BOOST_TEST(lost[0].fields.at("attempts") == "2");
  const std::vector<Event> tasks = fixture.Events(EventCode::kTaskWorkerLost);
  BOOST_REQUIRE_EQUAL(tasks.size(), 2U);
  BOOST_TEST(tasks[0].fields.at("task") == "a.0.0.0");
  BOOST_TEST(tasks[0].fields.at("ran_ms") == "320");
  BOOST_TEST(tasks[0].fields.at("beside") == "1");
  BOOST_TEST(tasks[1].fields.at("ran_ms") == "20");
}

// Guards against logs in which a worker that is cut off looks like one that crashed.
BOOST_AUTO_TEST_CASE(LogTellsCutOffAndLeavingWorkersFromCrashedOnes) {
  for (const std::string cause : {"cut off", "vanished", "left"}) {
    Fixture fixture;
    WorkerDescription worker = Fixture::Worker("w1", 1000);
    fixture.AddWorkers({worker});
    fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
    BOOST_REQUIRE_EQUAL(Starts(fixture.Round()).size(), 1U);
    worker.draining = cause == "left";
    const std::vector<WorkerDescription> listed = {worker};
    fixture.scheduler().UpdateDirectory(
        cause == "vanished" ? std::vector<WorkerDescription>() : listed, fixture.Now());
    fixture.scheduler().HoldFailed(worker.id, fixture.Now());
    fixture.Advance(absl::Seconds(7));
    fixture.Round();
    const std::vector<Event> lost = fixture.Events(EventCode::kWorkerLost);
    BOOST_REQUIRE_EQUAL(lost.size(), 1U);
    BOOST_TEST(lost[0].fields.at("cause") == cause);
  }
}

// Guards against starts that the log does not explain, since the capacity had changed.
BOOST_AUTO_TEST_CASE(LogNamesChangesOfAWorkersCapacity) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w1", 2000)});
  fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1500)}));
  fixture.Round();
  fixture.scheduler().UpdateDirectory({Fixture::Worker("w1", 1000)}, fixture.Now());
  const std::vector<Event> changes = fixture.Events(EventCode::kWorkerCapacityChanged);
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(changes[0].fields.at("before") == "2000");
  BOOST_TEST(changes[0].fields.at("capacity") == "1000");
  BOOST_TEST(changes[0].fields.at("reserved") == "1500");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
