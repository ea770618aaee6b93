#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/notification.h"
#include "boost/test/unit_test.hpp"
#include "tests/fakes/severable_proxy.h"
#include "tests/peer/peer_fixture.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kBound = absl::Seconds(20);

BOOST_FIXTURE_TEST_SUITE(TransportTest, PeerFixture)

// Guards against lost or changed fields of a call, and against a clock that ignores the peer's.
BOOST_AUTO_TEST_CASE(CallCarriesSenderMethodBodyAndTime) {
  PeerCall seen;
  const std::unique_ptr<PeerServer> server =
      Serve([&seen](const PeerCall& call) -> Result<nlohmann::json> {
        seen = call;
        return nlohmann::json{{"answer", 42}};
      });
  const std::unique_ptr<PeerClient> client = Connect();
  const HybridTime before = client_side.hybrid.Tick();
  const Outcome<nlohmann::json> outcome =
      Call(client.get(), AddressOf(*server), {{"question", "q"}}, kBound, "config.pull");
  BOOST_TEST_REQUIRE(outcome.ok());
  BOOST_TEST(outcome.value().dump() == R"({"answer":42})");
  BOOST_TEST(seen.from.value() == "client");
  BOOST_TEST(seen.method == "config.pull");
  BOOST_TEST(seen.body.dump() == R"({"question":"q"})");
  BOOST_TEST((server_side.hybrid.Tick() > before));
}

// Guards against errors that change on the way back.
BOOST_AUTO_TEST_CASE(TypedErrorTravelsBack) {
  const std::unique_ptr<PeerServer> server = Serve([](const PeerCall&) -> Result<nlohmann::json> {
    return Fail(ErrorKind::kOverLimit, "The slice is used up.", absl::Milliseconds(250));
  });
  const std::unique_ptr<PeerClient> client = Connect();
  const Outcome<nlohmann::json> outcome = Call(client.get(), AddressOf(*server), nullptr);
  BOOST_TEST_REQUIRE(!outcome.ok());
  BOOST_TEST((outcome.error().kind == ErrorKind::kOverLimit));
  BOOST_TEST(outcome.error().message == "The slice is used up.");
  BOOST_TEST((outcome.error().retry_after == absl::Milliseconds(250)));
}

// Guards against an instance that accepts calls without proof of the key.
BOOST_AUTO_TEST_CASE(WrongKeyIsRefusedAndRecorded) {
  std::atomic<int> handled{0};
  const std::unique_ptr<PeerServer> server =
      Serve([&handled](const PeerCall&) -> Result<nlohmann::json> {
        ++handled;
        return nlohmann::json();
      });
  const std::unique_ptr<PeerClient> client = Connect("another key");
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), 1)) == "unauthenticated");
  BOOST_TEST(handled == 0);
  const std::vector<Event> events = server_side.events.Select({{"peer", "client"}});
  BOOST_TEST_REQUIRE(events.size() == 1U);
  BOOST_TEST((events[0].code == EventCode::kPeerAuthenticationFailed));
}

// Guards against answers that reach another call when they arrive out of order.
BOOST_AUTO_TEST_CASE(ConcurrentCallsGetTheirOwnAnswers) {
  constexpr int kCallers = 24;
  constexpr int kCallsPerCaller = 20;
  const std::unique_ptr<PeerServer> server =
      Serve([](const PeerCall& call) -> Result<nlohmann::json> {
        absl::SleepFor(absl::Milliseconds(call.body.get<int>() % 7));
        return call.body;
      });
  const std::unique_ptr<PeerClient> client = Connect();
  std::atomic<int> matched{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < kCallsPerCaller; ++i) {
        const nlohmann::json body = caller * 1000 + i * 3;
        const Outcome<nlohmann::json> outcome = Call(client.get(), AddressOf(*server), body);
        matched += outcome.ok() && outcome.value() == body ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(matched == kCallers * kCallsPerCaller);
  BOOST_TEST(server->open_connections() == 1U);
}

// Guards against a body larger than one flow-control window that never completes.
BOOST_AUTO_TEST_CASE(LargeBodiesTravelBothWaysAndLargerOnesAreRefused) {
  const std::unique_ptr<PeerServer> server = Serve(Echo);
  const std::unique_ptr<PeerClient> client = Connect();
  const std::string large(1'000'000, 'x');
  const Outcome<nlohmann::json> outcome = Call(client.get(), AddressOf(*server), large);
  BOOST_TEST_REQUIRE(outcome.ok());
  BOOST_TEST((outcome.value() == large));
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), std::string(1 << 20, 'x'))) ==
             "invalid_argument");
}

// Guards against a caller that takes a silent peer's call for unsent, and against a server that
// works for callers which no longer wait.
BOOST_AUTO_TEST_CASE(TimeoutAfterSendingIsOutcomeUnknown) {
  absl::Notification release;
  const std::unique_ptr<PeerServer> server =
      Serve([&release](const PeerCall& call) -> Result<nlohmann::json> {
        release.WaitForNotificationWithTimeout(kBound);
        return call.body;
      });
  const std::unique_ptr<PeerClient> client = Connect();
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), 1, absl::Milliseconds(50))) ==
             "outcome_unknown");
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), 1, absl::ZeroDuration())) ==
             "deadline_exceeded");
  release.Notify();
}

// Guards against a peer's crash being reported as "not sent" although the call had arrived.
BOOST_AUTO_TEST_CASE(PeerKilledDuringCallIsOutcomeUnknown) {
  absl::Notification arrived;
  absl::Notification release;
  PeerLimits limits;
  limits.drain_timeout = absl::ZeroDuration();
  const std::unique_ptr<PeerServer> server = Serve(
      [&](const PeerCall& call) -> Result<nlohmann::json> {
        arrived.Notify();
        release.WaitForNotificationWithTimeout(kBound);
        return call.body;
      },
      limits);
  const std::unique_ptr<PeerClient> client = Connect();
  std::string kind;
  std::thread caller([&] {
    kind = KindOf(Call(client.get(), AddressOf(*server), 1));
    release.Notify();
  });
  BOOST_TEST(arrived.WaitForNotificationWithTimeout(kBound));
  // Without time to drain, the server drops its connections as a dying process does.
  server->Stop();
  caller.join();
  BOOST_TEST(kind == "outcome_unknown");
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), 1)) == "unavailable");
}

// Guards against a planned stop that cuts off calls in flight.
BOOST_AUTO_TEST_CASE(GracefulStopAnswersCallsInFlight) {
  constexpr int kCallers = 8;
  std::atomic<int> arrived{0};
  absl::Notification release;
  const std::unique_ptr<PeerServer> server =
      Serve([&](const PeerCall& call) -> Result<nlohmann::json> {
        ++arrived;
        release.WaitForNotificationWithTimeout(kBound);
        return call.body;
      });
  const std::unique_ptr<PeerClient> client = Connect();
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const Outcome<nlohmann::json> outcome = Call(client.get(), AddressOf(*server), i);
      answered += outcome.ok() && outcome.value() == i ? 1 : 0;
    });
  }
  while (arrived < kCallers) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  std::thread stopper([&server] { server->Stop(); });
  // A call during the drain is refused as unprocessed.
  std::string kind = "ok";
  while (kind == "ok" || kind == "outcome_unknown") {
    kind = KindOf(Call(client.get(), AddressOf(*server), 99, absl::Milliseconds(20)));
  }
  BOOST_TEST(kind == "unavailable");
  release.Notify();
  stopper.join();
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(answered == kCallers);
}

// Guards against idle connections that are kept, and against a client that cannot reconnect.
BOOST_AUTO_TEST_CASE(IdleConnectionClosesAndReopens) {
  PeerLimits limits;
  limits.client_idle_timeout = absl::Milliseconds(1);
  const std::unique_ptr<PeerServer> server = Serve(Echo);
  const std::unique_ptr<PeerClient> client = Connect("key", limits);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), i)) == "ok");
    const absl::Time deadline = client_side.clock.Now() + kBound;
    while (server->open_connections() > 0 && client_side.clock.Now() < deadline) {
      absl::SleepFor(absl::Milliseconds(5));
    }
    BOOST_TEST(server->open_connections() == 0U);
  }
}

// Guards against calls that all go out on a connection which has gone silent without a reset: each
// call timed out, and its end let the connection pass for an idle one.
BOOST_AUTO_TEST_CASE(SilentConnectionIsReplacedAfterOneLostCall) {
  constexpr absl::Duration kShortTimeout = absl::Milliseconds(300);
  const std::unique_ptr<PeerServer> server = Serve(Echo);
  SeverableProxy proxy(AddressOf(*server));
  const std::unique_ptr<PeerClient> client = Connect();
  BOOST_TEST(KindOf(Call(client.get(), proxy.address(), 1)) == "ok");
  proxy.SeverAll();
  BOOST_TEST(KindOf(Call(client.get(), proxy.address(), 2, kShortTimeout)) == "outcome_unknown");
  BOOST_TEST(KindOf(Call(client.get(), proxy.address(), 3)) == "ok");
  BOOST_TEST(proxy.accepted() == 2U);
}

// Guards against new connections whenever one slow call of several times out: the peer answers
// others on the same connection meanwhile.
BOOST_AUTO_TEST_CASE(ConnectionThatAnswersOtherCallsIsKept) {
  constexpr absl::Duration kShortTimeout = absl::Milliseconds(500);
  absl::Notification release;
  const std::unique_ptr<PeerServer> server = Serve([&release](const PeerCall& call) {
    if (call.method == "slow") {
      release.WaitForNotification();
    }
    return Result<nlohmann::json>(call.body);
  });
  SeverableProxy proxy(AddressOf(*server));
  const std::unique_ptr<PeerClient> client = Connect();
  BOOST_TEST(KindOf(Call(client.get(), proxy.address(), 1)) == "ok");
  std::string slow_outcome;
  std::thread slow([&] {
    slow_outcome = KindOf(Call(client.get(), proxy.address(), 2, kShortTimeout, "slow"));
  });
  const absl::Time end = client_side.clock.Now() + 2 * kShortTimeout;
  while (client_side.clock.Now() < end) {
    BOOST_TEST(KindOf(Call(client.get(), proxy.address(), 3)) == "ok");
  }
  slow.join();
  release.Notify();
  BOOST_TEST(slow_outcome == "outcome_unknown");
  BOOST_TEST(proxy.accepted() == 1U);
}

// Guards against control bytes that grow unnoticed: a repeated call's headers, framing and envelope
// take at most 120 bytes both ways on a warm connection.
BOOST_AUTO_TEST_CASE(WarmCallOverheadIsBounded) {
  const std::unique_ptr<PeerServer> server = Serve(Echo);
  const std::unique_ptr<PeerClient> client = Connect();
  const std::pair<std::string, LinkClass> label{"heartbeat", LinkClass::kDomain};
  const auto bytes = [&client, &label] {
    const Traffic traffic = client->traffic()[label];
    return traffic.bytes_sent + traffic.bytes_received;
  };
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), 1, kBound, "heartbeat")) == "ok");
  const int64_t cold = bytes();
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), 1, kBound, "heartbeat")) == "ok");
  const int64_t warm = bytes() - cold;
  BOOST_TEST_MESSAGE("cold call " << cold << " bytes, warm call " << warm << " bytes");
  BOOST_TEST(warm <= 120);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
