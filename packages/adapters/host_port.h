#ifndef POMELOTRAY_ADAPTERS_HOST_PORT_H_
#define POMELOTRAY_ADAPTERS_HOST_PORT_H_

#include <optional>
#include <string>

namespace pomelotray {

// The parts of an address "<host>:<port>".
struct HostPort {
  // Without the brackets of an IPv6 address.
  std::string host;
  // From 1 to 65535.
  int port = 0;

  // Returns nullopt if the host is empty or the port is not a decimal number in range. The C
  // library's resolver would use the lower 16 bits of a larger one.
  static std::optional<HostPort> Parse(const std::string& address);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HOST_PORT_H_
