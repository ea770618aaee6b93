#include "api/connection_server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/start_thread.h"

namespace pomelotray {
namespace {

constexpr int kBacklog = 256;
// Delay before the next accept() when the process is out of file descriptors or socket memory, so
// that the accept thread does not spin.
constexpr int kAcceptRetryDelayMs = 50;

// Converts `address` to a socket address in `storage` and returns its length.
socklen_t FillAddress(const SocketAddress& address, sockaddr_storage* storage) {
  auto* v4 = reinterpret_cast<sockaddr_in*>(storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(static_cast<uint16_t>(address.port));
    return sizeof(sockaddr_in);
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(storage);
  inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(static_cast<uint16_t>(address.port));
  return sizeof(sockaddr_in6);
}

int BoundPort(int fd) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.ss_family == AF_INET ? reinterpret_cast<sockaddr_in*>(&address)->sin_port
                                            : reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
}

}  // namespace

ConnectionServer::ConnectionServer(size_t max_connections, Handler serve, Handler refuse)
    : max_connections_(max_connections), serve_(std::move(serve)), refuse_(std::move(refuse)) {}

ConnectionServer::~ConnectionServer() { Stop(); }

Result<void> ConnectionServer::Start(const SocketAddress& address) {
  sockaddr_storage storage{};
  const socklen_t length = FillAddress(address, &storage);
  const int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 || listen(fd, kBacklog) != 0) {
    const int error = errno;
    if (fd >= 0) {
      close(fd);
    }
    return Fail(ErrorKind::kUnavailable,
                absl::StrCat("Listening on ", address.ToString(), " failed: ",
                             std::strerror(error),  // NOLINT(concurrency-mt-unsafe)
                             "; choose a free local address with --listen-address."));
  }
  wake_event_fd_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (wake_event_fd_ < 0) {
    close(fd);
    return Fail(ErrorKind::kUnavailable,
                "Creating the eventfd of the listener failed; raise the limit on open files of the "
                "process.");
  }
  listen_fd_ = fd;
  port_ = BoundPort(fd);
  accept_thread_ = std::thread([this] { AcceptLoop(); });
  return {};
}

void ConnectionServer::AcceptLoop() {
  while (!stopping_) {
    std::array<pollfd, 2> entries{pollfd{listen_fd_, POLLIN, 0}, pollfd{wake_event_fd_, POLLIN, 0}};
    if (poll(entries.data(), entries.size(), -1) <= 0 || entries[0].revents == 0) {
      continue;
    }
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd >= 0) {
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      Dispatch(fd);
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS) {
      poll(nullptr, 0, kAcceptRetryDelayMs);
    }
  }
}

void ConnectionServer::Dispatch(int fd) {
  {
    absl::MutexLock lock(&mutex_);
    if (open_connections_ < max_connections_) {
      ++open_connections_;
      if (EnsureThreadAvailable()) {
        queued_fds_.push_back(fd);
        queue_changed_.Signal();
        return;
      }
      --open_connections_;
    }
  }
  refuse_(fd);
  close(fd);
}

bool ConnectionServer::EnsureThreadAvailable() {
  if (threads_.size() < open_connections_) {
    Outcome<std::thread> thread =
        Capture([this] { return StartThread([this] { ConnectionLoop(); }); });
    if (thread.ok()) {
      threads_.push_back(std::move(thread.value()));
    }
  }
  return !threads_.empty();
}

void ConnectionServer::ConnectionLoop() {
  for (;;) {
    int fd = -1;
    {
      absl::MutexLock lock(&mutex_);
      while (queued_fds_.empty() && !stopping_) {
        queue_changed_.Wait(&mutex_);
      }
      if (queued_fds_.empty()) {
        return;
      }
      fd = queued_fds_.front();
      queued_fds_.pop_front();
    }
    serve_(fd);
    close(fd);
    absl::MutexLock lock(&mutex_);
    --open_connections_;
  }
}

bool ConnectionServer::IsNearConnectionLimit() const {
  absl::MutexLock lock(&mutex_);
  return open_connections_ * 4 >= max_connections_ * 3;
}

void ConnectionServer::Stop() {
  stopping_ = true;
  if (wake_event_fd_ >= 0) {
    const uint64_t one = 1;
    // The write fails only if the counter of the eventfd is at its maximum. The eventfd is then
    // already readable and wakes the accept thread.
    (void)!write(wake_event_fd_, &one, sizeof(one));
  }
  if (accept_thread_.joinable()) {
    accept_thread_.join();
  }
  if (listen_fd_ >= 0) {
    close(listen_fd_);
    listen_fd_ = -1;
  }
  if (wake_event_fd_ >= 0) {
    close(wake_event_fd_);
    wake_event_fd_ = -1;
  }
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    threads.swap(threads_);
    queue_changed_.SignalAll();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace pomelotray
