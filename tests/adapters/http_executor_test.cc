#include "adapters/http_executor.h"

#include <future>
#include <string>

#include "boost/test/unit_test.hpp"
#include "model/sha256.h"
#include "standins/executor_standin.h"
#include "tests/adapters/standin_fixture.h"

namespace pomelotray {
namespace {

struct ExecutorFixture : StandinFixture {
  ExecutorFixture() { BOOST_TEST_REQUIRE(standin.Start(0)); }

  static ExecutorOptions Options() {
    ExecutorOptions options;
    options.id = ExecutorId("e1");
    options.boot = BootId("b1");
    options.slots = 1;
    return options;
  }

  static ExecutorCall NewCall(const std::string& request, const std::string& body = "{}") {
    ExecutorCall call;
    call.request = RequestId(request);
    call.attempt = AttemptId(request + "#1");
    call.epoch = Epoch{1, 0};
    call.body = body;
    call.timeout = kLongTimeout;
    return call;
  }

  Outcome<ExecutorAnswer> Call(const ExecutorCall& call) {
    return Capture([&] { return executor->Call(standin.address(), call); });
  }
  Outcome<ExecutorLoad> Fence(const Epoch& epoch) {
    return Capture([&] { return executor->Fence(standin.address(), epoch); });
  }

  ExecutorStandin standin{Options(), &clock, &events};
  std::unique_ptr<HttpExecutor> executor =
      HttpExecutor::Builder().SetCallTimeout(kLongTimeout).SetClock(&clock).Build();
};

BOOST_FIXTURE_TEST_SUITE(HttpExecutorTest, ExecutorFixture)

// Guards against an answer to another body than the one that was sent.
BOOST_AUTO_TEST_CASE(AnswerBelongsToItsRequest) {
  const std::string body = std::string("\x00\xff", 2);
  const Outcome<ExecutorAnswer> answer = Call(NewCall("r1", body));
  BOOST_TEST_REQUIRE(answer.ok());
  BOOST_TEST((answer.value().attempt == AttemptId("r1#1")));
  BOOST_TEST(answer.value().body == R"({"digest":")" + Sha256Hex(body) + R"(","request":"r1"})");
}

// Guards against more work than slots, and a busy executor that looks broken.
BOOST_AUTO_TEST_CASE(BusySlotsAreOverloaded) {
  std::future<Outcome<ExecutorAnswer>> first =
      std::async(std::launch::async, [&] { return Call(NewCall("r1", R"({"service_ms": 500})")); });
  while (Fence(Epoch{1, 0}).value().busy_slots == 0) {
    clock.SleepFor(absl::Milliseconds(1));
  }
  BOOST_TEST((KindOf(Call(NewCall("r2"))) == ErrorKind::kOverloaded));
  BOOST_TEST(first.get().ok());
}

// Guards against a deposed owner that still uses the executor.
BOOST_AUTO_TEST_CASE(LowerEpochsAreFenced) {
  BOOST_TEST_REQUIRE(Fence(Epoch{2, 0}).ok());
  BOOST_TEST((KindOf(Call(NewCall("r1"))) == ErrorKind::kFenced));
  BOOST_TEST((KindOf(Fence(Epoch{1, 5})) == ErrorKind::kFenced));
}

// Guards against answers that are cut off, lost or meant for another request, and are taken for
// the answer.
BOOST_AUTO_TEST_CASE(BadAnswersLeaveTheOutcomeUnknown) {
  for (const char* mode : {"lose_answers", "truncate", "misdirect"}) {
    SetFault(standin.address(), {{"mode", mode}});
    BOOST_TEST((KindOf(Call(NewCall("r1"))) == ErrorKind::kOutcomeUnknown), mode);
  }
  BOOST_TEST(executor->dropped_answers() == 1);
}

// Guards against a request that did not run and is reported as one that may have run.
BOOST_AUTO_TEST_CASE(UnreachableExecutorDidNotRunIt) {
  SetFault(standin.address(), {{"mode", "down"}});
  BOOST_TEST((KindOf(Call(NewCall("r1"))) == ErrorKind::kUnavailable));
  standin.Stop();
  BOOST_TEST((KindOf(Call(NewCall("r1"))) == ErrorKind::kUnavailable));
}

// Guards against a deadline that is not passed on or not noticed.
BOOST_AUTO_TEST_CASE(DeadlineIsKept) {
  ExecutorCall passed = NewCall("r1");
  passed.timeout = absl::ZeroDuration();
  BOOST_TEST((KindOf(Call(passed)) == ErrorKind::kDeadlineExceeded));
  BOOST_TEST(events.Select({{"request", "r1"}}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
