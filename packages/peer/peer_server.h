#ifndef POMELOTRAY_PEER_PEER_SERVER_H_
#define POMELOTRAY_PEER_PEER_SERVER_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "peer/server_connection.h"

namespace pomelotray {

// Answers calls from other instances over HTTP/2. One thread accepts, one serves each connection,
// and bounded pools run the handlers.
class PeerServer {
 public:
  class Builder;

  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  int port() const { return port_; }
  // Refuses new calls, answers those in flight, and joins all threads. May be called twice.
  void Stop();

  TrafficCounters::Snapshot traffic() const { return context_.peer.counters.Read(); }
  size_t open_connections() const;
  // Bytes of incomplete and unanswered messages.
  int64_t buffered_bytes() const { return context_.peer.budget.used(); }

 private:
  struct Entry {
    std::shared_ptr<ServerConnection> connection;
    std::thread thread;
  };

  PeerServer() = default;
  void Start(FileDescriptor listener);
  void Accept();
  void AcceptOne(FileDescriptor socket, std::string remote);
  // Joins the threads of closed connections.
  void Reap() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  ServerContext context_;
  FileDescriptor listener_;
  int port_ = 0;
  WakeEvent wake_;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  mutable absl::Mutex mutex_;
  std::vector<Entry> connections_ ABSL_GUARDED_BY(mutex_);
};

// Required: listen address, instance, key, both clocks, event log and handler.
class PeerServer::Builder {
 public:
  // "ip:port"; port 0 picks a free one.
  Builder& ListenAddress(std::string address);
  Builder& Instance(InstanceId id);
  Builder& SharedKey(std::string key);
  Builder& Time(HybridClock* hybrid_clock, const Clock* clock);
  Builder& Events(EventLog* events);
  Builder& Handler(PeerHandler handler);
  Builder& Classifier(LinkClassifier classifier);
  Builder& Limits(const PeerLimits& limits);
  // Listens and starts the threads.
  Result<std::unique_ptr<PeerServer>> Build();

 private:
  std::string address_;
  InstanceId self_;
  std::string key_;
  HybridClock* hybrid_clock_ = nullptr;
  const Clock* clock_ = nullptr;
  EventLog* events_ = nullptr;
  PeerHandler handler_;
  LinkClassifier classifier_;
  PeerLimits limits_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_PEER_SERVER_H_
