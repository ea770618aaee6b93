#ifndef POMELOTRAY_PEER_PEER_LIMITS_H_
#define POMELOTRAY_PEER_PEER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace pomelotray {

// Bounds on what one side of the peer transport holds and how long it waits.
struct PeerLimits {
  int64_t max_body_bytes = 1 << 20;
  // Bytes of incomplete and unanswered messages over all connections: half of the 32 MB that a
  // node may use for control.
  int64_t max_buffered_bytes = 16 << 20;
  // Four times the two-year size of 57 instances.
  size_t max_connections = 256;
  uint32_t max_streams_per_connection = 256;
  // Threads that run handlers. Forwarded requests block while their executor works, so there are
  // many; an idle one costs its touched stack pages only.
  size_t worker_threads = 32;
  // Heartbeats have threads of their own, so that slow handlers do not make an instance look dead.
  size_t heartbeat_threads = 2;
  size_t max_queued_calls = 512;
  absl::Duration connect_timeout = absl::Seconds(2);
  // A connection without a proven call is closed after this time.
  absl::Duration handshake_timeout = absl::Seconds(5);
  // Two instances of different domains exchange heartbeats about twice a minute. Connections that
  // are kept between these exchanges keep their header tables.
  absl::Duration client_idle_timeout = absl::Seconds(60);
  // Longer than the client's, so that the client, which knows about its next call, closes first.
  absl::Duration server_idle_timeout = absl::Seconds(90);
  // A connection on which a transfer makes no progress for this long is closed.
  absl::Duration stall_timeout = absl::Seconds(10);
  // How long a graceful stop waits for calls in flight.
  absl::Duration drain_timeout = absl::Seconds(30);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_PEER_LIMITS_H_
