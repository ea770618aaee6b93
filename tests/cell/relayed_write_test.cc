#include "cell/relayed_write.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "base/manual_clock.h"

namespace pomelotray {
namespace {

// Peers that answer every call with a set error; those without one carry the call out.
class ScriptedPeers : public PeerPort {
 public:
  Result<nlohmann::json> Call(const std::string& address, const std::string&, const nlohmann::json&,
                              absl::Duration) override {
    called_.push_back(address);
    const auto error = errors_.find(address);
    if (error != errors_.end()) {
      return Fail(error->second, "The peer did not carry the call out; ask another.");
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
  ScriptedPeers peers;
  RelayedWrite relay{InstanceId("i0"), &peers, &clock, &events};
  std::vector<CellMember> members = {{InstanceId("i0"), "a0"},
                                     {InstanceId("i1"), "a1"},
                                     {InstanceId("i2"), "a2"},
                                     {InstanceId("i3"), "a3"}};

  Outcome<void> Create(const std::string& key) {
    const NewEntry entry{PartName("p.0.1"), key, "value", ""};
    return Capture([&] { return relay.Create(entry, members, clock.Now() + absl::Seconds(3)); });
  }
  int LoggedFailures() {
    const std::vector<Event> all = events.Select({});
    return static_cast<int>(std::count_if(all.begin(), all.end(), [](const Event& event) {
      return event.code == EventCode::kWriteRelayFailed;
    }));
  }
};

BOOST_FIXTURE_TEST_SUITE(RelayedWriteTest, RelayFixture)

// Guards against "maybe written" where each relay proved that it wrote nothing: the caller gets a
// refusal with the time to come back instead of an unknown outcome.
BOOST_AUTO_TEST_CASE(RelaysThatWroteNothingMakeACertainRefusal) {
  peers.FailWith("a1", ErrorKind::kNotReady);
  peers.FailWith("a2", ErrorKind::kDeadlineExceeded);
  peers.FailWith("a3", ErrorKind::kOverloaded);
  const Outcome<void> created = Create("job");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST(ErrorKindName(created.error().kind) == ErrorKindName(ErrorKind::kStoreUnavailable));
  BOOST_TEST(created.error().retry_after.has_value());
}

// Guards against a false "not run": one relay without an answer is enough to leave it open.
BOOST_AUTO_TEST_CASE(OneUnknownOutcomeIsNoRefusal) {
  peers.FailWith("a1", ErrorKind::kStoreUnavailable);
  peers.FailWith("a2", ErrorKind::kOutcomeUnknown);
  peers.FailWith("a3", ErrorKind::kUnavailable);
  const Outcome<void> created = Create("job");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST(ErrorKindName(created.error().kind) == ErrorKindName(ErrorKind::kOutcomeUnknown));
}

// Guards against a swallowed error: each relay that failed is in the log.
BOOST_AUTO_TEST_CASE(EachFailureIsLogged) {
  for (const char* address : {"a1", "a2", "a3"}) {
    peers.FailWith(address, ErrorKind::kStoreUnavailable);
  }
  BOOST_TEST(!Create("job").ok());
  BOOST_TEST(LoggedFailures() == 3);
}

// Guards against giving up while an instance that the store serves is left: two that are starting
// do not hide the third.
BOOST_AUTO_TEST_CASE(InstancesThatStartDoNotHideOneThatWrites) {
  peers.FailWith("a1", ErrorKind::kNotReady);
  peers.FailWith("a2", ErrorKind::kNotReady);
  BOOST_TEST(Create("job").ok());
}

// Guards against a herd: instances that the store turns away spread their writes over the others.
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
    // A third each would be 20.
    BOOST_TEST(writes[address] >= 10);
  }
}

// Guards against retry amplification: while the store is down for all, each refused caller would
// cost four calls to other instances, which are as busy with refusals.
BOOST_AUTO_TEST_CASE(RefusalByAllIsRememberedForAMoment) {
  members.push_back({InstanceId("i4"), "a4"});
  for (const char* address : {"a1", "a2", "a3", "a4"}) {
    peers.FailWith(address, ErrorKind::kStoreUnavailable);
  }
  BOOST_TEST(!Create("first").ok());
  BOOST_TEST(peers.called().size() == 4U);
  const Outcome<void> second = Create("second");
  BOOST_REQUIRE(!second.ok());
  BOOST_TEST(second.error().retry_after.has_value());
  // No relay is logged for this entry, so the reason has to name the earlier refusal.
  BOOST_TEST(second.error().message.find("a moment ago") != std::string::npos);
  BOOST_TEST(peers.called().size() == 4U);
  clock.Advance(absl::Milliseconds(300));
  BOOST_TEST(!Create("third").ok());
  BOOST_TEST(peers.called().size() == 8U);
}

// Guards against refusals that are remembered although another instance may be served: one that did
// not answer, or the few that there are, prove nothing about the store.
BOOST_AUTO_TEST_CASE(RefusalBySomeIsNotRemembered) {
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
