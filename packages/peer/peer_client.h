#ifndef POMELOTRAY_PEER_PEER_CLIENT_H_
#define POMELOTRAY_PEER_PEER_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "peer/client_connection.h"
#include "peer/message_codec.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Calls other instances over HTTP/2: one connection per address, opened by the first call and
// closed when idle. Thread-safe.
class PeerClient : public PeerPort {
 public:
  class Builder;

  ~PeerClient() override;
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  Result<nlohmann::json> Call(const std::string& address, const std::string& method,
                              const nlohmann::json& body, absl::Duration timeout) override;
  // Fails the calls in flight and joins all threads. Later calls fail as kUnavailable.
  void Stop();

  TrafficCounters::Snapshot traffic() const { return context_.counters.Read(); }
  size_t open_connections() const;

 private:
  struct Entry {
    std::shared_ptr<ClientConnection> connection;
    std::thread thread;
  };
  struct Acquired {
    std::shared_ptr<ClientConnection> connection;
    bool reused = false;
  };

  PeerClient() = default;
  Result<Acquired> Acquire(const std::string& address);
  // One try; sets `stale` when the peer asks for a newer time stamp.
  Result<nlohmann::json> Exchange(ClientConnection* connection, const std::string& method,
                                  const std::string& payload, absl::Time deadline, bool* stale);
  Result<nlohmann::json> ReadReply(const Http2Message& message, const std::string& nonce,
                                   bool* stale);
  void Reap() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  PeerContext context_;
  mutable absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<std::string, Entry> connections_ ABSL_GUARDED_BY(mutex_);
  // Replaced connections that still finish their calls.
  std::vector<Entry> retired_ ABSL_GUARDED_BY(mutex_);
};

// Required: instance, both clocks and event log.
class PeerClient::Builder {
 public:
  Builder& Instance(InstanceId id);
  Builder& SharedKey(std::string key);
  Builder& Time(HybridClock* hybrid_clock, const Clock* clock);
  Builder& Events(EventLog* events);
  Builder& Classifier(LinkClassifier classifier);
  Builder& Limits(const PeerLimits& limits);
  Result<std::unique_ptr<PeerClient>> Build();

 private:
  InstanceId self_;
  std::string key_;
  HybridClock* hybrid_clock_ = nullptr;
  const Clock* clock_ = nullptr;
  EventLog* events_ = nullptr;
  LinkClassifier classifier_;
  PeerLimits limits_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_PEER_CLIENT_H_
