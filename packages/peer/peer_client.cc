#include "peer/peer_client.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/start_thread.h"

namespace pomelotray {
namespace {

// Room for the envelope within the receiver's limit on DATA bytes.
constexpr int64_t kEnvelopeRoom = 64;
// One try and, for calls that certainly were not processed, one more each for a connection that the
// peer was closing and for a stale time stamp.
constexpr int kMaxTries = 3;

uint32_t ToMilliseconds(absl::Duration duration) {
  const int64_t ms = absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, std::numeric_limits<uint32_t>::max()));
}

}  // namespace

PeerClient::~PeerClient() { Stop(); }

Result<nlohmann::json> PeerClient::Call(const std::string& address, const std::string& method,
                                        const nlohmann::json& body, absl::Duration timeout) {
  const std::string payload = EncodeBody(body);
  if (static_cast<int64_t>(payload.size()) + kEnvelopeRoom > context_.limits.max_body_bytes) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The body of the peer call ", method, " is larger than ",
                             context_.limits.max_body_bytes, " bytes; send less at once."));
  }
  const absl::Time deadline = context_.clock->Now() + timeout;
  for (int tries = 1;; ++tries) {
    if (context_.clock->Now() >= deadline) {
      return Fail(ErrorKind::kDeadlineExceeded,
                  absl::StrCat("The timeout of the peer call ", method,
                               " passed before it was sent; retry with a longer timeout."));
    }
    BOOST_LEAF_AUTO(acquired, Acquire(address));
    bool stale = false;
    const Outcome<nlohmann::json> outcome = Capture(
        [&] { return Exchange(acquired.connection.get(), method, payload, deadline, &stale); });
    const bool closed = !outcome.ok() && acquired.reused && !acquired.connection->usable() &&
                        outcome.error().kind == ErrorKind::kUnavailable;
    if (tries < kMaxTries && (stale || closed)) {
      continue;
    }
    return outcome.ToResult();
  }
}

void PeerClient::Stop() {
  std::vector<Entry> entries;
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
    entries.swap(retired_);
    for (auto& [address, entry] : connections_) {
      entries.push_back(std::move(entry));
    }
    connections_.clear();
  }
  for (Entry& entry : entries) {
    entry.connection->Abort();
    entry.thread.join();
  }
}

size_t PeerClient::open_connections() const {
  absl::MutexLock lock(&mutex_);
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& item) { return !item.second.connection->finished(); }));
}

Result<PeerClient::Acquired> PeerClient::Acquire(const std::string& address) {
  absl::MutexLock lock(&mutex_);
  if (stopped_) {
    return Fail(ErrorKind::kUnavailable, "This instance is stopping and calls no peer.");
  }
  Reap();
  const auto it = connections_.find(address);
  if (it != connections_.end()) {
    if (it->second.connection->usable()) {
      return Acquired{it->second.connection, true};
    }
    it->second.connection->Retire();
    retired_.push_back(std::move(it->second));
    connections_.erase(it);
  }
  if (connections_.size() + retired_.size() >= context_.limits.max_connections) {
    return Fail(ErrorKind::kUnavailable,
                absl::StrCat("There are already ", context_.limits.max_connections,
                             " connections to peers; the call was not sent, retry it later."),
                context_.limits.connect_timeout);
  }
  const std::shared_ptr<ClientConnection> connection =
      std::make_shared<ClientConnection>(&context_, address);
  BOOST_LEAF_AUTO(thread, StartThread([connection] { connection->Run(); }));
  connections_[address] = Entry{connection, std::move(thread)};
  return Acquired{connection, false};
}

void PeerClient::Reap() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (it->second.connection->finished()) {
      it->second.thread.join();
      it = connections_.erase(it);
    } else {
      ++it;
    }
  }
  const auto first_finished =
      std::partition(retired_.begin(), retired_.end(),
                     [](const Entry& entry) { return !entry.connection->finished(); });
  for (auto it = first_finished; it != retired_.end(); ++it) {
    it->thread.join();
  }
  retired_.erase(first_finished, retired_.end());
}

Result<nlohmann::json> PeerClient::Exchange(ClientConnection* connection, const std::string& method,
                                            const std::string& payload, absl::Time deadline,
                                            bool* stale) {
  CallEnvelope call;
  call.method = method;
  call.sender = context_.self.value();
  call.time = context_.hybrid_clock->Tick();
  call.timeout_ms = ToMilliseconds(deadline - context_.clock->Now());
  call.nonce = RandomNonce();
  call.payload = payload;
  const Outcome<Http2Message> reply =
      connection->Exchange(method, EncodeCall(context_.key, call), deadline);
  BOOST_LEAF_AUTO(message, reply.ToResult());
  return ReadReply(message, call.nonce, stale);
}

Result<nlohmann::json> PeerClient::ReadReply(const Http2Message& message, const std::string& nonce,
                                             bool* stale) {
  if (message.status == kStatusUnauthenticated) {
    return Fail(ErrorKind::kUnauthenticated,
                "The peer did not accept the proof of the shared key; set the same --peer-key on "
                "all instances.");
  }
  const std::optional<ReplyEnvelope> reply = DecodeReply(context_.key, nonce, message.body);
  if (!reply.has_value()) {
    context_.events->Record(EventCode::kPeerAuthenticationFailed).With("message", "reply").Emit();
    return Fail(ErrorKind::kOutcomeUnknown,
                "The peer's reply did not prove the shared key; the call may have been processed.");
  }
  context_.hybrid_clock->Observe(reply->time);
  if (reply->kind == ReplyKind::kStale) {
    *stale = true;
    return Fail(ErrorKind::kUnavailable,
                "The peer found the call's time stamp too old and did not process it; retry it.");
  }
  if (reply->kind == ReplyKind::kError) {
    const std::optional<Error> error = DecodeError(reply->payload);
    return Fail(error.value_or(Error{ErrorKind::kInternal,
                                     "The peer answered with an error that this version does not "
                                     "know; run the same version on all instances.",
                                     std::nullopt}));
  }
  std::optional<nlohmann::json> body = DecodeBody(reply->payload);
  if (!body.has_value()) {
    return Fail(ErrorKind::kOutcomeUnknown,
                "The peer's reply is not a MessagePack value; the call has been processed.");
  }
  return *std::move(body);
}

PeerClient::Builder& PeerClient::Builder::Instance(InstanceId id) {
  self_ = std::move(id);
  return *this;
}
PeerClient::Builder& PeerClient::Builder::SharedKey(std::string key) {
  key_ = std::move(key);
  return *this;
}
PeerClient::Builder& PeerClient::Builder::Time(HybridClock* hybrid_clock, const Clock* clock) {
  hybrid_clock_ = hybrid_clock;
  clock_ = clock;
  return *this;
}
PeerClient::Builder& PeerClient::Builder::Events(EventLog* events) {
  events_ = events;
  return *this;
}
PeerClient::Builder& PeerClient::Builder::Classifier(LinkClassifier classifier) {
  classifier_ = std::move(classifier);
  return *this;
}
PeerClient::Builder& PeerClient::Builder::Limits(const PeerLimits& limits) {
  limits_ = limits;
  return *this;
}

Result<std::unique_ptr<PeerClient>> PeerClient::Builder::Build() {
  if (self_.empty() || hybrid_clock_ == nullptr || clock_ == nullptr || events_ == nullptr) {
    return Fail(ErrorKind::kInvalidArgument,
                "A peer client needs an instance id, clocks and an event log; set them on its "
                "builder.");
  }
  std::unique_ptr<PeerClient> client(new PeerClient);
  client->context_.self = self_;
  client->context_.key = key_;
  client->context_.hybrid_clock = hybrid_clock_;
  client->context_.clock = clock_;
  client->context_.events = events_;
  if (classifier_) {
    client->context_.classify = classifier_;
  }
  client->context_.limits = limits_;
  client->context_.budget.SetLimit(limits_.max_buffered_bytes);
  return client;
}

}  // namespace pomelotray
