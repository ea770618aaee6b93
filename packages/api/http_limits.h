#ifndef POMELOTRAY_API_HTTP_LIMITS_H_
#define POMELOTRAY_API_HTTP_LIMITS_H_

#include <cstddef>

#include "absl/time/time.h"

namespace pomelotray {

// Limits on the memory, threads and time that HTTP clients can take up on the server.
struct HttpLimits {
  size_t max_body_bytes = 1024 * 1024;
  // Size of the request line and all headers together.
  size_t max_header_bytes = 16 * 1024;
  size_t max_path_bytes = 1024;
  // Each connection uses one thread. Connections beyond this number are refused with status 503.
  size_t max_connections = 128;
  // Maximum time that a connection stays open between requests.
  absl::Duration idle_timeout = absl::Seconds(15);
  // Maximum time to receive one whole request and to send one whole response.
  absl::Duration receive_timeout = absl::Seconds(10);
  absl::Duration send_timeout = absl::Seconds(10);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_HTTP_LIMITS_H_
