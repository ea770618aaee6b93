#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/cell/running_pool.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// Returns the number of starts of the job's tasks among the orders.
int CountStarts(const std::vector<SentOrder>& orders, const std::string& job) {
  int count = 0;
  for (const SentOrder& sent : Starts(orders)) {
    count += IsOfJob(sent.order.key, job) ? 1 : 0;
  }
  return count;
}

BOOST_AUTO_TEST_SUITE(StoredWaitsTest)

// Guards against a wait that begins anew with each owner, so that the rules never give way.
BOOST_AUTO_TEST_CASE(WaitContinuesAfterATakeover) {
  Fixture fixture;
  const std::vector<WorkerDescription> workers = {Fixture::Worker("w1", 1000)};
  fixture.AddWorkers(workers);
  const JobIntake batch = Fixture::Job("batch", {Fixture::Step(1, 1000)}, 2, /*priority=*/0);
  const JobIntake watch = LongRunningJob("watch", 1, 1000);
  fixture.AddJob(batch);
  const std::vector<SentOrder> started = Starts(fixture.Round());
  fixture.AddJob(watch);
  fixture.Round();
  const absl::Time since = fixture.Now();
  fixture.Advance(absl::Seconds(2));
  fixture.Round();
  fixture.CommitAll();
  fixture.TakeOver({batch, watch}, workers);
  fixture.scheduler().ConfirmRoster({WorkerId("w1")});
  fixture.Report("w1", {Fixture::Running(started.at(0).order.key)});
  fixture.Round();
  const CellTask& task = fixture.scheduler().jobs().at(JobId("watch")).runs[0].tasks[0];
  BOOST_TEST(task.waiting_since <= since);
}

// Guards against a task that is taken to wait although it runs, after it had waited once.
BOOST_AUTO_TEST_CASE(StoredWaitEndsWithTheNextStart) {
  Fixture fixture;
  fixture.AddJob(LongRunningJob("watch", 1, 1000));
  fixture.Round();
  fixture.Advance(absl::Seconds(2));
  fixture.Round();
  const auto stored = [&fixture] {
    const std::vector<ProgressRecord> records = fixture.scheduler().TakeChangedRecords(10);
    fixture.scheduler().MarkCommitted(records);
    return records.empty() ? std::string() : records[0].text;
  };
  BOOST_TEST(stored().find("waiting_since_ms") != std::string::npos);
  fixture.AddWorkers({Fixture::Worker("w1", 1000)});
  BOOST_REQUIRE_EQUAL(CountStarts(fixture.Round(), "watch"), 1);
  const std::string after = stored();
  BOOST_TEST(!after.empty());
  BOOST_TEST(after.find("waiting_since_ms") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
