#include "api/bounded_stream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace pomelotray {
namespace {

// Interval at which an idle connection checks for a graceful stop.
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(250);
// Limits on the time and bytes spent on discarding input before a connection is closed.
constexpr absl::Duration kLingerTime = absl::Milliseconds(500);
constexpr size_t kMaxLingerBytes = 4 * 1024 * 1024;

// Extracts the IP address as text and the port.
void ReadSocketAddress(const sockaddr_storage& address, std::string* ip, int* port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    *port = ntohs(v4->sin_port);
  } else if (address.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    *port = ntohs(v6->sin6_port);
  }
  *ip = text.data();
}

}  // namespace

BoundedStream::BoundedStream(int fd, const HttpLimits& limits, const Clock* clock)
    : fd_(fd), limits_(limits), clock_(clock) {}

bool BoundedStream::Poll(int16_t events, absl::Time deadline) const {
  for (;;) {
    const absl::Duration left = deadline - clock_->Now();
    if (left <= absl::ZeroDuration()) {
      return false;
    }
    pollfd entry{fd_, events, 0};
    const int64_t wait_ms =
        std::clamp<int64_t>(absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1))), 1,
                            absl::ToInt64Milliseconds(kStopCheckInterval));
    const int ready = poll(&entry, 1, static_cast<int>(wait_ms));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool BoundedStream::WaitForRequest(const std::function<bool()>& stopping, absl::Duration grace) {
  const absl::Time start = clock_->Now();
  const absl::Time idle_end = start + limits_.idle_timeout;
  bool ready = buffer_begin_ < buffer_end_;
  while (!ready) {
    ready = Poll(POLLIN, std::min(idle_end, clock_->Now() + kStopCheckInterval));
    const absl::Time now = clock_->Now();
    if (!ready && (now >= idle_end || (stopping() && now >= start + grace))) {
      return false;
    }
  }
  request_bytes_read_ = 0;
  request_bytes_limit_ = limits_.max_header_bytes;
  header_ended_ = false;
  receive_deadline_ = clock_->Now() + limits_.receive_timeout;
  send_deadline_ = absl::InfiniteFuture();
  // poll() also reports a socket as readable when the client has closed the connection.
  return buffer_begin_ < buffer_end_ || Fill() > 0;
}

void BoundedStream::EndHeader(size_t body_bytes) {
  header_ended_ = true;
  request_bytes_limit_ = request_bytes_read_ + std::min(body_bytes, limits_.max_body_bytes);
}

ssize_t BoundedStream::Fill() {
  for (;;) {
    const ssize_t n = recv(fd_, buffer_.data(), buffer_.size(), 0);
    if (n >= 0) {
      buffer_begin_ = 0;
      buffer_end_ = static_cast<size_t>(n);
      return n;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      return -1;
    }
    if (!Poll(POLLIN, receive_deadline_)) {
      return -1;
    }
  }
}

ssize_t BoundedStream::read(char* ptr, size_t size) {
  if (request_bytes_read_ >= request_bytes_limit_ || clock_->Now() >= receive_deadline_) {
    return -1;
  }
  if (buffer_begin_ == buffer_end_) {
    const ssize_t n = Fill();
    if (n <= 0) {
      return n;
    }
  }
  const size_t n =
      std::min({size, buffer_end_ - buffer_begin_, request_bytes_limit_ - request_bytes_read_});
  std::memcpy(ptr, buffer_.data() + buffer_begin_, n);
  buffer_begin_ += n;
  request_bytes_read_ += n;
  return static_cast<ssize_t>(n);
}

ssize_t BoundedStream::write(const char* ptr, size_t size) {
  if (send_deadline_ == absl::InfiniteFuture()) {
    send_deadline_ = clock_->Now() + limits_.send_timeout;
  }
  size_t sent = 0;
  while (sent < size) {
    const ssize_t n = send(fd_, ptr + sent, size - sent, MSG_NOSIGNAL);
    if (n >= 0) {
      sent += static_cast<size_t>(n);
    } else if ((errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) ||
               !Poll(POLLOUT, send_deadline_)) {
      return -1;
    }
  }
  return static_cast<ssize_t>(sent);
}

void BoundedStream::LingerBeforeClose() {
  shutdown(fd_, SHUT_WR);
  const absl::Time end = clock_->Now() + kLingerTime;
  size_t discarded = 0;
  while (discarded < kMaxLingerBytes && Poll(POLLIN, end)) {
    const ssize_t n = recv(fd_, buffer_.data(), buffer_.size(), 0);
    if (n <= 0) {
      return;
    }
    discarded += static_cast<size_t>(n);
  }
}

bool BoundedStream::is_readable() const {
  pollfd entry{fd_, POLLIN, 0};
  return buffer_begin_ < buffer_end_ || poll(&entry, 1, 0) > 0;
}

bool BoundedStream::is_writable() const {
  return Poll(POLLOUT, std::min(send_deadline_, clock_->Now() + limits_.send_timeout));
}

void BoundedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getpeername(fd_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
    ReadSocketAddress(address, &ip, &port);
  }
}

void BoundedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
    ReadSocketAddress(address, &ip, &port);
  }
}

}  // namespace pomelotray
