#include <boost/test/unit_test.hpp>

#include "tests/cell/advised_fixture.h"

namespace pomelotray {
namespace {

// A step with a ticket of 2 s and one start that is still in the queue of its worker.
class QueuedStart : public AdvisedFixture {
 public:
  explicit QueuedStart(absl::Duration advice_age = absl::ZeroDuration()) {
    AddWorkers({Worker("w1", 2000)});
    AddAdvisedJob("a", Step(2, 2000));
    AnswerQuestion(RunAdviceRound(1), {"w1"}, advice_age);
    start_ = scheduler().Schedule(Now()).orders.at(0);
  }

  bool IsSent() {
    return scheduler().PrepareStart(start_.first, start_.second.key, Now()).has_value();
  }
  void Finish(const OrderOutcome& outcome) {
    scheduler().StartFinished(start_.first, start_.second.key, outcome, Now());
  }

 private:
  std::pair<WorkerId, WorkerOrder> start_;
};

BOOST_AUTO_TEST_SUITE(TicketExpiryTest)

// Guards against a retry storm: an owner that is behind sent starts whose tickets had run out in
// the queue. The worker refused each of them, and it was tried again.
BOOST_AUTO_TEST_CASE(StartWhoseTicketRanOutInTheQueueIsNotSent) {
  QueuedStart fixture;
  fixture.Advance(absl::Milliseconds(2100));
  BOOST_TEST(!fixture.IsSent());
  fixture.Finish(OrderOutcome{std::nullopt, /*never_sent=*/true});
  // The worker stays in use: the ticket is renewed at once, and the task starts there.
  fixture.AnswerQuestion(fixture.RunAdviceRound(1), {"w1"});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(StartWithAValidTicketIsSent) {
  QueuedStart fixture;
  fixture.Advance(absl::Milliseconds(1900));
  BOOST_TEST(fixture.IsSent());
}

// Guards against starts that are refused although their tickets seem valid: the answer of the
// adviser may have travelled for a while before its tickets were received.
BOOST_AUTO_TEST_CASE(TicketRunsOutAsLongAfterTheDecisionAsItIsValid) {
  QueuedStart fixture(/*advice_age=*/absl::Milliseconds(300));
  fixture.Advance(absl::Milliseconds(1750));
  BOOST_TEST(!fixture.IsSent());
}

// Guards against a step that asks for ever: tickets whose answers take longer than they are valid
// are tried all the same, since only the worker knows whether they have run out.
BOOST_AUTO_TEST_CASE(TicketOfALateAnswerIsTried) {
  QueuedStart fixture(/*advice_age=*/absl::Seconds(3));
  fixture.Advance(absl::Milliseconds(10));
  BOOST_TEST(fixture.IsSent());
}

// Guards against a further question for each start that was refused for an old ticket although the
// step has a newer one by now.
BOOST_AUTO_TEST_CASE(RefusedTicketLeavesANewerOneValid) {
  AdvisedFixture fixture;
  fixture.AddWorkers({SchedulerFixture::Worker("w1", 2000)});
  fixture.AddAdvisedJob("a", SchedulerFixture::Step(2, 1000));
  const AdviceRequest question = fixture.RunAdviceRound(1);
  fixture.AnswerQuestion(question, {"w1"});
  const std::vector<SentOrder> starts = Starts(fixture.Round(/*confirm=*/false));
  BOOST_REQUIRE_EQUAL(starts.size(), 2U);
  fixture.Advance(absl::Milliseconds(100));
  fixture.AnswerQuestion(question, {"w1"});
  fixture.scheduler().StartFinished(starts[0].worker, starts[0].order.key,
                                    OrderOutcome{OrderAnswer::kTicketRefused, false},
                                    fixture.Now());
  const ScheduledOrders next = fixture.scheduler().Schedule(fixture.Now());
  BOOST_TEST(next.advice.empty());
  BOOST_TEST(next.orders.size() == 1U);
}

// Guards against a start that is not repeated because a connection failed at the time when its
// ticket ran out: the worker counts as unreachable then.
BOOST_AUTO_TEST_CASE(FailedConnectionCountsAgainstTheWorker) {
  QueuedStart fixture;
  BOOST_REQUIRE(fixture.IsSent());
  fixture.Advance(absl::Milliseconds(2100));
  fixture.Finish(OrderOutcome{std::nullopt, /*never_sent=*/true});
  BOOST_TEST(!fixture.scheduler().IsTrusted(WorkerId("w1")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
