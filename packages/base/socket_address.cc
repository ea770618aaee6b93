#include "base/socket_address.h"

#include <arpa/inet.h>

#include <cstring>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

constexpr int kMaxPort = 65'535;

bool IsIpv4(const std::string& ip) {
  in_addr number;
  return inet_pton(AF_INET, ip.c_str(), &number) == 1;
}

bool IsIpv6(const std::string& ip) {
  in6_addr number;
  return inet_pton(AF_INET6, ip.c_str(), &number) == 1;
}

}  // namespace

std::optional<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  SocketAddress address;
  address.ip = std::string(text.substr(0, colon));
  const bool bracketed =
      address.ip.size() > 2 && address.ip.front() == '[' && address.ip.back() == ']';
  if (bracketed) {
    address.ip = address.ip.substr(1, address.ip.size() - 2);
  }
  if (bracketed ? !IsIpv6(address.ip) : !IsIpv4(address.ip)) {
    return std::nullopt;
  }
  const std::string port(text.substr(colon + 1));
  if (port.find_first_not_of("0123456789") != std::string::npos ||
      !absl::SimpleAtoi(port, &address.port) || address.port > kMaxPort) {
    return std::nullopt;
  }
  return address;
}

std::string SocketAddress::ToString() const {
  return IsIpv6(ip) ? absl::StrCat("[", ip, "]:", port) : absl::StrCat(ip, ":", port);
}

bool SocketAddress::IsLoopback() const { return IsLoopbackIp(ip); }

bool IsLoopbackIp(const std::string& ip) {
  constexpr char kMappedPrefix[] = "::ffff:";
  if (absl::StartsWith(ip, kMappedPrefix)) {
    return IsLoopbackIp(ip.substr(std::strlen(kMappedPrefix)));
  }
  return ip == "::1" || (IsIpv4(ip) && absl::StartsWith(ip, "127."));
}

}  // namespace pomelotray
