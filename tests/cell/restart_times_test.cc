#include <boost/test/unit_test.hpp>

#include "tests/cell/running_pool.h"

namespace pomelotray {
namespace {

int64_t Millis(const Event& event, const char* field) { return std::stoll(event.fields.at(field)); }

BOOST_AUTO_TEST_SUITE(RestartTimesTest)

// Guards against restarts of which the log does not show which part took too long: here, the lease
// of a worker that does not answer any more.
BOOST_AUTO_TEST_CASE(RestartAfterALossNamesItsParts) {
  RunningPool pool;
  pool.AddWorkers(2, 1000);
  pool.Add(LongRunningJob("j", 1, 1000));
  pool.Run(absl::Seconds(2));
  const std::string lost = pool.WorkerOf("j");
  pool.running().erase(lost);
  pool.fixture().scheduler().HoldFailed(WorkerId(lost), pool.fixture().Now());
  pool.Run(absl::Seconds(8));
  const std::vector<Event> restarts = pool.fixture().Events(EventCode::kTaskRestarted);
  BOOST_REQUIRE(restarts.size() == 1U);
  const Event& restart = restarts[0];
  BOOST_TEST(Millis(restart, "lease_ms") > 6000);
  BOOST_TEST(Millis(restart, "lease_ms") < 7000);
  BOOST_TEST(Millis(restart, "rules_ms") < 200);
  BOOST_TEST(Millis(restart, "orders") == 1);
  BOOST_TEST(Millis(restart, "without_run_ms") ==
             Millis(restart, "lease_ms") + Millis(restart, "rules_ms") +
                 Millis(restart, "advice_ms") + Millis(restart, "order_ms"));
}

// Guards against restarts that are logged for a task that an earlier owner started.
BOOST_AUTO_TEST_CASE(AdoptedRunIsNoRestart) {
  RunningPool pool;
  pool.AddWorkers(1, 1000);
  pool.Add(LongRunningJob("j", 1, 1000));
  pool.Run(absl::Seconds(2));
  SchedulerFixture& fixture = pool.fixture();
  fixture.TakeOver({LongRunningJob("j", 1, 1000)}, {SchedulerFixture::Worker("w0", 1000)});
  pool.Run(absl::Seconds(1));
  BOOST_TEST(fixture.Events(EventCode::kTaskAdopted).size() == 1U);
  BOOST_TEST(fixture.Events(EventCode::kTaskRestarted).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
