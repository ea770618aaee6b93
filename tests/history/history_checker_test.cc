#include "history/history_checker.h"

#include <string>

#include "boost/test/unit_test.hpp"
#include "tests/history/history_fixture.h"

namespace pomelotray {
namespace {

HistoryChecker::Builder WithCap(int64_t cores, int64_t from_millis = 0) {
  Resources hold;
  hold.cpu = MilliCores(cores * 1000);
  return HistoryChecker::Builder().AddCap(
      CapInForce{CustomerId("market"), HistoryFixture::TimeOf(from_millis), hold});
}

BOOST_FIXTURE_TEST_SUITE(HistoryCheckerTest, HistoryFixture)

// Guards against a second start of work that may not be repeated, which is missed because the first
// had ended.
BOOST_AUTO_TEST_CASE(StartedTwice) {
  Start(1, "w1", "j/0#1", false);
  End(2, "w1", "j/0#1");
  BOOST_TEST(Violated().empty());
  Start(3, "w1", "j/0#2", false);
  const HistoryReport report = Check();
  BOOST_TEST_REQUIRE(report.violations.size() == 1U);
  BOOST_TEST((report.violations[0].rule == HistoryRule::kStartedTwice));
  BOOST_TEST(report.violations[0].events.size() == 3U);
}

// Guards against repeatable work that is taken for a violation when it runs again.
BOOST_AUTO_TEST_CASE(RepeatableWorkMayStartAgain) {
  Start(1, "w1", "j/0#1");
  End(2, "w1", "j/0#1");
  Start(2, "w2", "j/0#2");
  BOOST_TEST(Violated().empty());
}

// Guards against overlapping runs that are missed.
BOOST_AUTO_TEST_CASE(TwoPlaces) {
  Start(1, "w1", "j/0#1");
  Start(3, "w2", "j/0#2");
  End(4, "w1", "j/0#1");
  BOOST_TEST((Violated() == Rules{HistoryRule::kTwoPlaces}));
}

// Guards against verdicts on a worker that was killed: an overlap that its last events prove, one
// that cannot be decided, and a restart that ends the doubt.
BOOST_AUTO_TEST_CASE(KilledWorkers) {
  Start(1, "w1", "j/0#1");
  Start(5, "w2", "j/0#2");
  BOOST_TEST(Violated().empty());
  BOOST_TEST(Check().inconclusive.size() == 1U);
  HistoryFixture restarted = *this;
  restarted.Add(3, "w1", EventCode::kProcessStarted, {{"worker", "w1"}, {"boot", "b2"}});
  BOOST_TEST(restarted.Violated().empty());
  BOOST_TEST(restarted.Check().inconclusive.empty());
  Add(6, "w1", EventCode::kWorkerReservation, {{"worker", "w1"}, {"boot", "b1"}});
  BOOST_TEST((Violated() == Rules{HistoryRule::kTwoPlaces}));
}

// Guards against an owner's view that is taken for a worker's own event.
BOOST_AUTO_TEST_CASE(OwnersViewsAreNoStarts) {
  Start(1, "w1", "j/0#1", false);
  Add(2, "i1", EventCode::kTaskStarted, {{"worker", "w1"}, {"task", "j/0"}, {"attempt", "j/0#1"}});
  BOOST_TEST(Violated().empty());
}

// Guards against overbooking that the worker reports, and that it does not report.
BOOST_AUTO_TEST_CASE(OverCapacity) {
  Start(1, "w1", "j/0#1", true, 3);
  End(2, "w1", "j/0#1");
  Start(2, "w1", "j/1#1", true, 4);
  BOOST_TEST(Violated().empty());
  HistoryFixture reported = *this;
  reported.Add(4, "w1", EventCode::kWorkerReservation,
               {{"worker", "w1"}, {"boot", "b1"}, {"reserved", Cpu(5)}, {"capacity", Cpu(4)}});
  BOOST_TEST((reported.Violated() == Rules{HistoryRule::kOverCapacity}));
  Start(3, "w1", "j/2#1");
  End(4, "w1", "j/1#1");
  BOOST_TEST((Violated() == Rules{HistoryRule::kOverCapacity}));
}

// Guards against a cap that is checked for each worker and not for the customer, and against a
// lowered cap that condemns tasks of before.
BOOST_AUTO_TEST_CASE(CapExceeded) {
  Accept(0, "j");
  Finish(99'000, "j", "succeeded");
  Start(1, "w1", "j/0#1", true, 2);
  Start(2, "w2", "j/1#1", true, 2);
  End(20'000, "w1", "j/0#1");
  End(20'000, "w2", "j/1#1");
  BOOST_TEST(Violated(WithCap(4)).empty());
  BOOST_TEST((Violated(WithCap(3)) == Rules{HistoryRule::kCapExceeded}));
  Resources lower;
  lower.cpu = MilliCores(3000);
  const HistoryChecker::Builder lowered =
      WithCap(4).AddCap(CapInForce{CustomerId("market"), TimeOf(1), lower});
  BOOST_TEST(Violated(lowered).empty());
  Start(9'000, "w3", "j/2#1", true, 0);
  End(20'000, "w3", "j/2#1");
  BOOST_TEST((Violated(lowered) == Rules{HistoryRule::kCapExceeded}));
}

// Guards against an answer to another request that goes unnoticed, and against a retry on a second
// executor that is taken for a fault.
BOOST_AUTO_TEST_CASE(ForeignAnswer) {
  const auto upstream = [this](int64_t millis, EventCode code, const std::string& attempt) {
    Add(millis, "e1", code,
        {{"executor", "e1"},
         {"request", attempt.substr(0, 2)},
         {"attempt", attempt},
         {"digest", "digest of " + attempt.substr(0, 2)}});
  };
  for (const char* attempt : {"r1#1", "r1#2", "r2#1"}) {
    upstream(1, EventCode::kRequestSent, attempt);
    upstream(2, EventCode::kRequestAnswered, attempt);
  }
  Answer(3, "i1", {{"request", "r1"}, {"attempt", "r1#2"}, {"digest", "digest of r1"}});
  BOOST_TEST(Violated().empty());
  HistoryFixture by_attempt = *this;
  by_attempt.Answer(4, "i1", {{"request", "r2"}, {"attempt", "r1#1"}});
  BOOST_TEST((by_attempt.Violated() == Rules{HistoryRule::kForeignAnswer}));
  Answer(4, "caller", {{"request", "r2"}, {"digest", "digest of r1"}});
  BOOST_TEST((Violated() == Rules{HistoryRule::kForeignAnswer}));
}

// Guards against a verdict on an answer whose executor left no events.
BOOST_AUTO_TEST_CASE(AnswerWithoutExecutorIsInconclusive) {
  Answer(1, "caller", {{"request", "r1"}, {"digest", "d"}});
  BOOST_TEST(Violated().empty());
  BOOST_TEST(Check().inconclusive.size() == 1U);
}

// Guards against a second answer to one request, and against an instance's record that is taken for
// a second answer to the caller.
BOOST_AUTO_TEST_CASE(SecondAnswer) {
  Answer(1, "i1", {{"request", "r1"}});
  Answer(2, "caller", {{"request", "r1"}, {"kind", "caller"}});
  BOOST_TEST(Violated().empty());
  Answer(3, "caller", {{"request", "r1"}, {"kind", "caller"}});
  BOOST_TEST((Violated() == Rules{HistoryRule::kSecondAnswer}));
}

// Guards against a contract that reverts, and against a restart that is taken for a reversal.
BOOST_AUTO_TEST_CASE(RevisionWentBack) {
  InForce(1, "i1", 5);
  InForce(2, "i2", 4);
  InForce(3, "i1", 7);
  Add(4, "i1", EventCode::kProcessStarted, {});
  InForce(5, "i1", 6);
  BOOST_TEST(Violated().empty());
  InForce(6, "i1", 5);
  BOOST_TEST((Violated() == Rules{HistoryRule::kRevisionWentBack}));
}

// Guards against a lost job, and a job that ends in two ways.
BOOST_AUTO_TEST_CASE(NotOneFinalState) {
  Accept(1, "j");
  BOOST_TEST((Violated() == Rules{HistoryRule::kNotOneFinalState}));
  BOOST_TEST(Violated(HistoryChecker::Builder().SetComplete(false)).empty());
  Finish(2, "j", "succeeded");
  Finish(3, "j", "succeeded");
  BOOST_TEST(Violated().empty());
  HistoryFixture cancelled = *this;
  cancelled.Add(4, "i1", EventCode::kJobCancelled, {{"job", "j"}, {"state", "cancelled"}});
  BOOST_TEST((cancelled.Violated() == Rules{HistoryRule::kNotOneFinalState}));
  Finish(4, "j", "failed");
  BOOST_TEST((Violated() == Rules{HistoryRule::kNotOneFinalState}));
}

// Guards against a caller who is told "not run" about work that ran.
BOOST_AUTO_TEST_CASE(StartOfJobNotRun) {
  Refuse(1, "j");
  BOOST_TEST(Violated().empty());
  Start(2, "w1", "j/0#1");
  BOOST_TEST((Violated() == Rules{HistoryRule::kStartOfJobNotRun}));
  Accept(3, "j");
  Finish(4, "j", "succeeded");
  BOOST_TEST(Violated().empty());
  HistoryFixture withdrawn = *this;
  withdrawn.Refuse(5, "j");
  BOOST_TEST((withdrawn.Violated() == Rules{HistoryRule::kStartOfJobNotRun}));
  Accept(5, "k");
  Start(6, "w1", "k/0#1");
  Finish(7, "k", "expired");
  BOOST_TEST((Violated() == Rules{HistoryRule::kStartOfJobNotRun}));
}

// Guards against work for a VM that is leaving, and a grace that is not granted.
BOOST_AUTO_TEST_CASE(StartAfterLeaving) {
  Add(1, "w1", EventCode::kWorkerLeaving, {{"worker", "w1"}, {"boot", "b1"}});
  Start(4'000, "w1", "j/0#1");
  Start(9'000, "w2", "j/1#1");
  BOOST_TEST(Violated().empty());
  Start(5'002, "w1", "j/2#1");
  BOOST_TEST((Violated() == Rules{HistoryRule::kStartAfterLeaving}));
  const HistoryChecker::Builder patient =
      HistoryChecker::Builder().SetLeavingGrace(absl::Seconds(6));
  BOOST_TEST(Violated(patient).empty());
}

// Guards against requests for an executor that is leaving.
BOOST_AUTO_TEST_CASE(RequestAfterLeaving) {
  Add(1, "e1", EventCode::kWorkerLeaving, {{"worker", "e1"}, {"boot", "b1"}});
  Add(9'000, "e1", EventCode::kRequestSent, {{"executor", "e1"}, {"boot", "b1"}});
  BOOST_TEST((Violated() == Rules{HistoryRule::kStartAfterLeaving}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
