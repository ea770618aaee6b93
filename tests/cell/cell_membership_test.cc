#include "cell/cell_membership.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "base/event_log.h"
#include "base/system_clock.h"
#include "tests/cell/eventually.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

const PartName kPool("rendering.0.1");

// One instance's membership with what it was told.
class Node {
 public:
  Node(const std::string& id, const std::string& incarnation, FakeStore* store)
      : counted_(store->Put("pomelotray/control/parts/rendering", "1")),
        membership_({InstanceId(id), id + ":1"}, incarnation, store, &clock_, &events_,
                    CellMembership::Callbacks{[this](const PartClaim& claim) { Won(claim); },
                                              [this](const PartName&) { Lost(); },
                                              [this] {
                                                ++outage_questions_;
                                                return down_for_all_.load();
                                              }}) {
    membership_.SetPools({PoolName("rendering")});
    membership_.Start();
  }

  CellMembership& membership() { return membership_; }
  // The term that this instance owns the pool with; 0: none.
  int64_t term() const {
    absl::MutexLock lock(&mutex_);
    return term_;
  }
  void SetDownForAll(bool down) { down_for_all_ = down; }
  // How often the other members were asked whether the store answers them.
  int outage_questions() const { return outage_questions_; }

 private:
  void Won(const PartClaim& claim) {
    absl::MutexLock lock(&mutex_);
    term_ = claim.term;
  }
  void Lost() {
    absl::MutexLock lock(&mutex_);
    term_ = 0;
  }

  const Revision counted_;
  SystemClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"test", &hybrid_clock_};
  mutable absl::Mutex mutex_;
  int64_t term_ = 0;
  std::atomic<bool> down_for_all_{false};
  std::atomic<int> outage_questions_{0};
  CellMembership membership_;
};

BOOST_AUTO_TEST_SUITE(CellMembershipTest)

BOOST_AUTO_TEST_CASE(ExactlyOneInstanceOwnsAPool) {
  SystemClock clock;
  FakeStore store(&clock);
  Node a("a", "1", &store);
  Node b("b", "1", &store);
  BOOST_TEST(Eventually([&] { return a.term() + b.term() == 1; }));
  BOOST_TEST(Eventually([&] {
    return a.membership().ClaimOf(kPool).has_value() && b.membership().ClaimOf(kPool).has_value();
  }));
}

// Guards against an interruption at a planned stop: the other instance takes over at once, with a
// higher term.
BOOST_AUTO_TEST_CASE(ResignationPassesThePoolOn) {
  SystemClock clock;
  FakeStore store(&clock);
  Node a("a", "1", &store);
  Node b("b", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() + b.term() == 1; }));
  Node& owner = a.term() > 0 ? a : b;
  Node& other = a.term() > 0 ? b : a;
  owner.membership().Resign();
  BOOST_TEST(Eventually([&] { return other.term() == 2 && owner.term() == 0; }));
}

// Guards against a hand-over whose list of running work arrives without the end of the claim, or
// the other way round.
BOOST_AUTO_TEST_CASE(LastWritesAreMadeWithTheEndOfTheClaims) {
  SystemClock clock;
  FakeStore store(&clock);
  Node a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  a.membership().Resign({StoreWrite{"last", "word", std::nullopt}});
  const Outcome<std::optional<StoreEntry>> claim =
      Capture([&] { return store.Get("pomelotray/control/claims/rendering.0.1"); });
  const Outcome<std::optional<StoreEntry>> last = Capture([&] { return store.Get("last"); });
  BOOST_REQUIRE(claim.ok() && last.ok());
  BOOST_TEST(!claim.value().has_value());
  BOOST_TEST(last.value().has_value());
}

// Guards against one unreadable entry that ends the process or hides the entries beside it.
BOOST_AUTO_TEST_CASE(UnreadableEntriesAreLeftOut) {
  SystemClock clock;
  FakeStore store(&clock);
  for (const char* text :
       {"", "[", "7", "null", "{}", R"({"instance":5})", R"({"instance":"x","peer_address":{}})",
        R"({"instance":"x","peer_address":"x:1","cpu_milli":"many"})"}) {
    store.Put("pomelotray/control/members/broken", text);
    store.Put("pomelotray/control/claims/broken.0.1", text);
    Node a("a", "1", &store);
    BOOST_TEST_CONTEXT("entry " << text) {
      BOOST_TEST(Eventually([&] { return a.term() > 0; }));
      BOOST_TEST(a.membership().members().size() == 1U);
    }
  }
}

// Guards against two owners after a lapse: the old one loses the pool, and terms only rise.
BOOST_AUTO_TEST_CASE(LapsedLeaseEndsTheClaim) {
  SystemClock clock;
  FakeStore store(&clock);
  Node a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  store.ExpireAllLeases();
  BOOST_TEST(Eventually([&] { return a.term() == 2; }));
}

// A process that starts again takes its own VM's claim over without waiting for the lease.
BOOST_AUTO_TEST_CASE(RestartedInstanceReplacesItsOwnClaim) {
  SystemClock clock;
  FakeStore store(&clock);
  store.Put("pomelotray/control/claims/rendering.0.1",
            R"({"instance":"a","peer_address":"a:1","incarnation":"old","term":4})");
  store.Put("pomelotray/control/terms/rendering.0.1", "4");
  Node a("a", "new", &store);
  BOOST_TEST(Eventually([&] { return a.term() == 5; }));
}

// Guards against needless time without an owner after a restart: the instance takes its own former
// claim again as soon as it is registered, and only waits for other members with unowned pools.
BOOST_AUTO_TEST_CASE(FormerOwnerDoesNotWaitForOtherMembers) {
  SystemClock clock;
  HybridClock hybrid_clock(&clock);
  EventLog events("test", &hybrid_clock);
  FakeStore store(&clock);
  store.Put("pomelotray/control/parts/animation", "1");
  store.Put("pomelotray/control/parts/rendering", "1");
  store.Put("pomelotray/control/claims/rendering.0.1",
            R"({"instance":"a","peer_address":"a:1","incarnation":"old","term":4})");
  store.Put("pomelotray/control/terms/rendering.0.1", "4");
  absl::Mutex mutex;
  std::vector<std::string> won;
  CellMembership::Callbacks callbacks;
  callbacks.claimed = [&](const PartClaim& claim) {
    absl::MutexLock lock(&mutex);
    won.push_back(claim.part.value());
  };
  callbacks.lost = [](const PartName&) {};
  callbacks.store_is_down_for_all = [] { return false; };
  CellMembership membership({InstanceId("a"), "a:1"}, "new", &store, &clock, &events, callbacks);
  membership.SetPools({PoolName("animation"), PoolName("rendering")});
  membership.Start();
  BOOST_REQUIRE(Eventually([&] {
    absl::MutexLock lock(&mutex);
    return won.size() == 2;
  }));
  membership.Stop();
  BOOST_TEST(won.front() == "rendering.0.1");
}

// Guards against starts by an owner that may have been replaced: without the store its permission
// ends, unless all members say that the store is down.
BOOST_AUTO_TEST_CASE(PermissionEndsWithTheLeaseUnlessTheStoreIsDownForAll) {
  SystemClock clock;
  FakeStore store(&clock);
  Node a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  BOOST_TEST(a.membership().MayStart());
  store.SetDown(true);
  BOOST_TEST(Eventually([&] { return !a.membership().MayStart(); }));
  a.SetDownForAll(true);
  BOOST_TEST(Eventually([&] { return a.membership().MayStart(); }));
}

// Guards against questions that grow with the square of the instances during an outage (broadcast
// storm): only an owner needs the answer. It delayed the others' next try, and so the callers.
BOOST_AUTO_TEST_CASE(OnlyOwnersAskTheOthersDuringAnOutage) {
  SystemClock clock;
  FakeStore store(&clock);
  Node a("a", "1", &store);
  Node b("b", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() + b.term() == 1; }));
  Node& owner = a.term() > 0 ? a : b;
  Node& other = a.term() > 0 ? b : a;
  store.SetDown(true);
  BOOST_TEST(Eventually([&] { return owner.outage_questions() >= 3; }));
  BOOST_TEST(Eventually([&] { return !other.membership().StoreAnswers(); }));
  BOOST_TEST(other.outage_questions() == 0);
  store.SetDown(false);
  BOOST_TEST(Eventually([&] { return other.membership().StoreAnswers(); }));
}

// Guards against a chain of hand-overs while all VMs are stopped and started in turn: the part goes
// to the instance that has been restarted last, if it is as large as the others.
BOOST_AUTO_TEST_CASE(FreePartGoesToTheInstanceThatStartedLast) {
  const absl::Time begin = absl::FromUnixSeconds(1'000'000);
  for (int last = 0; last < 6; ++last) {
    std::vector<CellMember> members;
    members.reserve(7);
    for (int i = 0; i < 6; ++i) {
      members.push_back(CellMember{InstanceId("i" + std::to_string(i)), "", 500,
                                   begin + absl::Seconds(i == last ? 40 : i)});
    }
    members.push_back(CellMember{InstanceId("small"), "", 120, begin + absl::Seconds(60)});
    const std::map<PartName, InstanceId> assigned = AssignParts({PartName("p")}, members);
    BOOST_TEST((assigned.at(PartName("p")) == members[static_cast<size_t>(last)].id));
  }
}

// Guards against all pools on one instance.
BOOST_AUTO_TEST_CASE(PoolsAreSpreadOverMembers) {
  const std::vector<CellMember> members = {
      {InstanceId("a"), ""}, {InstanceId("b"), ""}, {InstanceId("c"), ""}};
  const std::map<PartName, InstanceId> assigned =
      AssignParts({PartName("p1"), PartName("p2"), PartName("p3")}, members);
  std::set<InstanceId> used;
  for (const auto& [pool, instance] : assigned) {
    used.insert(instance);
  }
  BOOST_TEST(used.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
