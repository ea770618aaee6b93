#ifndef POMELOTRAY_API_HTTP_LIMITS_H_
#define POMELOTRAY_API_HTTP_LIMITS_H_

#include <cstddef>

#include "absl/time/time.h"

namespace pomelotray {

// Bounds on what one HTTP client can make the server hold.
struct HttpLimits {
  size_t max_body_bytes = 1024 * 1024;
  // Request line and all headers.
  size_t max_header_bytes = 16 * 1024;
  size_t max_path_bytes = 1024;
  // Each connection has a thread. Clients beyond this number are refused at once.
  size_t max_connections = 128;
  // How long a connection may stay open without a request.
  absl::Duration idle_timeout = absl::Seconds(15);
  // How long the client may take to send one whole request, and to read one whole answer.
  absl::Duration receive_timeout = absl::Seconds(10);
  absl::Duration send_timeout = absl::Seconds(10);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_HTTP_LIMITS_H_
