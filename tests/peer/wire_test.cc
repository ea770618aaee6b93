#include <memory>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "peer/membership.h"
#include "tests/peer/peer_fixture.h"

namespace pomelotray {
namespace {

constexpr int kInstances = 8;
constexpr absl::Duration kBound = absl::Seconds(40);

// One instance with a real server and client.
struct WireNode {
  explicit WireNode(const std::string& name) : side(name) {}
  ~WireNode() {
    if (membership != nullptr) {
      membership->Stop();
    }
    server->Stop();
    client->Stop();
  }

  PeerSide side;
  std::unique_ptr<PeerClient> client;
  std::unique_ptr<PeerServer> server;
  std::unique_ptr<Membership> membership;
  absl::Mutex mutex;
};

Result<void> Open(WireNode* node, const std::string& domain) {
  PeerLimits limits;
  limits.worker_threads = 2;
  BOOST_LEAF_ASSIGN(node->client, PeerClient::Builder()
                                      .Instance(node->side.id)
                                      .SharedKey("key")
                                      .Time(&node->side.hybrid, &node->side.clock)
                                      .Events(&node->side.events)
                                      .Build());
  BOOST_LEAF_ASSIGN(node->server,
                    PeerServer::Builder()
                        .ListenAddress("127.0.0.1:0")
                        .Instance(node->side.id)
                        .SharedKey("key")
                        .Time(&node->side.hybrid, &node->side.clock)
                        .Events(&node->side.events)
                        .Limits(limits)
                        .Handler([node](const PeerCall& call) -> Result<nlohmann::json> {
                          absl::MutexLock lock(&node->mutex);
                          if (node->membership == nullptr) {
                            return Fail(ErrorKind::kNotReady, "The instance is starting.");
                          }
                          return node->membership->HandleHeartbeat(call.body);
                        })
                        .Build());
  absl::MutexLock lock(&node->mutex);
  BOOST_LEAF_ASSIGN(
      node->membership,
      Membership::Builder()
          .Identity(node->side.id, RegionId("sierra"), FailureDomainId(domain))
          .Addresses(PeerFixture::AddressOf(*node->server), "127.0.0.1:1")
          .Incarnation(absl::ToUnixMicros(node->side.clock.Now()))
          .Port(node->client.get())
          .Time(&node->side.clock)
          .Events(&node->side.events)
          .OwnedShards([domain] {
            return std::vector<ShardId>{{FailureDomainId(domain), PoolName("rendering")}};
          })
          .CallThreads(2)
          .Build());
  return {};
}

bool AllKnowAll(const std::vector<std::unique_ptr<WireNode>>& nodes) {
  return std::all_of(nodes.begin(), nodes.end(), [](const std::unique_ptr<WireNode>& node) {
    const std::vector<Member> members = node->membership->Members();
    return members.size() == kInstances &&
           std::all_of(members.begin(), members.end(),
                       [](const Member& member) { return member.state == MemberState::kLive; });
  });
}

Traffic Total(const std::vector<std::unique_ptr<WireNode>>& nodes) {
  Traffic total;
  for (const std::unique_ptr<WireNode>& node : nodes) {
    for (const auto& [label, traffic] : node->client->traffic()) {
      total.bytes_sent += traffic.bytes_sent;
      total.bytes_received += traffic.bytes_received;
      total.messages_sent += traffic.messages_sent;
    }
  }
  return total;
}

BOOST_AUTO_TEST_SUITE(WireTest)

// Guards against a transport and a membership that only work apart, and against exchanges that
// grow beyond the 400 bytes at which 3.6 calls/s made and as many answered use up 3 KB/s.
BOOST_AUTO_TEST_CASE(HeartbeatsOverSocketsStayWithinBudget) {
  std::vector<std::unique_ptr<WireNode>> nodes;
  std::vector<VmEntry> seeds;
  for (int i = 0; i < kInstances; ++i) {
    const std::string domain = "domain-" + std::to_string(i % 2);
    nodes.push_back(std::make_unique<WireNode>("entry-" + std::to_string(i)));
    BOOST_TEST_REQUIRE(Capture([&] { return Open(nodes.back().get(), domain); }).ok());
    VmEntry seed;
    seed.role = VmRole::kEntry;
    seed.address = PeerFixture::AddressOf(*nodes.back()->server);
    seed.domain = FailureDomainId(domain);
    seeds.push_back(seed);
  }
  for (const std::unique_ptr<WireNode>& node : nodes) {
    node->membership->SetSeeds(seeds);
    node->membership->Start();
  }
  const absl::Time deadline = absl::Now() + kBound;
  while (!AllKnowAll(nodes) && absl::Now() < deadline) {
    absl::SleepFor(absl::Milliseconds(50));
  }
  BOOST_TEST_REQUIRE(AllKnowAll(nodes));
  // Rumours of the start die out.
  absl::SleepFor(absl::Seconds(5));
  const Traffic before = Total(nodes);
  absl::SleepFor(absl::Seconds(5));
  const Traffic after = Total(nodes);
  const int64_t calls = after.messages_sent - before.messages_sent;
  BOOST_TEST_REQUIRE(calls > 0);
  const int64_t bytes =
      after.bytes_sent + after.bytes_received - before.bytes_sent - before.bytes_received;
  BOOST_TEST_MESSAGE(calls << " exchanges, " << bytes / calls << " bytes each");
  BOOST_TEST(bytes / calls <= 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
