#ifndef POMELOTRAY_PORTS_PEER_PORT_H_
#define POMELOTRAY_PORTS_PEER_PORT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/strong_id.h"

namespace pomelotray {

// How far away another instance is; bytes are counted by it.
enum class LinkClass { kDomain, kRegion, kPaidLink };

// Calls from this instance to others. A body is any JSON value; it travels as MessagePack. Errors:
// kUnavailable when the call did not reach the peer, kOutcomeUnknown when it may have,
// kDeadlineExceeded when the timeout passed before the peer worked on it, and whatever the peer's
// handler answered.
class PeerPort {
 public:
  virtual ~PeerPort() = default;

  // `method` is the name of a message such as "heartbeat" and labels the byte counters. `timeout`
  // travels with the call; the peer stops working on it when it has passed.
  virtual Result<nlohmann::json> Call(const std::string& address, const std::string& method,
                                      const nlohmann::json& body, absl::Duration timeout) = 0;
};

// A call received from another instance.
struct PeerCall {
  InstanceId from;
  std::string method;
  nlohmann::json body;
  // When the caller stops waiting, by the local clock.
  absl::Time deadline;
};

// Answers calls from other instances. Runs on the connection's worker threads, so it may block.
using PeerHandler = std::function<Result<nlohmann::json>(const PeerCall&)>;

}  // namespace pomelotray

#endif  // POMELOTRAY_PORTS_PEER_PORT_H_
