#include "peer/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pomelotray {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(500);
constexpr absl::Duration kOwnDomainInterval = absl::Seconds(1);
constexpr absl::Duration kForeignInterval = absl::Seconds(2);
constexpr size_t kForeignPerInterval = 2;
// Suspicions of others that are verified per interval, on top of the random contacts.
constexpr size_t kVerifiedPerInterval = 2;
// Two heartbeats fit between silence and suspicion even if one call times out.
constexpr absl::Duration kCallTimeout = absl::Seconds(1);
// A failing peer is called at the usual interval until it counts as dead; then the wait doubles.
constexpr int kFailuresBeforeBackoff = 10;
constexpr absl::Duration kMaxBackoff = absl::Seconds(30);
// A later tick means that this process was paused, so the others' silence proves nothing.
constexpr absl::Duration kPauseThreshold = absl::Seconds(2);

absl::Duration Backoff(int failures, absl::Duration interval) {
  const int doublings = std::clamp(failures - kFailuresBeforeBackoff, 0, 5);
  return std::min(kMaxBackoff, interval * (1 << doublings));
}

}  // namespace

Membership::Membership(Settings settings)
    : settings_(std::move(settings)), table_(settings_.self, settings_.events) {}

Membership::~Membership() { Stop(); }

void Membership::Start() {
  callers_ = std::make_unique<WorkerPool>(settings_.call_threads, MemberTable::kMaxMembers);
  scheduler_ = std::thread([this] { Schedule(); });
}

void Membership::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (scheduler_.joinable()) {
    scheduler_.join();
  }
  if (callers_ != nullptr) {
    callers_->Stop();
  }
}

void Membership::AnnounceLeaving() {
  absl::MutexLock lock(&mutex_);
  table_.SetLeaving();
  for (auto& [address, contact] : contacts_) {
    contact.next = absl::InfinitePast();
  }
  next_foreign_ = absl::InfinitePast();
  hurry_ = true;
  changed_.SignalAll();
}

void Membership::SetSeeds(const std::vector<VmEntry>& seeds) {
  absl::MutexLock lock(&mutex_);
  seeds_.clear();
  for (const VmEntry& seed : seeds) {
    if (seed.role == VmRole::kEntry && !seed.leaving &&
        seed.address != settings_.self.peer_address) {
      seeds_[seed.address] = seed.domain;
    }
  }
}

void Membership::Schedule() {
  absl::Time scheduled = settings_.clock->Now();
  while (true) {
    const absl::Time now = settings_.clock->Now();
    if (now - scheduled > kPauseThreshold) {
      absl::MutexLock lock(&mutex_);
      table_.ForgivePause(now - scheduled);
      scheduled = now;
    }
    Tick(now, scheduled);
    scheduled += kTick;
    absl::MutexLock lock(&mutex_);
    while (!stopping_ && !hurry_ && settings_.clock->Now() < scheduled) {
      settings_.clock->WaitUntil(&changed_, &mutex_, scheduled);
    }
    if (stopping_) {
      return;
    }
    if (hurry_) {
      hurry_ = false;
      scheduled = std::min(scheduled, settings_.clock->Now());
    }
  }
}

void Membership::Tick(absl::Time now, absl::Time scheduled) {
  RefreshSelf();
  std::vector<std::string> targets;
  {
    absl::MutexLock lock(&mutex_);
    table_.Sweep(now);
    ForgetContacts();
    targets = ChooseTargets(now);
  }
  for (const std::string& address : targets) {
    Dispatch(address, scheduled);
  }
}

void Membership::RefreshSelf() {
  const Revision revision = settings_.revision();
  std::vector<ShardId> shards = settings_.shards();
  absl::MutexLock lock(&mutex_);
  table_.UpdateSelf(revision, std::move(shards));
}

std::vector<std::string> Membership::ChooseTargets(absl::Time now) {
  const FailureDomainId& own = settings_.self.domain;
  const std::vector<Member> members = table_.Others();
  std::set<std::string> near;
  for (const Member& member : members) {
    if (member.domain == own) {
      near.insert(member.peer_address);
    }
  }
  for (const auto& [address, domain] : seeds_) {
    if (domain == own) {
      near.insert(address);
    }
  }
  std::vector<std::string> targets;
  for (const std::string& address : near) {
    if (IsDue(address, now)) {
      targets.push_back(address);
    }
  }
  if (now >= next_foreign_) {
    next_foreign_ = std::max(next_foreign_ + kForeignInterval, now + kForeignInterval - kTick);
    ChooseForeign(now, members, &targets);
  }
  return targets;
}

void Membership::ChooseForeign(absl::Time now, const std::vector<Member>& members,
                               std::vector<std::string>* targets) {
  const FailureDomainId& own = settings_.self.domain;
  std::set<std::string> known;
  std::vector<std::string> healthy;
  // Failing members are called on top of the random ones, so that they do not take their turns.
  std::vector<std::string> doubtful;
  for (const std::string& address : table_.TakeAddressesToVerify()) {
    doubtful.push_back(address);
  }
  for (const Member& member : members) {
    known.insert(member.peer_address);
    if (member.domain != own && IsDue(member.peer_address, now)) {
      const bool failing = contacts_[member.peer_address].failures > 0;
      (failing || member.state == MemberState::kDead ? doubtful : healthy)
          .push_back(member.peer_address);
    }
  }
  for (const auto& [address, domain] : seeds_) {
    if (domain != own && known.count(address) == 0 && IsDue(address, now)) {
      (contacts_[address].failures > 0 ? doubtful : healthy).push_back(address);
    }
  }
  std::shuffle(healthy.begin(), healthy.end(), random_);
  std::shuffle(doubtful.begin(), doubtful.end(), random_);
  healthy.resize(std::min(healthy.size(), kForeignPerInterval));
  doubtful.resize(std::min(doubtful.size(), kVerifiedPerInterval));
  std::set<std::string> chosen(healthy.begin(), healthy.end());
  chosen.insert(doubtful.begin(), doubtful.end());
  targets->insert(targets->end(), chosen.begin(), chosen.end());
}

bool Membership::IsDue(const std::string& address, absl::Time now) {
  if (address.empty() || address == settings_.self.peer_address) {
    return false;
  }
  const Contact& contact = contacts_[address];
  return !contact.in_flight && now >= contact.next;
}

void Membership::ForgetContacts() {
  std::set<std::string> wanted;
  for (const Member& member : table_.Others()) {
    wanted.insert(member.peer_address);
  }
  for (auto it = contacts_.begin(); it != contacts_.end();) {
    const bool keep =
        it->second.in_flight || wanted.count(it->first) > 0 || seeds_.count(it->first) > 0;
    it = keep ? std::next(it) : contacts_.erase(it);
  }
}

void Membership::Dispatch(const std::string& address, absl::Time scheduled) {
  {
    absl::MutexLock lock(&mutex_);
    Contact& contact = contacts_[address];
    if (contact.in_flight) {
      return;
    }
    contact.in_flight = true;
    contact.next = scheduled + Backoff(contact.failures, kOwnDomainInterval);
  }
  if (!callers_->TrySubmit([this, address] { Exchange(address); })) {
    absl::MutexLock lock(&mutex_);
    contacts_[address].in_flight = false;
  }
}

void Membership::Exchange(const std::string& address) {
  nlohmann::json request;
  {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      contacts_[address].in_flight = false;
      return;
    }
    request = EncodeHeartbeat(table_.Compose(table_.IdAt(address).value_or(InstanceId())));
  }
  const Outcome<nlohmann::json> reply =
      Capture([&] { return settings_.port->Call(address, "heartbeat", request, kCallTimeout); });
  const std::optional<Heartbeat> heartbeat =
      reply.ok() ? DecodeHeartbeat(reply.value()) : std::nullopt;
  std::optional<Member> sender;
  {
    absl::MutexLock lock(&mutex_);
    FinishContact(address, heartbeat.has_value());
    if (heartbeat.has_value()) {
      table_.RecordAnswer(address, heartbeat->sender, settings_.clock->Now());
      sender = table_.Apply(*heartbeat, settings_.clock->Now());
    }
  }
  CompareRevision(sender);
}

void Membership::FinishContact(const std::string& address, bool answered) {
  Contact& contact = contacts_[address];
  contact.in_flight = false;
  if (answered) {
    contact.failures = 0;
    return;
  }
  ++contact.failures;
  table_.RecordFailure(address, settings_.clock->Now());
}

Result<nlohmann::json> Membership::HandleHeartbeat(const nlohmann::json& body) {
  const std::optional<Heartbeat> heartbeat = DecodeHeartbeat(body);
  if (!heartbeat.has_value()) {
    return Fail(ErrorKind::kInvalidArgument,
                "The heartbeat is malformed; check that both instances run compatible versions.");
  }
  RefreshSelf();
  const std::optional<Member> sender = Receive(*heartbeat);
  CompareRevision(sender);
  absl::MutexLock lock(&mutex_);
  return EncodeHeartbeat(table_.Compose(heartbeat->sender));
}

std::optional<Member> Membership::Receive(const Heartbeat& heartbeat) {
  absl::MutexLock lock(&mutex_);
  return table_.Apply(heartbeat, settings_.clock->Now());
}

void Membership::CompareRevision(const std::optional<Member>& sender) {
  if (sender.has_value() && settings_.revision() < sender->configuration_revision) {
    settings_.on_higher_revision(*sender);
  }
}

std::vector<Member> Membership::Members() const {
  absl::MutexLock lock(&mutex_);
  std::vector<Member> members = table_.Others();
  members.push_back(table_.self());
  members.back().last_heard = settings_.clock->Now();
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  return members;
}

std::vector<Member> Membership::LiveInDomain(const FailureDomainId& domain) const {
  std::vector<Member> live = Members();
  live.erase(std::remove_if(live.begin(), live.end(),
                            [&domain](const Member& member) {
                              return member.domain != domain || member.state != MemberState::kLive;
                            }),
             live.end());
  return live;
}

std::optional<Member> Membership::OwnerOf(const ShardId& shard) const {
  std::optional<Member> owner;
  for (const Member& member : Members()) {
    const std::vector<ShardId>& shards = member.owned_shards;
    if (member.state == MemberState::kDead ||
        std::find(shards.begin(), shards.end(), shard) == shards.end()) {
      continue;
    }
    // While two claim it, prefer one that answers, then the one heard last.
    const auto rank = [](const Member& candidate) {
      return std::make_pair(candidate.state == MemberState::kLive, candidate.last_heard);
    };
    if (!owner.has_value() || rank(*owner) < rank(member)) {
      owner = member;
    }
  }
  return owner;
}

Membership::Builder& Membership::Builder::Identity(InstanceId id, RegionId region,
                                                   FailureDomainId domain) {
  settings_.self.id = std::move(id);
  settings_.self.region = std::move(region);
  settings_.self.domain = std::move(domain);
  return *this;
}
Membership::Builder& Membership::Builder::Addresses(std::string peer_address,
                                                    std::string api_address) {
  settings_.self.peer_address = std::move(peer_address);
  settings_.self.api_address = std::move(api_address);
  return *this;
}
Membership::Builder& Membership::Builder::Incarnation(int64_t incarnation) {
  settings_.self.incarnation = incarnation;
  return *this;
}
Membership::Builder& Membership::Builder::Port(PeerPort* port) {
  settings_.port = port;
  return *this;
}
Membership::Builder& Membership::Builder::Time(const Clock* clock) {
  settings_.clock = clock;
  return *this;
}
Membership::Builder& Membership::Builder::Events(EventLog* events) {
  settings_.events = events;
  return *this;
}
Membership::Builder& Membership::Builder::ConfigurationRevision(std::function<Revision()> source) {
  settings_.revision = std::move(source);
  return *this;
}
Membership::Builder& Membership::Builder::OwnedShards(
    std::function<std::vector<ShardId>()> source) {
  settings_.shards = std::move(source);
  return *this;
}
Membership::Builder& Membership::Builder::OnHigherRevision(
    std::function<void(const Member&)> callback) {
  settings_.on_higher_revision = std::move(callback);
  return *this;
}
Membership::Builder& Membership::Builder::CallThreads(size_t threads) {
  settings_.call_threads = threads;
  return *this;
}

Result<std::unique_ptr<Membership>> Membership::Builder::Build() {
  const Member& self = settings_.self;
  if (self.id.empty() || self.domain.empty() || self.peer_address.empty() || self.incarnation < 0 ||
      settings_.port == nullptr || settings_.clock == nullptr || settings_.events == nullptr) {
    return Fail(ErrorKind::kInvalidArgument,
                "Membership needs an id, a domain, a peer address, an incarnation of at least 0, a "
                "peer port, a clock and an event log; set them on its builder.");
  }
  return std::unique_ptr<Membership>(new Membership(settings_));
}

}  // namespace pomelotray
