#include "adapters/host_port.h"

#include "absl/strings/numbers.h"

namespace pomelotray {
namespace {

constexpr int kMaxPort = 65'535;

}  // namespace

std::optional<HostPort> HostPort::Parse(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  HostPort result;
  const std::string port = address.substr(colon + 1);
  if (port.find_first_not_of("0123456789") != std::string::npos ||
      !absl::SimpleAtoi(port, &result.port) || result.port < 1 || result.port > kMaxPort) {
    return std::nullopt;
  }
  result.host = address.substr(0, colon);
  if (result.host.size() > 2 && result.host.front() == '[' && result.host.back() == ']') {
    result.host = result.host.substr(1, result.host.size() - 2);
  }
  return result;
}

}  // namespace pomelotray
