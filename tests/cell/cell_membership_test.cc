#include "cell/membership/cell_membership.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "absl/synchronization/notification.h"
#include "base/event_log.h"
#include "base/system_clock.h"
#include "cell/records/cell_keys.h"
#include "cell/store/observed_store.h"
#include "tests/cell/eventually.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

const PartName kPart("rendering.0.1");

// A store that delays the first answer of a watch that shows a claim of kPart until Release().
class DelayedWatchStore : public ObservedStore {
 public:
  using ObservedStore::ObservedStore;

  Result<WatchBatch> Watch(const std::string& prefix, Revision after,
                           absl::Duration wait) override {
    BOOST_LEAF_AUTO(batch, ObservedStore::Watch(prefix, after, wait));
    const bool shows_claim =
        std::any_of(batch.changed.begin(), batch.changed.end(),
                    [](const StoreEntry& entry) { return entry.key == cell_keys::Claim(kPart); });
    if (shows_claim) {
      released_.WaitForNotification();
    }
    return batch;
  }
  void Release() { released_.Notify(); }

 private:
  absl::Notification released_;
};

// Membership of one instance that records the calls of its callbacks.
class TestInstance {
 public:
  TestInstance(const std::string& id, const std::string& incarnation, FakeStore* store)
      : part_count_revision_(store->Put("pomelotray/control/parts/rendering", "1")),
        membership_({InstanceId(id), id + ":1"}, incarnation, store, &clock_, &events_,
                    CellMembership::Callbacks{[this](const PartClaim& claim) { OnClaimed(claim); },
                                              [this](const PartName&) { OnLost(); },
                                              [this] {
                                                ++outage_queries_;
                                                return down_for_all_.load();
                                              }}) {
    membership_.SetPools({PoolName("rendering")});
    membership_.Start();
  }

  CellMembership& membership() { return membership_; }
  // Returns the term of this instance's claim of the part, or 0 if it has none.
  int64_t term() const {
    absl::MutexLock lock(&mutex_);
    return term_;
  }
  void SetDownForAll(bool down) { down_for_all_ = down; }
  // Returns how often the event was logged.
  size_t Count(EventCode code) const {
    const std::vector<Event> events = events_.Select({});
    return static_cast<size_t>(std::count_if(
        events.begin(), events.end(), [code](const Event& event) { return event.code == code; }));
  }
  // Returns how often this instance asked the other members whether the store is available to them.
  int outage_queries() const { return outage_queries_; }

 private:
  void OnClaimed(const PartClaim& claim) {
    absl::MutexLock lock(&mutex_);
    term_ = claim.term;
  }
  void OnLost() {
    absl::MutexLock lock(&mutex_);
    term_ = 0;
  }

  const Revision part_count_revision_;
  SystemClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"test", &hybrid_clock_};
  mutable absl::Mutex mutex_;
  int64_t term_ = 0;
  std::atomic<bool> down_for_all_{false};
  std::atomic<int> outage_queries_{0};
  CellMembership membership_;
};

BOOST_AUTO_TEST_SUITE(CellMembershipTest)

BOOST_AUTO_TEST_CASE(ExactlyOneInstanceOwnsAPart) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  TestInstance b("b", "1", &store);
  BOOST_TEST(Eventually([&] { return a.term() + b.term() == 1; }));
  BOOST_TEST(Eventually([&] {
    return a.membership().ClaimOf(kPart).has_value() && b.membership().ClaimOf(kPart).has_value();
  }));
}

// Guards against an interruption at a planned stop: the other instance must claim the part at once,
// with a higher term, instead of waiting for the lease to expire.
BOOST_AUTO_TEST_CASE(OtherInstanceClaimsPartAfterResignation) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  TestInstance b("b", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() + b.term() == 1; }));
  TestInstance& owner = a.term() > 0 ? a : b;
  TestInstance& other = a.term() > 0 ? b : a;
  owner.membership().Resign();
  BOOST_TEST(Eventually([&] { return other.term() == 2 && owner.term() == 0; }));
}

// Guards against a handover in which the list of running tasks is stored but the claim is not
// released, or the claim is released without the list.
BOOST_AUTO_TEST_CASE(LastWritesAreCommittedWithTheRelease) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  a.membership().Resign({{kPart, StoreWrite{"last", "word", EntryLifetime::Permanent()}}});
  const Outcome<std::optional<StoreEntry>> claim =
      Capture([&] { return store.Get("pomelotray/control/claims/rendering.0.1"); });
  const Outcome<std::optional<StoreEntry>> last = Capture([&] { return store.Get("last"); });
  BOOST_REQUIRE(claim.ok() && last.ok());
  BOOST_TEST(!claim.value().has_value());
  BOOST_TEST(last.value().has_value());
}

// Guards against a handover that the store refuses as too large, so that the next owners do not
// learn which tasks are running.
BOOST_AUTO_TEST_CASE(ManyPartsAreReleasedInSeveralTransactions) {
  constexpr int kPools = 25;
  SystemClock clock;
  FakeStore store(&clock);
  std::vector<PoolName> pools;
  std::map<PartName, StoreWrite> last_writes;
  for (int i = 0; i < kPools; ++i) {
    const std::string pool = "pool" + std::to_string(i);
    pools.emplace_back(pool);
    store.Put("pomelotray/control/parts/" + pool, "1");
    last_writes.emplace(PartName(pool + ".0.1"),
                        StoreWrite{"last/" + pool, "word", EntryLifetime::Permanent()});
  }
  TestInstance a("a", "1", &store);
  a.membership().SetPools(pools);
  const auto has_claim = [&a](const PoolName& pool) {
    return a.membership().ClaimOf(PartName(pool.value() + ".0.1")).has_value();
  };
  BOOST_REQUIRE(Eventually([&] { return std::all_of(pools.begin(), pools.end(), has_claim); }));
  a.membership().Resign(std::move(last_writes));
  for (const PoolName& pool : pools) {
    BOOST_TEST(store.Peek("last/" + pool.value()).has_value());
  }
}

// Calls Resign() of an instance when the store gets a chosen call.
class ResignAtCall {
 public:
  // `call`: the kind and key of the store call, see FakeStore::Call.
  ResignAtCall(FakeStore* store, CellMembership* membership, std::string kind, std::string key)
      : store_(store), membership_(membership), kind_(std::move(kind)), key_(std::move(key)) {
    store_->SetHook([this](const FakeStore::Call& call) { return Observe(call); });
  }
  ~ResignAtCall() { store_->SetHook(nullptr); }

  bool resigned() const { return resigned_; }

 private:
  StoreFault Observe(const FakeStore::Call& call) {
    if (call.kind == kind_ && call.key == key_ && !called_.exchange(true)) {
      membership_->Resign();
      resigned_ = true;
    }
    return StoreFault::kNone;
  }

  FakeStore* const store_;
  CellMembership* const membership_;
  const std::string kind_;
  const std::string key_;
  std::atomic<bool> called_{false};
  std::atomic<bool> resigned_{false};
};

std::string ClaimKeyOf(const std::string& pool) {
  return "pomelotray/control/claims/" + pool + ".0.1";
}

// Guards against a part that no instance ever owns again: an instance that is stopped between two
// claims of one round wrote the second claim without a lease, and that claim outlived the process.
BOOST_AUTO_TEST_CASE(StopBetweenTwoClaimsLeavesNoClaim) {
  SystemClock clock;
  FakeStore store(&clock);
  store.Put("pomelotray/control/parts/animation", "1");
  store.Put("pomelotray/control/parts/compositing", "1");
  const std::vector<PoolName> pools = {PoolName("animation"), PoolName("compositing"),
                                       PoolName("rendering")};
  TestInstance a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  ResignAtCall stop(&store, &a.membership(), "commit", ClaimKeyOf("animation"));
  a.membership().SetPools(pools);
  BOOST_REQUIRE(Eventually([&] { return stop.resigned(); }));
  TestInstance b("b", "1", &store);
  b.membership().SetPools(pools);
  for (const char* pool : {"animation", "compositing", "rendering"}) {
    const PartName part(std::string(pool) + ".0.1");
    BOOST_TEST(Eventually([&] {
      const std::optional<PartClaim> claim = b.membership().ClaimOf(part);
      return claim.has_value() && claim->owner.id == InstanceId("b");
    }));
  }
}

// Guards against a claim that outlives its instance because it reaches the store after the release
// of the others: before the end of the lease, or after it.
BOOST_AUTO_TEST_CASE(ClaimInFlightAtAStopEndsWithTheLease) {
  for (const bool arrives_before_end : {true, false}) {
    SystemClock clock;
    FakeStore store(&clock);
    store.Put("pomelotray/control/parts/animation", "1");
    TestInstance a("a", "1", &store);
    BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
    std::atomic<bool> claiming{false};
    std::atomic<bool> released{false};
    std::atomic<bool> ended{false};
    store.SetHook([&](const FakeStore::Call& call) {
      if (call.kind == "commit" && call.key == ClaimKeyOf("animation") &&
          !claiming.exchange(true)) {
        Eventually([&] { return arrives_before_end ? released.load() : ended.load(); });
      }
      if (call.kind == "revoke") {
        released = true;
        if (arrives_before_end) {
          Eventually([&] { return store.Peek(ClaimKeyOf("animation")).has_value(); });
        }
      }
      return StoreFault::kNone;
    });
    a.membership().SetPools({PoolName("animation"), PoolName("rendering")});
    BOOST_REQUIRE(Eventually([&] { return claiming.load(); }));
    a.membership().Resign();
    ended = true;
    BOOST_TEST_CONTEXT("arrives before the end of the lease: " << arrives_before_end) {
      BOOST_TEST(!store.Peek(ClaimKeyOf("animation")).has_value());
      BOOST_TEST(!a.membership().MayStartTasks());
      a.membership().Stop();
      BOOST_TEST(!store.Peek(ClaimKeyOf("animation")).has_value());
    }
    store.SetHook(nullptr);
  }
}

// Guards against a member entry, to which other instances would leave parts, of an instance that is
// stopped while it registers.
BOOST_AUTO_TEST_CASE(StopDuringRegistrationEndsTheNewLease) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  ResignAtCall stop(&store, &a.membership(), "commit", "pomelotray/control/members/a");
  store.ExpireAllLeases();
  BOOST_REQUIRE(Eventually([&] { return stop.resigned(); }));
  BOOST_TEST(Eventually([&] { return store.Calls("revoke") == 1; }));
  BOOST_TEST(Eventually([&] { return !store.Peek("pomelotray/control/members/a").has_value(); }));
}

// Guards against an owner that loses all its parts because the store has deleted its member entry
// only: it registered with a new lease, and the lease of its claims ran out.
BOOST_AUTO_TEST_CASE(DeletedMemberEntryIsRestoredWithTheSameLease) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  const std::optional<StoreLeaseId> lease = store.Peek(ClaimKeyOf("rendering"))->lease;
  BOOST_REQUIRE(lease.has_value());
  const std::string member = "pomelotray/control/members/a";
  // Two losses, so that any other lease than the first would be over at the end.
  for (int loss = 0; loss < 2; ++loss) {
    store.Remove(member);
    BOOST_TEST(Eventually([&] {
      const std::optional<StoreEntry> entry = store.Peek(member);
      return entry.has_value() && entry->lease == lease;
    }));
  }
  BOOST_TEST((store.Peek(ClaimKeyOf("rendering"))->lease == lease));
  BOOST_TEST(a.term() == 1);
  BOOST_TEST(store.Calls("grant") == 1);
}

// Guards against a part that no instance ever owns again because a claim without a lease, which an
// earlier version could write, outlives its owner.
BOOST_AUTO_TEST_CASE(ClaimWithoutALeaseOfAnAbsentOwnerIsReplaced) {
  SystemClock clock;
  FakeStore store(&clock);
  store.Put(ClaimKeyOf("rendering"),
            R"({"instance":"gone","peer_address":"gone:1","incarnation":"old","term":4})");
  store.Put("pomelotray/control/terms/rendering.0.1", "4");
  TestInstance a("a", "1", &store);
  BOOST_TEST(Eventually([&] { return a.term() == 5; }));
  BOOST_TEST(a.Count(EventCode::kPartOwners) > 0);
}

// Guards against the replacement of an owner that may still start tasks: while its lease lives,
// although the store has lost its member entry, and while it is a member, although its claim has no
// lease.
BOOST_AUTO_TEST_CASE(ClaimOfALivingOwnerIsNotReplaced) {
  SystemClock clock;
  FakeStore store(&clock);
  const std::string record =
      R"({"instance":"other","peer_address":"other:1","incarnation":"1","term":4})";
  const StoreLeaseId lease = Capture([&] { return store.GrantLease(absl::Minutes(10)); }).value();
  StoreTransaction transaction;
  transaction.writes = {StoreWrite{ClaimKeyOf("animation"), record, EntryLifetime::BoundTo(lease)}};
  BOOST_REQUIRE(Capture([&] { return store.Commit(transaction); }).ok());
  store.Put("pomelotray/control/parts/animation", "1");
  TestInstance a("a", "1", &store);
  a.membership().SetPools({PoolName("animation")});
  // The warning appears only after an absence for which a claim without a lease is replaced.
  BOOST_TEST(Eventually([&] { return a.Count(EventCode::kPartWithoutOwner) >= 2; }));
  BOOST_TEST(a.membership().ClaimOf(PartName("animation.0.1"))->owner.id.value() == "other");

  store.Put("pomelotray/control/members/other", record);
  store.Put(ClaimKeyOf("rendering"), record);
  a.membership().SetPools({PoolName("animation"), PoolName("rendering")});
  clock.SleepFor(absl::Seconds(4));
  BOOST_TEST(a.membership().ClaimOf(kPart)->owner.id.value() == "other");
  store.Remove("pomelotray/control/members/other");
  BOOST_TEST(Eventually([&] { return a.membership().ClaimOf(kPart)->owner.id.value() == "a"; }));
  BOOST_TEST(a.membership().ClaimOf(PartName("animation.0.1"))->owner.id.value() == "other");
}

// Guards against an undecodable entry that crashes the process or prevents other entries from being
// applied.
BOOST_AUTO_TEST_CASE(UnreadableEntriesAreIgnored) {
  SystemClock clock;
  FakeStore store(&clock);
  for (const char* text :
       {"", "[", "7", "null", "{}", R"({"instance":5})", R"({"instance":"x","peer_address":{}})",
        R"({"instance":"x","peer_address":"x:1","cpu_milli":"many"})"}) {
    store.Put("pomelotray/control/members/broken", text);
    store.Put("pomelotray/control/claims/broken.0.1", text);
    TestInstance a("a", "1", &store);
    BOOST_TEST_CONTEXT("entry " << text) {
      BOOST_TEST(Eventually([&] { return a.term() > 0; }));
      BOOST_TEST(a.membership().members().size() == 1U);
    }
  }
}

// Guards against two owners after a lease has expired: the earlier owner must lose the part, and
// the next claim must have a higher term.
BOOST_AUTO_TEST_CASE(ExpiredLeaseEndsTheClaim) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  store.ExpireAllLeases();
  BOOST_TEST(Eventually([&] { return a.term() == 2; }));
}

// Guards against two owners of a part: an answer of the watch that was delayed since the claim was
// made arrives after the lease has been lost, and shows the instance a claim of its own.
BOOST_AUTO_TEST_CASE(DelayedWatchDoesNotRestoreAClaimOfALostLease) {
  SystemClock clock;
  HybridClock hybrid_clock(&clock);
  EventLog events("test", &hybrid_clock);
  FakeStore store(&clock);
  DelayedWatchStore delayed(&store, &clock);
  store.Put("pomelotray/control/parts/rendering", "1");
  std::atomic<int> claimed{0};
  std::atomic<int> lost{0};
  CellMembership::Callbacks callbacks;
  callbacks.claimed = [&claimed](const PartClaim&) { ++claimed; };
  callbacks.lost = [&lost](const PartName&) { ++lost; };
  callbacks.store_down_for_all_members = [] { return false; };
  CellMembership membership({InstanceId("a"), "a:1"}, "1", &delayed, &clock, &events, callbacks);
  membership.SetPools({PoolName("rendering")});
  membership.Start();
  BOOST_REQUIRE(Eventually([&] { return claimed == 1; }));
  // Another claim would be a valid one.
  store.SetHook([](const FakeStore::Call& call) {
    return call.kind == "commit" && call.key == cell_keys::Claim(kPart) ? StoreFault::kDown
                                                                        : StoreFault::kNone;
  });
  store.ExpireAllLeases();
  BOOST_REQUIRE(Eventually([&] { return lost == 1; }));
  delayed.Release();
  store.Put("pomelotray/control/parts/animation", "1");
  BOOST_REQUIRE(
      Eventually([&] { return membership.PartCount(PoolName("animation")).has_value(); }));
  BOOST_TEST(claimed == 1);
  membership.Stop();
}

// A restarted process replaces the claim of its predecessor on the same instance without waiting
// for the lease to expire.
BOOST_AUTO_TEST_CASE(RestartedInstanceReplacesItsOwnClaim) {
  SystemClock clock;
  FakeStore store(&clock);
  store.Put("pomelotray/control/claims/rendering.0.1",
            R"({"instance":"a","peer_address":"a:1","incarnation":"old","term":4})");
  store.Put("pomelotray/control/terms/rendering.0.1", "4");
  TestInstance a("a", "new", &store);
  BOOST_TEST(Eventually([&] { return a.term() == 5; }));
}

// Guards against unnecessary time without an owner after a restart. The instance must replace its
// own former claim as soon as it is registered. Only before it claims parts without an owner does
// it wait until the other members are known.
BOOST_AUTO_TEST_CASE(RestartedInstanceReclaimsItsPartBeforeFreeParts) {
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
  std::vector<std::string> claimed;
  CellMembership::Callbacks callbacks;
  callbacks.claimed = [&](const PartClaim& claim) {
    absl::MutexLock lock(&mutex);
    claimed.push_back(claim.part.value());
  };
  callbacks.lost = [](const PartName&) {};
  callbacks.store_down_for_all_members = [] { return false; };
  CellMembership membership({InstanceId("a"), "a:1"}, "new", &store, &clock, &events, callbacks);
  membership.SetPools({PoolName("animation"), PoolName("rendering")});
  membership.Start();
  BOOST_REQUIRE(Eventually([&] {
    absl::MutexLock lock(&mutex);
    return claimed.size() == 2;
  }));
  membership.Stop();
  BOOST_TEST(claimed.front() == "rendering.0.1");
}

// Guards against task starts by an owner that may have been replaced. While the store is
// unavailable, an owner must stop starting tasks when its lease expires, unless all members confirm
// that the store is down and so no claim can be made.
BOOST_AUTO_TEST_CASE(TaskStartsEndWithTheLeaseUnlessStoreIsDownForAllMembers) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() == 1; }));
  BOOST_TEST(a.membership().MayStartTasks());
  store.SetDown(true);
  BOOST_TEST(Eventually([&] { return !a.membership().MayStartTasks(); }));
  a.SetDownForAll(true);
  BOOST_TEST(Eventually([&] { return a.membership().MayStartTasks(); }));
}

// Guards against a broadcast storm during an outage: if every instance asked every other one, the
// queries would grow with the square of the number of instances. Only owners need the answer. In
// the other instances the queries delayed the next renewal attempt and therefore the callers.
BOOST_AUTO_TEST_CASE(OnlyOwnersQueryOtherMembersDuringAnOutage) {
  SystemClock clock;
  FakeStore store(&clock);
  TestInstance a("a", "1", &store);
  TestInstance b("b", "1", &store);
  BOOST_REQUIRE(Eventually([&] { return a.term() + b.term() == 1; }));
  TestInstance& owner = a.term() > 0 ? a : b;
  TestInstance& other = a.term() > 0 ? b : a;
  store.SetDown(true);
  BOOST_TEST(Eventually([&] { return owner.outage_queries() >= 3; }));
  BOOST_TEST(Eventually([&] { return !other.membership().IsStoreAvailable(); }));
  BOOST_TEST(other.outage_queries() == 0);
  store.SetDown(false);
  BOOST_TEST(Eventually([&] { return other.membership().IsStoreAvailable(); }));
}

// Guards against repeated handovers of a part during a rolling restart of all VMs. A free part must
// be assigned to the instance that was started last, if its CPU share is as large as the others'.
BOOST_AUTO_TEST_CASE(FreePartIsAssignedToLastStartedInstance) {
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

// Guards against an assignment of all parts to one instance.
BOOST_AUTO_TEST_CASE(PartsAreSpreadOverMembers) {
  const std::vector<CellMember> members = {
      {InstanceId("a"), ""}, {InstanceId("b"), ""}, {InstanceId("c"), ""}};
  const std::map<PartName, InstanceId> assigned =
      AssignParts({PartName("p1"), PartName("p2"), PartName("p3")}, members);
  std::set<InstanceId> used;
  for (const auto& [part, instance] : assigned) {
    used.insert(instance);
  }
  BOOST_TEST(used.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
