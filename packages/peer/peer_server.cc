#include "peer/peer_server.h"

#include <algorithm>
#include <utility>

#include "base/start_thread.h"

namespace pomelotray {
namespace {

// After a failed accept, for example for want of descriptors, the next try waits this long.
constexpr absl::Duration kAcceptPause = absl::Milliseconds(10);

}  // namespace

PeerServer::~PeerServer() { Stop(); }

void PeerServer::Start(FileDescriptor listener) {
  listener_ = std::move(listener);
  port_ = LocalPort(listener_);
  const PeerLimits& limits = context_.peer.limits;
  context_.workers = std::make_unique<WorkerPool>(limits.worker_threads, limits.max_queued_calls);
  context_.heartbeat_workers =
      std::make_unique<WorkerPool>(limits.heartbeat_threads, limits.max_queued_calls);
  acceptor_ = std::thread([this] { Accept(); });
}

void PeerServer::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  wake_.Signal();
  if (acceptor_.joinable()) {
    acceptor_.join();
  }
  listener_.Close();
  std::vector<Entry> connections;
  {
    absl::MutexLock lock(&mutex_);
    connections.swap(connections_);
  }
  for (const Entry& entry : connections) {
    entry.connection->Drain(context_.peer.clock->Now() + context_.peer.limits.drain_timeout);
  }
  for (Entry& entry : connections) {
    entry.thread.join();
  }
  if (context_.workers != nullptr) {
    context_.workers->Stop();
    context_.heartbeat_workers->Stop();
  }
}

size_t PeerServer::open_connections() const {
  absl::MutexLock lock(&mutex_);
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const Entry& entry) { return !entry.connection->finished(); }));
}

void PeerServer::Accept() {
  while (!stopping_) {
    const Readiness ready = WaitFor(listener_, true, false, &wake_, kMaxPoll);
    {
      absl::MutexLock lock(&mutex_);
      Reap();
    }
    if (!ready.readable) {
      continue;
    }
    std::string remote;
    FileDescriptor socket = AcceptFrom(listener_, &remote);
    if (socket.valid()) {
      AcceptOne(std::move(socket), std::move(remote));
    } else {
      absl::SleepFor(kAcceptPause);
    }
  }
}

void PeerServer::AcceptOne(FileDescriptor socket, std::string remote) {
  absl::MutexLock lock(&mutex_);
  if (connections_.size() >= context_.peer.limits.max_connections) {
    return;
  }
  const std::shared_ptr<ServerConnection> connection =
      std::make_shared<ServerConnection>(&context_, std::move(socket), std::move(remote));
  Outcome<std::thread> thread =
      Capture([&] { return StartThread([connection] { connection->Run(); }); });
  if (thread.ok()) {
    connections_.push_back(Entry{connection, std::move(thread.value())});
  } else {
    // The caller's connection is closed before a call, so it knows that nothing was done.
    context_.peer.events->Record(EventCode::kPeerConnectionRefused)
        .With(event_field::kReason, thread.error().message)
        .Emit();
  }
}

void PeerServer::Reap() {
  const auto first_finished =
      std::partition(connections_.begin(), connections_.end(),
                     [](const Entry& entry) { return !entry.connection->finished(); });
  for (auto it = first_finished; it != connections_.end(); ++it) {
    it->thread.join();
  }
  connections_.erase(first_finished, connections_.end());
}

PeerServer::Builder& PeerServer::Builder::ListenAddress(std::string address) {
  address_ = std::move(address);
  return *this;
}
PeerServer::Builder& PeerServer::Builder::Instance(InstanceId id) {
  self_ = std::move(id);
  return *this;
}
PeerServer::Builder& PeerServer::Builder::SharedKey(std::string key) {
  key_ = std::move(key);
  return *this;
}
PeerServer::Builder& PeerServer::Builder::Time(HybridClock* hybrid_clock, const Clock* clock) {
  hybrid_clock_ = hybrid_clock;
  clock_ = clock;
  return *this;
}
PeerServer::Builder& PeerServer::Builder::Events(EventLog* events) {
  events_ = events;
  return *this;
}
PeerServer::Builder& PeerServer::Builder::Handler(PeerHandler handler) {
  handler_ = std::move(handler);
  return *this;
}
PeerServer::Builder& PeerServer::Builder::Classifier(LinkClassifier classifier) {
  classifier_ = std::move(classifier);
  return *this;
}
PeerServer::Builder& PeerServer::Builder::Limits(const PeerLimits& limits) {
  limits_ = limits;
  return *this;
}

Result<std::unique_ptr<PeerServer>> PeerServer::Builder::Build() {
  if (self_.empty() || hybrid_clock_ == nullptr || clock_ == nullptr || events_ == nullptr ||
      !handler_) {
    return Fail(ErrorKind::kInvalidArgument,
                "A peer server needs an instance id, clocks, an event log and a handler; set them "
                "on its builder.");
  }
  BOOST_LEAF_AUTO(listener, ListenOn(address_));
  std::unique_ptr<PeerServer> server(new PeerServer);
  PeerContext& peer = server->context_.peer;
  peer.self = self_;
  peer.key = key_;
  peer.hybrid_clock = hybrid_clock_;
  peer.clock = clock_;
  peer.events = events_;
  if (classifier_) {
    peer.classify = classifier_;
  }
  peer.limits = limits_;
  peer.budget.SetLimit(limits_.max_buffered_bytes);
  server->context_.handler = handler_;
  server->Start(std::move(listener));
  return server;
}

}  // namespace pomelotray
