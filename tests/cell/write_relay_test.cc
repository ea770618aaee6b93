#include "cell/intake/write_relay.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "base/manual_clock.h"

namespace pomelotray {
namespace {

// Peers that fail every call with the error set for their address, or succeed if none is set.
class FakePeers : public PeerPort {
 public:
  Result<nlohmann::json> Call(const std::string& address, const std::string&, const nlohmann::json&,
                              absl::Duration) override {
    called_.push_back(address);
    const auto error = errors_.find(address);
    if (error != errors_.end()) {
      return Fail(error->second, "The peer did not execute the call; call another peer.");
    }
    return nlohmann::json::object();
  }
  void FailWith(const std::string& address, ErrorKind kind) { errors_[address] = kind; }
  const std::vector<std::string>& called() const { return called_; }

 private:
  std::map<std::string, ErrorKind> errors_;
  std::vector<std::string> called_;
};

struct RelayFixture {
  ManualClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"test", &hybrid_clock};
  FakePeers peers;
  WriteRelay relay{InstanceId("i0"), &peers, &clock, &events};
  std::vector<CellMember> members = {{InstanceId("i0"), "a0"},
                                     {InstanceId("i1"), "a1"},
                                     {InstanceId("i2"), "a2"},
                                     {InstanceId("i3"), "a3"}};

  Outcome<nlohmann::json> Create(const std::string& id,
                                 absl::Duration time_left = absl::Seconds(3)) {
    const RelayedWrite write{"register_job", JobId(id), {{"job", id}}};
    return Capture([&] { return relay.Send(write, members, clock.Now() + time_left); });
  }
  int LoggedFailures() {
    const std::vector<Event> all = events.Select({});
    return static_cast<int>(std::count_if(all.begin(), all.end(), [](const Event& event) {
      return event.code == EventCode::kWriteRelayFailed;
    }));
  }
};

BOOST_FIXTURE_TEST_SUITE(WriteRelayTest, RelayFixture)

// Guards against an unknown outcome although each relay failed in a way that rules out a write. The
// caller must get kStoreUnavailable with a retry delay instead.
BOOST_AUTO_TEST_CASE(FailureOfAllRelaysWithoutWriteIsStoreUnavailable) {
  peers.FailWith("a1", ErrorKind::kNotReady);
  peers.FailWith("a2", ErrorKind::kDeadlineExceeded);
  peers.FailWith("a3", ErrorKind::kOverloaded);
  const Outcome<nlohmann::json> created = Create("job");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST(ErrorKindName(created.error().kind) == ErrorKindName(ErrorKind::kStoreUnavailable));
  BOOST_TEST(created.error().retry_after.has_value());
}

// Guards against calling a relay that cannot answer before the caller leaves: the caller got an
// unknown outcome for a job that nobody had written.
BOOST_AUTO_TEST_CASE(NoRelayIsCalledJustBeforeTheDeadline) {
  peers.FailWith("a1", ErrorKind::kOutcomeUnknown);
  peers.FailWith("a2", ErrorKind::kOutcomeUnknown);
  peers.FailWith("a3", ErrorKind::kOutcomeUnknown);
  const Outcome<nlohmann::json> created = Create("job", absl::Milliseconds(50));
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST(ErrorKindName(created.error().kind) == ErrorKindName(ErrorKind::kStoreUnavailable));
  BOOST_TEST(peers.called().empty());
}

// Guards against reporting that a job will not run although it may: one relay with an unknown
// outcome makes the outcome of the whole call unknown.
BOOST_AUTO_TEST_CASE(OneUnknownOutcomeMakesTheResultUnknown) {
  peers.FailWith("a1", ErrorKind::kStoreUnavailable);
  peers.FailWith("a2", ErrorKind::kOutcomeUnknown);
  peers.FailWith("a3", ErrorKind::kUnavailable);
  const Outcome<nlohmann::json> created = Create("job");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST(ErrorKindName(created.error().kind) == ErrorKindName(ErrorKind::kOutcomeUnknown));
}

// Guards against lost errors: each failed relay must be logged.
BOOST_AUTO_TEST_CASE(EachFailureIsLogged) {
  for (const char* address : {"a1", "a2", "a3"}) {
    peers.FailWith(address, ErrorKind::kStoreUnavailable);
  }
  BOOST_TEST(!Create("job").ok());
  BOOST_TEST(LoggedFailures() == 3);
}

// Guards against giving up while an instance with access to the store is left: after two relays
// that are still starting, the third must be called.
BOOST_AUTO_TEST_CASE(StartingInstancesDoNotPreventUseOfAReadyOne) {
  peers.FailWith("a1", ErrorKind::kNotReady);
  peers.FailWith("a2", ErrorKind::kNotReady);
  BOOST_TEST(Create("job").ok());
}

// Guards against a thundering herd: writes of instances to which the store is unavailable must be
// spread over the other instances.
BOOST_AUTO_TEST_CASE(WritesSpreadOverTheOtherInstances) {
  for (int i = 0; i < 60; ++i) {
    BOOST_TEST(Create("job" + std::to_string(i)).ok());
  }
  std::map<std::string, int> writes;
  for (const std::string& address : peers.called()) {
    ++writes[address];
  }
  BOOST_TEST(writes.count("a0") == 0U);
  for (const char* address : {"a1", "a2", "a3"}) {
    // An even distribution would give each relay 20 writes.
    BOOST_TEST(writes[address] >= 10);
  }
}

// Guards against retry amplification. While the store is down for all instances, each refused
// caller would cost four calls to other instances, which are refusing callers of their own.
BOOST_AUTO_TEST_CASE(RefusalByAllRelaysIsCachedBriefly) {
  members.push_back({InstanceId("i4"), "a4"});
  for (const char* address : {"a1", "a2", "a3", "a4"}) {
    peers.FailWith(address, ErrorKind::kStoreUnavailable);
  }
  BOOST_TEST(!Create("first").ok());
  BOOST_TEST(peers.called().size() == 4U);
  const Outcome<nlohmann::json> second = Create("second");
  BOOST_REQUIRE(!second.ok());
  BOOST_TEST(second.error().retry_after.has_value());
  // No relay failure is logged for this entry, so the message has to name the earlier refusal.
  BOOST_TEST(second.error().message.find("a moment ago") != std::string::npos);
  BOOST_TEST(peers.called().size() == 4U);
  clock.Advance(absl::Milliseconds(300));
  BOOST_TEST(!Create("third").ok());
  BOOST_TEST(peers.called().size() == 8U);
}

// Guards against caching a refusal although the store may be available to another instance. Neither
// fewer than four refusals nor a relay that did not answer proves that the store is down for all.
BOOST_AUTO_TEST_CASE(RefusalBySomeRelaysIsNotCached) {
  for (const char* address : {"a1", "a2", "a3"}) {
    peers.FailWith(address, ErrorKind::kStoreUnavailable);
  }
  BOOST_TEST(!Create("first").ok());
  members.push_back({InstanceId("i4"), "a4"});
  peers.FailWith("a4", ErrorKind::kUnavailable);
  BOOST_TEST(!Create("second").ok());
  BOOST_TEST(peers.called().size() == 7U);
  BOOST_TEST(!Create("third").ok());
  BOOST_TEST(peers.called().size() == 11U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
