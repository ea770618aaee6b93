#include "peer/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

constexpr int kListenBacklog = 128;

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

bool ParseSocketAddress(const std::string& text, SocketAddress* address) {
  const size_t colon = text.rfind(':');
  int port = -1;
  if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > 65535) {
    return false;
  }
  std::string host = text.substr(0, colon);
  sockaddr_in* const v4 = reinterpret_cast<sockaddr_in*>(&address->storage);
  sockaddr_in6* const v6 = reinterpret_cast<sockaddr_in6*>(&address->storage);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<uint16_t>(port));
    address->size = sizeof(sockaddr_in6);
    return inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1;
  }
  v4->sin_family = AF_INET;
  v4->sin_port = htons(static_cast<uint16_t>(port));
  address->size = sizeof(sockaddr_in);
  return inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1;
}

std::string FormatSocketAddress(const sockaddr_storage& storage) {
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (storage.ss_family == AF_INET6) {
    const sockaddr_in6& v6 = reinterpret_cast<const sockaddr_in6&>(storage);
    inet_ntop(AF_INET6, &v6.sin6_addr, host.data(), host.size());
    return absl::StrCat("[", host.data(), "]:", ntohs(v6.sin6_port));
  }
  const sockaddr_in& v4 = reinterpret_cast<const sockaddr_in&>(storage);
  inet_ntop(AF_INET, &v4.sin_addr, host.data(), host.size());
  return absl::StrCat(host.data(), ":", ntohs(v4.sin_port));
}

void DisableDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Error AddressError(const std::string& address) {
  return Error{ErrorKind::kInvalidArgument,
               absl::StrCat("The peer address \"", address, "\" is not of the form ip:port."),
               std::nullopt};
}

Error SystemError(const std::string& what, const std::string& address) {
  return Error{ErrorKind::kUnavailable,
               absl::StrCat("Could not ", what, " ", address, " (", std::strerror(errno),
                            "); check the address and that it is reachable."),
               std::nullopt};
}

}  // namespace

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void FileDescriptor::Close() {
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

WakeEvent::WakeEvent() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

void WakeEvent::Signal() {
  const uint64_t one = 1;
  // The only failure is a full counter, which wakes the reader as well.
  [[maybe_unused]] const ssize_t written = write(fd_.get(), &one, sizeof(one));
}

void WakeEvent::Clear() {
  uint64_t count = 0;
  [[maybe_unused]] const ssize_t consumed = read(fd_.get(), &count, sizeof(count));
}

Result<FileDescriptor> ListenOn(const std::string& address) {
  SocketAddress target;
  if (!ParseSocketAddress(address, &target)) {
    return Fail(AddressError(address));
  }
  FileDescriptor socket_fd(
      socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket_fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr* const raw = reinterpret_cast<const sockaddr*>(&target.storage);
  if (!socket_fd.valid() || bind(socket_fd.get(), raw, target.size) != 0 ||
      listen(socket_fd.get(), kListenBacklog) != 0) {
    return Fail(SystemError("listen on", address));
  }
  return socket_fd;
}

Result<FileDescriptor> BeginConnect(const std::string& address) {
  SocketAddress target;
  if (!ParseSocketAddress(address, &target)) {
    return Fail(AddressError(address));
  }
  FileDescriptor socket_fd(
      socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_fd.valid()) {
    return Fail(SystemError("open a socket for", address));
  }
  DisableDelay(socket_fd.get());
  const sockaddr* const raw = reinterpret_cast<const sockaddr*>(&target.storage);
  if (connect(socket_fd.get(), raw, target.size) != 0 && errno != EINPROGRESS) {
    return Fail(SystemError("connect to", address));
  }
  return socket_fd;
}

FileDescriptor AcceptFrom(const FileDescriptor& listener, std::string* remote) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  FileDescriptor accepted(accept4(listener.get(), reinterpret_cast<sockaddr*>(&storage), &size,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (accepted.valid()) {
    DisableDelay(accepted.get());
    *remote = FormatSocketAddress(storage);
  }
  return accepted;
}

int LocalPort(const FileDescriptor& socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (getsockname(socket.get(), reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return 0;
  }
  // The port is at the same place in both families' addresses.
  return ntohs(reinterpret_cast<const sockaddr_in&>(storage).sin_port);
}

int SocketError(const FileDescriptor& socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

Readiness WaitFor(const FileDescriptor& socket, bool read, bool write, WakeEvent* wake,
                  absl::Duration timeout) {
  std::array<pollfd, 2> fds{};
  fds[0].fd = socket.get();
  fds[0].events = static_cast<int16_t>((read ? POLLIN : 0) | (write ? POLLOUT : 0));
  fds[1].fd = wake->fd();
  fds[1].events = POLLIN;
  // Rounds up, so that a wait for less than 1 ms does not spin.
  const int64_t ms = absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1)));
  Readiness ready;
  if (poll(fds.data(), fds.size(), static_cast<int>(std::clamp<int64_t>(ms, 0, 60'000))) <= 0) {
    return ready;
  }
  ready.readable = (fds[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
  ready.writable = (fds[0].revents & (POLLOUT | POLLHUP | POLLERR)) != 0;
  ready.woken = fds[1].revents != 0;
  if (ready.woken) {
    wake->Clear();
  }
  return ready;
}

}  // namespace pomelotray
