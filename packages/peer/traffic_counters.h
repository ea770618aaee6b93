#ifndef POMELOTRAY_PEER_TRAFFIC_COUNTERS_H_
#define POMELOTRAY_PEER_TRAFFIC_COUNTERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Tells how far away an address is. A server asks with the remote end of a connection, whose port
// is the caller's ephemeral one, so only the IP number may be relied upon.
using LinkClassifier = std::function<LinkClass(const std::string& address)>;

// Bytes include HTTP/2 framing and headers, but not TCP and IP.
struct Traffic {
  int64_t bytes_sent = 0;
  int64_t bytes_received = 0;
  int64_t messages_sent = 0;
  int64_t messages_received = 0;
};

// Counts traffic by method and link class. Frames that belong to no call count as the method
// "connection"; methods outside the protocol count as "other", which bounds the number of labels.
class TrafficCounters {
 public:
  using Snapshot = std::map<std::pair<std::string, LinkClass>, Traffic>;

  void AddSent(std::string_view method, LinkClass link, int64_t bytes, int64_t messages);
  void AddReceived(std::string_view method, LinkClass link, int64_t bytes, int64_t messages);
  Snapshot Read() const;

 private:
  Traffic& Entry(std::string_view method, LinkClass link) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  Snapshot traffic_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_TRAFFIC_COUNTERS_H_
