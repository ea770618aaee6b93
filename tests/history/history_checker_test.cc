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

// Guards against missing a second start of a task that may not be repeated when the first run has
// already ended.
BOOST_AUTO_TEST_CASE(StartedTwice) {
  Start(1, "w1", "j/0#1", false);
  End(2, "w1", "j/0#1");
  BOOST_TEST(ViolatedRules().empty());
  Start(3, "w1", "j/0#2", false);
  const HistoryReport report = Check();
  BOOST_TEST_REQUIRE(report.violations.size() == 1U);
  BOOST_TEST((report.violations[0].rule == HistoryRule::kStartedTwice));
  BOOST_TEST(report.violations[0].events.size() == 3U);
}

// Guards against reporting a violation when a repeatable task runs again.
BOOST_AUTO_TEST_CASE(RepeatableTaskMayStartAgain) {
  Start(1, "w1", "j/0#1");
  End(2, "w1", "j/0#1");
  Start(2, "w2", "j/0#2");
  BOOST_TEST(ViolatedRules().empty());
}

// Guards against missing overlapping runs of one task.
BOOST_AUTO_TEST_CASE(TwoPlaces) {
  Start(1, "w1", "j/0#1");
  Start(3, "w2", "j/0#2");
  End(4, "w1", "j/0#1");
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kTwoPlaces}));
}

// Guards against wrong results for a killed worker, whose run has no recorded end: an overlap must
// be reported when a later event of the same boot proves it, must be inconclusive without such an
// event, and is excluded when the worker restarted before the second start.
BOOST_AUTO_TEST_CASE(KilledWorkers) {
  Start(1, "w1", "j/0#1");
  Start(5, "w2", "j/0#2");
  BOOST_TEST(ViolatedRules().empty());
  BOOST_TEST(Check().inconclusive.size() == 1U);
  HistoryFixture restarted = *this;
  restarted.Add(3, "w1", EventCode::kProcessStarted, {{"worker", "w1"}, {"boot", "b2"}});
  BOOST_TEST(restarted.ViolatedRules().empty());
  BOOST_TEST(restarted.Check().inconclusive.empty());
  Add(6, "w1", EventCode::kWorkerReservation, {{"worker", "w1"}, {"boot", "b1"}});
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kTwoPlaces}));
}

// Guards against counting a task_started event of an owner as one of the worker.
BOOST_AUTO_TEST_CASE(OwnerEventsAreNotTaskStarts) {
  Start(1, "w1", "j/0#1", false);
  Add(2, "i1", EventCode::kTaskStarted, {{"worker", "w1"}, {"task", "j/0"}, {"attempt", "j/0#1"}});
  BOOST_TEST(ViolatedRules().empty());
}

// Guards against missing an exceeded capacity, both when the worker reports it and when only its
// task starts show it.
BOOST_AUTO_TEST_CASE(OverCapacity) {
  Start(1, "w1", "j/0#1", true, 3);
  End(2, "w1", "j/0#1");
  Start(2, "w1", "j/1#1", true, 4);
  BOOST_TEST(ViolatedRules().empty());
  HistoryFixture reported = *this;
  reported.Add(4, "w1", EventCode::kWorkerReservation,
               {{"worker", "w1"}, {"boot", "b1"}, {"reserved", Cpu(5)}, {"capacity", Cpu(4)}});
  BOOST_TEST((reported.ViolatedRules() == Rules{HistoryRule::kOverCapacity}));
  Start(3, "w1", "j/2#1");
  End(4, "w1", "j/1#1");
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kOverCapacity}));
}

// Guards against checking a cap per worker instead of per customer, and against applying a lowered
// cap to tasks that started before it.
BOOST_AUTO_TEST_CASE(CapExceeded) {
  Accept(0, "j");
  Finish(99'000, "j", "succeeded");
  Start(1, "w1", "j/0#1", true, 2);
  Start(2, "w2", "j/1#1", true, 2);
  End(20'000, "w1", "j/0#1");
  End(20'000, "w2", "j/1#1");
  BOOST_TEST(ViolatedRules(WithCap(4)).empty());
  BOOST_TEST((ViolatedRules(WithCap(3)) == Rules{HistoryRule::kCapExceeded}));
  Resources lower;
  lower.cpu = MilliCores(3000);
  const HistoryChecker::Builder lowered =
      WithCap(4).AddCap(CapInForce{CustomerId("market"), TimeOf(1), lower});
  BOOST_TEST(ViolatedRules(lowered).empty());
  Start(9'000, "w3", "j/2#1", true, 0);
  End(20'000, "w3", "j/2#1");
  BOOST_TEST((ViolatedRules(lowered) == Rules{HistoryRule::kCapExceeded}));
}

// Guards against missing an answer that belongs to another request, and against reporting a retry
// as a violation.
BOOST_AUTO_TEST_CASE(ForeignAnswer) {
  const auto add_executor_event = [this](int64_t millis, EventCode code,
                                         const std::string& attempt) {
    Add(millis, "e1", code,
        {{"executor", "e1"},
         {"request", attempt.substr(0, 2)},
         {"attempt", attempt},
         {"digest", "digest of " + attempt.substr(0, 2)}});
  };
  for (const char* attempt : {"r1#1", "r1#2", "r2#1"}) {
    add_executor_event(1, EventCode::kRequestSent, attempt);
    add_executor_event(2, EventCode::kRequestAnswered, attempt);
  }
  Answer(3, "i1", {{"request", "r1"}, {"attempt", "r1#2"}, {"digest", "digest of r1"}});
  BOOST_TEST(ViolatedRules().empty());
  HistoryFixture by_attempt = *this;
  by_attempt.Answer(4, "i1", {{"request", "r2"}, {"attempt", "r1#1"}});
  BOOST_TEST((by_attempt.ViolatedRules() == Rules{HistoryRule::kForeignAnswer}));
  Answer(4, "caller", {{"request", "r2"}, {"digest", "digest of r1"}});
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kForeignAnswer}));
}

// Guards against reporting a violation for an answer whose executor recorded no events.
BOOST_AUTO_TEST_CASE(AnswerWithoutExecutorIsInconclusive) {
  Answer(1, "caller", {{"request", "r1"}, {"digest", "d"}});
  BOOST_TEST(ViolatedRules().empty());
  BOOST_TEST(Check().inconclusive.size() == 1U);
}

// Guards against missing a second answer to one request, and against counting the event of an
// instance as a second answer to the caller.
BOOST_AUTO_TEST_CASE(SecondAnswer) {
  Answer(1, "i1", {{"request", "r1"}});
  Answer(2, "caller", {{"request", "r1"}, {"kind", "caller"}});
  BOOST_TEST(ViolatedRules().empty());
  Answer(3, "caller", {{"request", "r1"}, {"kind", "caller"}});
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kSecondAnswer}));
}

// Guards against missing a contract that reverts to an earlier revision, and against reporting a
// restart as such a reversal.
BOOST_AUTO_TEST_CASE(RevisionWentBack) {
  InForce(1, "i1", 5);
  InForce(2, "i2", 4);
  InForce(3, "i1", 7);
  Add(4, "i1", EventCode::kProcessStarted, {});
  InForce(5, "i1", 6);
  BOOST_TEST(ViolatedRules().empty());
  InForce(6, "i1", 5);
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kRevisionWentBack}));
}

// Guards against missing an accepted job without a final state, and a job with two different ones.
BOOST_AUTO_TEST_CASE(NotOneFinalState) {
  Accept(1, "j");
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kNotOneFinalState}));
  BOOST_TEST(ViolatedRules(HistoryChecker::Builder().SetComplete(false)).empty());
  Finish(2, "j", "succeeded");
  Finish(3, "j", "succeeded");
  BOOST_TEST(ViolatedRules().empty());
  HistoryFixture cancelled = *this;
  cancelled.Add(4, "i1", EventCode::kJobCancelled, {{"job", "j"}, {"state", "cancelled"}});
  BOOST_TEST((cancelled.ViolatedRules() == Rules{HistoryRule::kNotOneFinalState}));
  Finish(4, "j", "failed");
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kNotOneFinalState}));
}

// Guards against missing a job that ran although its caller was told that it did not run.
BOOST_AUTO_TEST_CASE(StartOfJobNotRun) {
  Refuse(1, "j");
  BOOST_TEST(ViolatedRules().empty());
  Start(2, "w1", "j/0#1");
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kStartOfJobNotRun}));
  Accept(3, "j");
  Finish(4, "j", "succeeded");
  BOOST_TEST(ViolatedRules().empty());
  HistoryFixture withdrawn = *this;
  withdrawn.Refuse(5, "j");
  BOOST_TEST((withdrawn.ViolatedRules() == Rules{HistoryRule::kStartOfJobNotRun}));
  Accept(5, "k");
  Start(6, "w1", "k/0#1");
  Finish(7, "k", "expired");
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kStartOfJobNotRun}));
}

// Guards against missing a task start on a leaving VM, and against reporting a start within the
// grace period.
BOOST_AUTO_TEST_CASE(StartAfterLeaving) {
  Add(1, "w1", EventCode::kWorkerLeaving, {{"worker", "w1"}, {"boot", "b1"}});
  Start(4'000, "w1", "j/0#1");
  Start(9'000, "w2", "j/1#1");
  BOOST_TEST(ViolatedRules().empty());
  Start(5'002, "w1", "j/2#1");
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kStartAfterLeaving}));
  const HistoryChecker::Builder with_longer_grace =
      HistoryChecker::Builder().SetLeavingGrace(absl::Seconds(6));
  BOOST_TEST(ViolatedRules(with_longer_grace).empty());
}

// Guards against missing a request that is sent to a leaving executor.
BOOST_AUTO_TEST_CASE(RequestAfterLeaving) {
  Add(1, "e1", EventCode::kWorkerLeaving, {{"worker", "e1"}, {"boot", "b1"}});
  Add(9'000, "e1", EventCode::kRequestSent, {{"executor", "e1"}, {"boot", "b1"}});
  BOOST_TEST((ViolatedRules() == Rules{HistoryRule::kStartAfterLeaving}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
