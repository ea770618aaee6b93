#include "cell/intake/configuration_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/json_number.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// The watch counts as silent, and the information of a peer as outdated, after this time.
constexpr absl::Duration kMaxSilence = absl::Seconds(1);
constexpr absl::Duration kRoundInterval = absl::Milliseconds(500);
// Long enough to transmit a document of several hundred kilobytes over the slowest link (10
// Mbit/s).
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(500);
// Bounds the calls of one round, since in an outage for all instances no peer has current
// information. With half of the instances turned away, six rounds fail to find one of the others
// with a probability of 4 in a million.
constexpr size_t kMaxPeersPerRound = 3;

// The decoded answer of a peer.
struct PeerInformation {
  int64_t version = 0;
  absl::Duration age;
  std::optional<std::string> document;
};

Result<PeerInformation> DecodeInformation(const json& answer) {
  try {
    PeerInformation information;
    information.version = IntegerFromJson(answer.at("version"), -1, kMaxExactInteger);
    information.age = MillisFromJson(answer.at("age_ms"));
    if (answer.contains("document")) {
      information.document = answer.at("document").get<std::string>();
    }
    return information;
  } catch (const json::exception& error) {
    return Fail(
        ErrorKind::kInvalidArgument,
        std::string("The answer of a peer to a \"configuration\" call cannot be decoded (") +
            error.what() + "); check that all instances run the same version.");
  }
}

}  // namespace

ConfigurationExchange::ConfigurationExchange(InstanceId self, PeerPort* peers, const Clock* clock,
                                             EventLog* events, ListMembers list_members,
                                             ApplyDocument apply_document)
    : self_(std::move(self)),
      peers_(peers),
      clock_(clock),
      events_(events),
      list_members_(std::move(list_members)),
      apply_document_(std::move(apply_document)),
      watch_answered_at_(clock->Now()) {}

ConfigurationExchange::~ConfigurationExchange() { Stop(); }

void ConfigurationExchange::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ConfigurationExchange::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ConfigurationExchange::Run() {
  for (;;) {
    const absl::Time begin = clock_->Now();
    AskPeersIfSilent();
    absl::MutexLock lock(&mutex_);
    const absl::Time next = std::max(begin + kRoundInterval, watch_answered_at_ + kMaxSilence);
    while (!stopping_ && clock_->Now() < next) {
      clock_->WaitUntil(&changed_, &mutex_, next);
    }
    if (stopping_) {
      return;
    }
  }
}

void ConfigurationExchange::NoteWatchAnswered() {
  absl::MutexLock lock(&mutex_);
  watch_answered_at_ = clock_->Now();
  known_newest_at_ = watch_answered_at_;
}

void ConfigurationExchange::SetDocument(int64_t version, std::string document, bool asks_peers) {
  absl::MutexLock lock(&mutex_);
  if (version <= version_) {
    return;
  }
  version_ = version;
  document_ = std::move(document);
  asks_peers_ = asks_peers;
}

absl::Duration ConfigurationExchange::Age() const {
  absl::MutexLock lock(&mutex_);
  return std::max(clock_->Now() - known_newest_at_, absl::ZeroDuration());
}

int64_t ConfigurationExchange::version() const {
  absl::MutexLock lock(&mutex_);
  return version_;
}

Result<json> ConfigurationExchange::Answer(const json& body) const {
  int64_t known = 0;
  try {
    known = IntegerFromJson(body.at("version"), kNoVersion, kMaxExactInteger);
  } catch (const json::exception& error) {
    return Fail(ErrorKind::kInvalidArgument,
                std::string("A \"configuration\" call cannot be decoded (") + error.what() +
                    "); check that all instances run the same version.");
  }
  const absl::Duration age = std::min(Age(), absl::Milliseconds(kMaxJsonMillis));
  absl::MutexLock lock(&mutex_);
  json answer = {{"version", version_},
                 {"age_ms", absl::ToInt64Milliseconds(absl::Ceil(age, absl::Milliseconds(1)))}};
  if (version_ > known && !document_.empty()) {
    answer["document"] = document_;
  }
  return answer;
}

bool ConfigurationExchange::IsSilent() {
  absl::Duration silence;
  {
    absl::MutexLock lock(&mutex_);
    silence = clock_->Now() - watch_answered_at_;
    const bool was_silent = silent_;
    silent_ = asks_peers_ && silence >= kMaxSilence;
    if (!silent_ || was_silent) {
      return silent_;
    }
  }
  events_->Record(EventCode::kConfigurationWatchSilent)
      .With("version", version())
      .With("silent_ms", absl::ToInt64Milliseconds(silence))
      .Emit();
  return true;
}

std::vector<CellMember> ConfigurationExchange::Peers() const {
  // The order differs by instance, so that no peer is asked by all others at once.
  std::vector<std::pair<uint64_t, CellMember>> ranked;
  for (CellMember& member : list_members_()) {
    if (member.id != self_) {
      ranked.emplace_back(StableHash(self_.value() + "/" + member.id.value()), std::move(member));
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<CellMember> peers;
  peers.reserve(ranked.size());
  for (auto& [rank, member] : ranked) {
    peers.push_back(std::move(member));
  }
  return peers;
}

void ConfigurationExchange::AskPeersIfSilent() {
  if (!IsSilent()) {
    return;
  }
  const std::vector<CellMember> peers = Peers();
  const size_t count = std::min(peers.size(), kMaxPeersPerRound);
  for (size_t i = 0; i < count; ++i) {
    if (AskPeer(peers[next_peer_ % peers.size()])) {
      return;
    }
    ++next_peer_;
    // The answer of the store may have come meanwhile.
    if (!IsSilent()) {
      return;
    }
  }
}

bool ConfigurationExchange::AskPeer(const CellMember& peer) {
  const int64_t known = version();
  const absl::Time sent = clock_->Now();
  const Outcome<PeerInformation> answer = Capture([&]() -> Result<PeerInformation> {
    BOOST_LEAF_AUTO(
        body, peers_->Call(peer.peer_address, "configuration", {{"version", known}}, kPeerTimeout));
    return DecodeInformation(body);
  });
  if (!answer.ok()) {
    events_->Record(EventCode::kConfigurationPeerFailed)
        .With(event_field::kPeer, peer.id.value())
        .With("error", ErrorKindName(answer.error().kind))
        .With(event_field::kReason, answer.error().message)
        .Emit();
    return false;
  }
  const PeerInformation& information = answer.value();
  if (information.document.has_value()) {
    apply_document_(*information.document, peer.id);
    const int64_t applied = version();
    if (applied > known) {
      events_->Record(EventCode::kConfigurationFromPeer)
          .With("version", applied)
          .With(event_field::kPeer, peer.id.value())
          .With("age_ms", absl::ToInt64Milliseconds(information.age))
          .Emit();
    }
  }
  absl::MutexLock lock(&mutex_);
  // Nothing follows from the age of an older version, or of one that is not in effect here.
  if (information.version != version_) {
    return false;
  }
  known_newest_at_ = std::max(known_newest_at_, sent - information.age);
  return information.age < kMaxSilence;
}

}  // namespace pomelotray
