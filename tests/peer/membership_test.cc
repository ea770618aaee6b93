#include "peer/membership.h"

#include "boost/test/unit_test.hpp"
#include "tests/peer/fake_network.h"

namespace pomelotray {
namespace {

void AddDomains(FakeCluster* cluster, int domains, int per_domain) {
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < per_domain; ++i) {
      const std::string name = "d" + std::to_string(domain);
      cluster->Add(name + "-" + std::to_string(i), name);
    }
  }
  cluster->SeedAll();
}

BOOST_AUTO_TEST_SUITE(MembershipTest)

// Guards against tables that differ for ever when heartbeats are lost, doubled and delayed, and
// against news beyond its byte bound.
BOOST_AUTO_TEST_CASE(ConvergesOverFaultyNetworkWithinByteBound) {
  FakeCluster cluster;
  cluster.network.SetFaults({0.15, 0.1, 0.1});
  AddDomains(&cluster, 4, 3);
  BOOST_TEST(cluster.RunUntil(absl::Minutes(2), [&] { return cluster.Converged(); }));
  cluster.Run(absl::Seconds(20));
  const FakeNetwork::Usage usage = cluster.network.TakeUsage();
  BOOST_TEST(usage.largest_news > 0U);
  BOOST_TEST(usage.largest_news <= 512U);
  BOOST_TEST(usage.malformed == 0U);
}

// Guards against wrong timers: a silent instance is suspected after 3 s and dead after 10 s.
BOOST_AUTO_TEST_CASE(SilentInstanceBecomesSuspectThenDead) {
  FakeCluster cluster;
  AddDomains(&cluster, 1, 3);
  BOOST_TEST_REQUIRE(cluster.RunUntil(absl::Minutes(1), [&] { return cluster.Converged(); }));
  cluster.Crash("d0-2");
  const absl::Time crashed = cluster.clock.Now();
  cluster.Run(absl::Seconds(1));
  BOOST_TEST(cluster.StateOf("d0-0", "d0-2") == "live");
  BOOST_TEST(
      cluster.RunUntil(absl::Seconds(15), [&] { return cluster.AllSee("d0-2", "suspect"); }));
  BOOST_TEST((cluster.clock.Now() - crashed >= absl::Seconds(2)));
  BOOST_TEST(cluster.RunUntil(absl::Seconds(30), [&] { return cluster.AllSee("d0-2", "dead"); }));
  BOOST_TEST((cluster.clock.Now() - crashed >= absl::Seconds(9)));
  BOOST_TEST(cluster.nodes["d0-0"].membership->LiveInDomain(FailureDomainId("d0")).size() == 2U);
}

// Guards against a crashed instance that other domains keep as live, and against a restarted one
// that stays dead.
BOOST_AUTO_TEST_CASE(CrashIsSeenInAllDomainsAndRestartIsLive) {
  FakeCluster cluster;
  AddDomains(&cluster, 3, 2);
  BOOST_TEST_REQUIRE(cluster.RunUntil(absl::Minutes(1), [&] { return cluster.Converged(); }));
  cluster.Crash("d1-0");
  BOOST_TEST(cluster.RunUntil(absl::Minutes(2), [&] { return cluster.AllSee("d1-0", "dead"); }));
  cluster.Add("d1-0", "d1", 2);
  BOOST_TEST(cluster.RunUntil(absl::Minutes(2), [&] { return cluster.Converged(); }));
}

// Guards against domains that stay separate after a partition: both sides call the other dead, and
// all refute it by a higher incarnation.
BOOST_AUTO_TEST_CASE(CutOffDomainIsDeadAndReturns) {
  FakeCluster cluster;
  AddDomains(&cluster, 3, 2);
  BOOST_TEST_REQUIRE(cluster.RunUntil(absl::Minutes(1), [&] { return cluster.Converged(); }));
  cluster.network.Cut("peer-of-d0-0", true);
  cluster.network.Cut("peer-of-d0-1", true);
  BOOST_TEST(cluster.RunUntil(absl::Minutes(2), [&] {
    return cluster.StateOf("d1-0", "d0-0") == "dead" && cluster.StateOf("d2-1", "d0-1") == "dead" &&
           cluster.StateOf("d0-0", "d1-1") == "dead";
  }));
  cluster.network.Cut("peer-of-d0-0", false);
  cluster.network.Cut("peer-of-d0-1", false);
  BOOST_TEST(cluster.RunUntil(absl::Minutes(3), [&] { return cluster.Converged(); }));
}

// Guards against a planned stop that others take for a failure or do not hear of.
BOOST_AUTO_TEST_CASE(LeavingSpreadsToAllDomains) {
  FakeCluster cluster;
  AddDomains(&cluster, 3, 2);
  BOOST_TEST_REQUIRE(cluster.RunUntil(absl::Minutes(1), [&] { return cluster.Converged(); }));
  cluster.nodes["d2-1"].membership->AnnounceLeaving();
  BOOST_TEST(
      cluster.RunUntil(absl::Seconds(30), [&] { return cluster.AllSee("d2-1", "leaving"); }));
  BOOST_TEST(cluster.nodes["d2-1"].membership->LiveInDomain(FailureDomainId("d2")).size() == 1U);
  cluster.Crash("d2-1");
  BOOST_TEST(cluster.RunUntil(absl::Minutes(2), [&] { return cluster.AllSee("d2-1", "dead"); }));
}

// Guards against a configuration change that is not noticed, and shards without a known owner.
BOOST_AUTO_TEST_CASE(RevisionAndOwnersSpread) {
  FakeCluster cluster;
  AddDomains(&cluster, 2, 2);
  BOOST_TEST_REQUIRE(cluster.RunUntil(absl::Minutes(1), [&] { return cluster.Converged(); }));
  *cluster.nodes["d0-0"].revision = 7;
  BOOST_TEST(cluster.RunUntil(absl::Seconds(30), [&] {
    return *cluster.nodes["d0-1"].higher_revision == 7 &&
           *cluster.nodes["d1-0"].higher_revision == 7;
  }));
  const ShardId shard{FailureDomainId("d0"), PoolName("d0-1")};
  BOOST_TEST(cluster.RunUntil(absl::Seconds(30), [&] {
    const std::optional<Member> owner = cluster.nodes["d1-1"].membership->OwnerOf(shard);
    return owner.has_value() && owner->id.value() == "d0-1" && owner->api_address == "api-of-d0-1";
  }));
}

// Guards against heartbeats that outgrow the budget of 3 KB/s per node at the two-year size.
BOOST_AUTO_TEST_CASE(IdleBytesStayWithinBudgetAtFullSize) {
  constexpr int kInstances = 57;
  constexpr int kDomains = 16;
  constexpr int kSeconds = 40;
  // Headers, framing and envelope of one exchange on a warm connection, as measured by
  // TransportTest/WarmCallOverheadIsBounded with bodies of one byte each.
  constexpr int64_t kOverhead = 115;
  // A connection that was closed as idle costs a preface, settings and literal headers.
  constexpr int64_t kColdOverhead = 250;
  FakeCluster cluster;
  for (int i = 0; i < kInstances; ++i) {
    const std::string domain = "domain-" + std::to_string(i % kDomains);
    cluster.Add("entry-" + std::to_string(i), domain);
  }
  cluster.SeedAll();
  BOOST_TEST_REQUIRE(cluster.RunUntil(absl::Minutes(2), [&] { return cluster.Converged(); }));
  cluster.Run(absl::Seconds(30));
  cluster.network.TakeUsage();
  cluster.Run(absl::Seconds(kSeconds));
  const FakeNetwork::Usage usage = cluster.network.TakeUsage();
  const double calls = static_cast<double>(usage.calls) / kInstances / kSeconds;
  // Each byte is sent by one node and received by another; both count.
  const double bodies = 2.0 * static_cast<double>(usage.bytes) / kInstances / kSeconds;
  const double total = bodies + 2.0 * calls * kOverhead + 2.0 * kColdOverhead;
  BOOST_TEST_MESSAGE("calls/s per node " << calls << ", body bytes/s " << bodies
                                         << ", with overhead " << total);
  BOOST_TEST(total <= 3072.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
