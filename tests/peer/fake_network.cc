#include "tests/peer/fake_network.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "absl/synchronization/notification.h"
#include "peer/message_codec.h"

namespace pomelotray {
namespace {

// Real time that the instances' threads get at each step of the paused clock, and its bound while
// calls are in flight.
constexpr absl::Duration kSettle = absl::Milliseconds(4);
constexpr absl::Duration kSettleBound = absl::Seconds(10);
constexpr absl::Duration kStopPatience = absl::Milliseconds(200);
constexpr absl::Duration kStep = absl::Milliseconds(500);

}  // namespace

void FakeNetwork::Attach(const std::string& address, Membership* membership) {
  absl::MutexLock lock(&mutex_);
  receivers_[address] = membership;
}

void FakeNetwork::Detach(const std::string& address) {
  absl::MutexLock lock(&mutex_);
  receivers_.erase(address);
  while (in_flight_ > 0) {
    mutex_.AwaitWithTimeout(absl::Condition(
                                +[](int* in_flight) { return *in_flight == 0; }, &in_flight_),
                            kSettleBound);
  }
}

void FakeNetwork::SetFaults(const Faults& faults) {
  absl::MutexLock lock(&mutex_);
  faults_ = faults;
}

void FakeNetwork::Cut(const std::string& address, bool cut) {
  absl::MutexLock lock(&mutex_);
  if (cut) {
    cut_.insert(address);
  } else {
    cut_.erase(address);
  }
}

Result<nlohmann::json> FakeNetwork::Carry(const std::string& from, const std::string& to,
                                          const nlohmann::json& body) {
  bool lose_request = false;
  bool lose_reply = false;
  bool twice = false;
  std::vector<std::pair<std::string, nlohmann::json>> late;
  {
    absl::MutexLock lock(&mutex_);
    ++usage_.calls;
    Count(body);
    const bool cut = cut_.count(from) > 0 || cut_.count(to) > 0;
    lose_request = cut || Chance(faults_.lost);
    lose_reply = Chance(faults_.lost);
    twice = Chance(faults_.doubled);
    if (Chance(faults_.delayed)) {
      delayed_.emplace_back(to, body);
    }
    if (delayed_.size() > 50) {
      late.swap(delayed_);
    }
  }
  for (const auto& [address, message] : late) {
    Deliver(address, message);
  }
  if (lose_request) {
    return Fail(ErrorKind::kUnavailable, "The request was lost.");
  }
  const Outcome<nlohmann::json> reply = Deliver(to, body);
  if (twice) {
    Deliver(to, body);
  }
  if (lose_reply) {
    return Fail(ErrorKind::kOutcomeUnknown, "The reply was lost.");
  }
  return reply.ToResult();
}

Outcome<nlohmann::json> FakeNetwork::Deliver(const std::string& to, const nlohmann::json& body) {
  Membership* receiver = nullptr;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = receivers_.find(to);
    if (it == receivers_.end()) {
      return Error{ErrorKind::kUnavailable, "Nobody listens.", std::nullopt};
    }
    receiver = it->second;
    ++in_flight_;
  }
  Outcome<nlohmann::json> reply = Capture([&] { return receiver->HandleHeartbeat(body); });
  absl::MutexLock lock(&mutex_);
  --in_flight_;
  if (reply.ok()) {
    Count(reply.value());
  }
  return reply;
}

void FakeNetwork::Count(const nlohmann::json& message) {
  usage_.bytes += static_cast<int64_t>(EncodeBody(message).size());
  if (!DecodeHeartbeat(message).has_value()) {
    ++usage_.malformed;
    return;
  }
  usage_.largest_news = std::max(usage_.largest_news, EncodeBody(message[8]).size());
}

bool FakeNetwork::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

FakeNetwork::Usage FakeNetwork::TakeUsage() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(usage_, Usage());
}

bool FakeNetwork::idle() const {
  absl::MutexLock lock(&mutex_);
  return in_flight_ == 0;
}

FakeCluster::~FakeCluster() {
  for (auto& [id, node] : nodes) {
    StopInstance(node.membership.get());
  }
}

void FakeCluster::StopInstance(Membership* membership) {
  absl::Notification stopped;
  std::thread stopper([membership, &stopped] {
    membership->Stop();
    stopped.Notify();
  });
  while (!stopped.WaitForNotificationWithTimeout(kStopPatience)) {
    clock.Advance(kStep);
  }
  stopper.join();
}

void FakeCluster::Add(const std::string& id, const std::string& domain, int64_t incarnation) {
  Node node;
  node.address = "peer-of-" + id;
  node.port = std::make_unique<FakePeerPort>(&network, node.address);
  node.hybrid = std::make_unique<HybridClock>(&clock);
  node.events = std::make_unique<EventLog>(id, node.hybrid.get());
  node.revision = std::make_shared<std::atomic<int64_t>>(0);
  node.higher_revision = std::make_shared<std::atomic<int64_t>>(0);
  const Outcome<void> built = Capture([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(
        node.membership,
        Membership::Builder()
            .Identity(InstanceId(id), RegionId("sierra"), FailureDomainId(domain))
            .Addresses(node.address, "api-of-" + id)
            .Incarnation(incarnation)
            .Port(node.port.get())
            .Time(&clock)
            .Events(node.events.get())
            .ConfigurationRevision([revision = node.revision] { return Revision(*revision); })
            .OwnedShards([domain, id] {
              return std::vector<ShardId>{{FailureDomainId(domain), PoolName(id)}};
            })
            .OnHigherRevision([higher = node.higher_revision](const Member& peer) {
              *higher = peer.configuration_revision.value();
            })
            .CallThreads(2)
            .Build());
    return {};
  });
  if (!built.ok()) {
    throw std::runtime_error(built.error().message);
  }
  network.Attach(node.address, node.membership.get());
  VmEntry seed;
  seed.id = VmId(id);
  seed.role = VmRole::kEntry;
  seed.address = node.address;
  seed.domain = FailureDomainId(domain);
  seeds.push_back(seed);
  node.membership->SetSeeds(seeds);
  node.membership->Start();
  nodes[id] = std::move(node);
}

void FakeCluster::Crash(const std::string& id) {
  network.Detach(nodes[id].address);
  StopInstance(nodes[id].membership.get());
  nodes.erase(id);
}

void FakeCluster::SeedAll() {
  for (auto& [id, node] : nodes) {
    node.membership->SetSeeds(seeds);
  }
}

void FakeCluster::Settle() {
  const absl::Time bound = absl::Now() + kSettleBound;
  do {
    absl::SleepFor(kSettle);
  } while (!network.idle() && absl::Now() < bound);
}

bool FakeCluster::RunUntil(absl::Duration limit, const std::function<bool()>& done) {
  const absl::Time end = clock.Now() + limit;
  while (!done()) {
    if (clock.Now() >= end) {
      return false;
    }
    clock.Advance(kStep);
    Settle();
  }
  return true;
}

void FakeCluster::Run(absl::Duration duration) {
  RunUntil(duration, [] { return false; });
}

std::string FakeCluster::StateOf(const std::string& observer, const std::string& id) {
  for (const Member& member : nodes[observer].membership->Members()) {
    if (member.id.value() == id) {
      return MemberStateName(member.state);
    }
  }
  return "unknown";
}

bool FakeCluster::AllSee(const std::string& id, const std::string& state) {
  return std::all_of(nodes.begin(), nodes.end(), [&](const auto& item) {
    return item.first == id || StateOf(item.first, id) == state;
  });
}

bool FakeCluster::Converged() {
  return std::all_of(nodes.begin(), nodes.end(),
                     [this](const auto& item) { return AllSee(item.first, "live"); });
}

}  // namespace pomelotray
