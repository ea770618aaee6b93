#ifndef POMELOTRAY_BASE_SOCKET_ADDRESS_H_
#define POMELOTRAY_BASE_SOCKET_ADDRESS_H_

#include <optional>
#include <string>
#include <string_view>

namespace pomelotray {

// An IP number and a port, written "127.0.0.1:8080" or "[::1]:8080".
struct SocketAddress {
  // Without brackets.
  std::string ip;
  int port = 0;

  // Accepts IP numbers only, never names.
  static std::optional<SocketAddress> Parse(std::string_view text);
  std::string ToString() const;
  bool IsLoopback() const;
};

// True for 127.0.0.0/8, ::1 and IPv4-mapped loopback numbers.
bool IsLoopbackIp(const std::string& ip);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_SOCKET_ADDRESS_H_
