#include "peer/member_table.h"

#include <limits>
#include <optional>
#include <vector>

#include "base/manual_clock.h"
#include "boost/test/unit_test.hpp"
#include "peer/message_codec.h"

namespace pomelotray {
namespace {

Member Describe(const std::string& id, const std::string& domain, int64_t incarnation) {
  Member member;
  member.id = InstanceId(id);
  member.domain = FailureDomainId(domain);
  member.region = RegionId("sierra");
  member.peer_address = "peer-of-" + id;
  member.api_address = "api-of-" + id;
  member.incarnation = incarnation;
  return member;
}

struct TableFixture {
  // A table of "b" that has heard "a" once, and that heartbeat.
  TableFixture() {
    heard = a.Compose(InstanceId("b"));
    b.Apply(heard, clock.Now());
  }

  MemberState StateOfA() const {
    const std::vector<Member> others = b.Others();
    return others.empty() ? MemberState::kDead : others.front().state;
  }

  void Kill() {
    clock.Advance(MemberTable::kDeadAfter);
    b.Sweep(clock.Now());
  }

  ManualClock clock;
  HybridClock hybrid{&clock};
  EventLog events{"test", &hybrid};
  MemberTable a{Describe("a", "d", 5), &events};
  MemberTable b{Describe("b", "d", 5), &events};
  Heartbeat heard;
};

BOOST_FIXTURE_TEST_SUITE(MemberTableTest, TableFixture)

// Guards against a dead instance that late or repeated messages bring back.
BOOST_AUTO_TEST_CASE(StaleMessagesDoNotResurrect) {
  const Heartbeat delayed = a.Compose(InstanceId("b"));
  Kill();
  BOOST_TEST((StateOfA() == MemberState::kDead));
  // The repeated heartbeat, one that was delayed, and a third party's old news.
  b.Apply(heard, clock.Now());
  b.Apply(delayed, clock.Now());
  MemberTable c{Describe("c", "e", 1), &events};
  c.Apply(heard, clock.Now());
  b.Apply(c.Compose(InstanceId("b")), clock.Now());
  for (const Member& member : b.Others()) {
    BOOST_TEST((member.id.value() != "a" || member.state == MemberState::kDead));
  }
}

// Guards against an instance that was called dead by mistake and cannot return.
BOOST_AUTO_TEST_CASE(HigherIncarnationRefutes) {
  Kill();
  a.Apply(b.Compose(InstanceId("a")), clock.Now());
  BOOST_TEST(a.self().incarnation == 6);
  b.Apply(a.Compose(InstanceId("b")), clock.Now());
  BOOST_TEST((StateOfA() == MemberState::kLive));
}

// Guards against silence that a doubled heartbeat hides.
BOOST_AUTO_TEST_CASE(RepeatedHeartbeatIsNoSignOfLife) {
  clock.Advance(MemberTable::kSuspectAfter);
  BOOST_TEST(!b.Apply(heard, clock.Now()).has_value());
  b.Sweep(clock.Now());
  BOOST_TEST((StateOfA() == MemberState::kSuspect));
}

// Guards against "leaving" being undone by a heartbeat that was sent before.
BOOST_AUTO_TEST_CASE(LeavingIsFinalWithinAnIncarnation) {
  const Heartbeat before = a.Compose(InstanceId("b"));
  a.SetLeaving();
  b.Apply(a.Compose(InstanceId("b")), clock.Now());
  BOOST_TEST((StateOfA() == MemberState::kLeaving));
  b.Apply(before, clock.Now());
  BOOST_TEST((StateOfA() == MemberState::kLeaving));
}

// Guards against mass suspicion after this process was paused.
BOOST_AUTO_TEST_CASE(OwnPauseIsNoSilenceOfOthers) {
  clock.Advance(absl::Minutes(1));
  b.ForgivePause(absl::Minutes(1));
  b.Sweep(clock.Now());
  BOOST_TEST((StateOfA() == MemberState::kLive));
}

// Guards against another's suspicion being adopted without a look of one's own.
BOOST_AUTO_TEST_CASE(SuspicionOfOthersIsVerified) {
  MemberTable c{Describe("c", "e", 1), &events};
  c.Apply(heard, clock.Now());
  clock.Advance(MemberTable::kDeadAfter);
  c.RecordFailure("peer-of-a", clock.Now());
  clock.Advance(MemberTable::kSuspectAfter);
  c.Sweep(clock.Now());
  b.Apply(c.Compose(InstanceId("b")), clock.Now());
  BOOST_TEST((StateOfA() == MemberState::kLive));
  BOOST_TEST((b.TakeAddressesToVerify() == std::set<std::string>{"peer-of-a"}));
}

// Guards against a description that is too large for the byte bound and would be sent for ever.
BOOST_AUTO_TEST_CASE(ManyShardsStayWithinByteBound) {
  std::vector<ShardId> shards;
  shards.reserve(200);
  for (int i = 0; i < 200; ++i) {
    shards.push_back({FailureDomainId("other"), PoolName("pool-" + std::to_string(i))});
  }
  a.UpdateSelf(Revision(1), shards);
  const nlohmann::json first = EncodeHeartbeat(a.Compose(InstanceId("b")));
  BOOST_TEST(EncodeBody(first[8]).size() <= kMaxNewsBytes);
  const std::optional<Heartbeat> decoded = DecodeHeartbeat(first);
  BOOST_TEST_REQUIRE(decoded.has_value());
  b.Apply(*decoded, clock.Now());
  a.Apply(b.Compose(InstanceId("a")), clock.Now());
  a.Apply(b.Compose(InstanceId("a")), clock.Now());
  const Heartbeat next = a.Compose(InstanceId("b"));
  BOOST_TEST(std::none_of(next.news.begin(), next.news.end(),
                          [](const News& news) { return news.member.id.value() == "a"; }));
}

// Guards against an incarnation that overflows when an instance refutes what is said of it: every
// other instance would refuse its heartbeats from then on.
BOOST_AUTO_TEST_CASE(IncarnationOutOfRangeIsNotRefuted) {
  for (const int64_t claimed :
       {std::numeric_limits<int64_t>::max(), kMaxIncarnation, kMaxIncarnation - 1}) {
    Heartbeat heartbeat = a.Compose(InstanceId("b"));
    Member claim = Describe("b", "d", claimed);
    claim.state = MemberState::kDead;
    heartbeat.news.push_back(News{claim, false});
    b.Apply(heartbeat, clock.Now());
    BOOST_TEST(DecodeHeartbeat(EncodeHeartbeat(b.Compose(InstanceId("a")))).has_value());
  }
  BOOST_TEST(b.self().incarnation == kMaxIncarnation);
}

// Guards against one hostile item of news that makes a whole heartbeat useless, so that its sender
// counts as silent and the other members in it stay unknown.
BOOST_AUTO_TEST_CASE(HostileNewsIsSkippedAndLoggedOnce) {
  const nlohmann::json good = EncodeNews(News{Describe("c", "d", 5), true});
  std::vector<nlohmann::json> items = {nullptr, 7, nlohmann::json::array(),
                                       nlohmann::json::object(), std::string(100'000, 'x')};
  for (const nlohmann::json& number :
       {nlohmann::json(std::numeric_limits<int64_t>::max()), nlohmann::json(-1),
        nlohmann::json(std::numeric_limits<uint64_t>::max()), nlohmann::json(1e300),
        nlohmann::json(std::numeric_limits<double>::quiet_NaN()), nlohmann::json("5")}) {
    for (const size_t field : {1, 2, 3}) {
      items.push_back(EncodeNews(News{Describe("h", "d", 5), true}));
      items.back()[field] = number;
    }
  }
  for (const nlohmann::json& item : items) {
    EventLog log("test", &hybrid);
    MemberTable table{Describe("b", "d", 5), &log};
    for (int beat = 0; beat < 3; ++beat) {
      nlohmann::json json = EncodeHeartbeat(a.Compose(InstanceId("b")));
      json[8] = nlohmann::json::array({item, good});
      json[8].push_back(EncodeNews(News{a.self(), true}));
      const std::optional<Heartbeat> heartbeat = DecodeHeartbeat(json);
      BOOST_TEST_CONTEXT(item) {
        BOOST_TEST_REQUIRE(heartbeat.has_value());
        BOOST_TEST(table.Apply(*heartbeat, clock.Now()).has_value());
        BOOST_TEST(table.Others().size() == 2U);
      }
    }
    int refused = 0;
    for (const Event& event : log.Select({})) {
      refused += event.code == EventCode::kInvalidInputRefused ? 1 : 0;
    }
    BOOST_TEST(refused == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
