#ifndef POMELOTRAY_PEER_PEER_CONTEXT_H_
#define POMELOTRAY_PEER_PEER_CONTEXT_H_

#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "peer/http2_session.h"
#include "peer/peer_limits.h"
#include "peer/traffic_counters.h"

namespace pomelotray {

// What all connections of one server or client share.
struct PeerContext {
  InstanceId self;
  std::string key;
  HybridClock* hybrid_clock = nullptr;
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
  LinkClassifier classify = [](const std::string&) { return LinkClass::kDomain; };
  PeerLimits limits;
  TrafficCounters counters;
  BodyBudget budget;
};

// Longest sleep of a connection's thread. Deadlines are read from Clock, which a test may advance
// while the thread polls in real time.
inline constexpr absl::Duration kMaxPoll = absl::Seconds(1);

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_PEER_CONTEXT_H_
