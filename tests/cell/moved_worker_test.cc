#include <boost/test/unit_test.hpp>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

BOOST_AUTO_TEST_SUITE(MovedWorkerTest)

// Guards against a start order that gets no answer because its worker has moved to another address:
// the task would wait for as long as the worker lives.
BOOST_AUTO_TEST_CASE(StartSentToTheFormerAddressIsSettled) {
  SchedulerFixture fixture;
  fixture.AddWorkers({SchedulerFixture::Worker("w1", 1000)});
  fixture.AddJob(SchedulerFixture::Job("a", {SchedulerFixture::Step(1, 1000)}));
  const std::vector<SentOrder> sent = Starts(fixture.Round(/*confirm=*/false));
  BOOST_REQUIRE_EQUAL(sent.size(), 1U);
  fixture.scheduler().WorkerMoved(WorkerId("w1"), fixture.Now());
  // The worker may run the attempt, so it is stopped before the task starts again.
  const std::vector<SentOrder> next = fixture.Round();
  BOOST_TEST(Starts(next).empty());
  BOOST_REQUIRE_EQUAL(Stops(next).size(), 1U);
  BOOST_TEST((Stops(next)[0].order.key == sent[0].order.key));
  fixture.Report("w1", {});
  fixture.scheduler().ConfirmRoster({WorkerId("w1")});
  const std::vector<SentOrder> again = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(again.size(), 1U);
  BOOST_TEST((sent[0].order.key.run < again[0].order.key.run));
}

// Guards against two runs of a task: the stored roster has the former address of a worker, another
// worker refuses the next owner's call there, and that owner takes the tasks for lost.
BOOST_AUTO_TEST_CASE(NothingStartsAtTheNewAddressUntilTheRosterHasIt) {
  SchedulerFixture fixture;
  WorkerDescription worker = SchedulerFixture::Worker("w1", 1000);
  fixture.AddWorkers({worker});
  worker.address = "10.0.0.2:80";
  fixture.scheduler().UpdateDirectory({worker}, fixture.Now());
  fixture.scheduler().WorkerMoved(worker.id, fixture.Now());
  fixture.Report("w1", {});
  fixture.AddJob(SchedulerFixture::Job("a", {SchedulerFixture::Step(1, 1000)}));
  BOOST_TEST(Starts(fixture.Round()).empty());
  const std::vector<RosterEntry> roster = fixture.scheduler().BuildRoster(fixture.Now());
  BOOST_REQUIRE_EQUAL(roster.size(), 1U);
  BOOST_TEST(roster[0].worker.address == worker.address);
  fixture.scheduler().ConfirmRoster({worker.id});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
