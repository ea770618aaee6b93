#include "state/shard_claims.h"

#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

const ShardId kShard{FailureDomainId("cuenca"), PoolName("rendering")};

BOOST_AUTO_TEST_SUITE(ShardClaimsTest)

// Guards against a claim that replaces a live owner, and against a shard that stays unavailable
// after its owner has released it, restarted or lost its instance lease.
BOOST_AUTO_TEST_CASE(ClaimOfLiveOwnerIsNotReplaced) {
  StateFixture fixture;
  ShardClaims a(fixture.Context(), InstanceId("a"), "127.0.0.1:1");
  ShardClaims b(fixture.Context(), InstanceId("b"), "127.0.0.1:2");
  fixture.store.Put("instances/a", "{}");
  const Outcome<ShardClaim> first = Capture([&] { return a.TryClaim(kShard); });
  BOOST_TEST(first.value().term == 1);
  const Outcome<ShardClaim> refused = Capture([&] { return b.TryClaim(kShard); });
  BOOST_TEST((refused.error().kind == ErrorKind::kConflict));
  BOOST_TEST(refused.error().message ==
             "Shard cuenca/rendering is owned by a; send work to its owner.");
  const Outcome<ShardClaim> restarted = Capture([&] { return a.TryClaim(kShard); });
  BOOST_TEST(restarted.value().term == 2);
  BOOST_TEST(Capture([&] { return a.Release(restarted.value()); }).ok());
  const Outcome<ShardClaim> second = Capture([&] { return b.TryClaim(kShard); });
  BOOST_TEST(second.value().term == 3);
  BOOST_TEST(second.value().address == "127.0.0.1:2");
  const Outcome<ShardClaim> third = Capture([&] { return a.TryClaim(kShard); });
  BOOST_TEST(third.value().term == 4);
  // A delayed release must not clear the claim of a later owner.
  BOOST_TEST(Capture([&] { return b.Release(second.value()); }).ok());
  const Outcome<std::vector<ShardClaim>> listed = Capture([&] { return b.List(kShard.domain); });
  BOOST_TEST(listed.value().size() == 1U);
  BOOST_TEST(listed.value()[0].owner == InstanceId("a"));
  BOOST_TEST(listed.value()[0].term == 4);
}

// Guards against two owners of the same term when claims run concurrently, responses are lost and
// leases expire.
BOOST_AUTO_TEST_CASE(NoTermHasTwoOwners) {
  BOOST_TEST(rc::check("claims", [] {
    StateFixture fixture;
    std::vector<ShardClaims> claims;
    for (const char* id : {"a", "b", "c"}) {
      claims.emplace_back(fixture.Context(), InstanceId(id), id);
    }
    StoreFaultSequence script(
        *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 1000)));
    const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1000));
    std::map<int64_t, InstanceId> owners;
    bool nested = false;
    const auto claim = [&](int index) {
      const Outcome<ShardClaim> won = Capture([&] { return claims[index].TryClaim(kShard); });
      if (won.ok()) {
        RC_ASSERT(owners.count(won.value().term) == 0U);
        owners[won.value().term] = won.value().owner;
      }
    };
    int calls = 0;
    fixture.store.SetHook([&](const FakeStore::Call&) {
      if (!nested && ++calls % 3 == 0) {
        nested = true;
        claim(calls % 2);
        nested = false;
      }
      return script.Next();
    });
    for (const int step : steps) {
      claim(step % 3);
      if (step % 5 == 0) {
        fixture.store.Put("instances/a", "{}");
      } else if (step % 5 == 1) {
        fixture.store.Remove("instances/a");
      }
    }
    fixture.store.SetHook(nullptr);
    fixture.store.Remove("instances/a");
    const size_t before = owners.size();
    claim(1);
    RC_ASSERT(owners.size() == before + 1);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
