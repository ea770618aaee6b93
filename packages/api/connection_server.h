#ifndef POMELOTRAY_API_CONNECTION_SERVER_H_
#define POMELOTRAY_API_CONNECTION_SERVER_H_

#include <atomic>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/error.h"
#include "base/socket_address.h"

namespace pomelotray {

// Accepts TCP connections and serves each on its own thread, up to a limit. Threads are started on
// demand and kept until Stop(). If a thread cannot be started, connections are queued for the
// existing threads, or refused if there are none.
class ConnectionServer {
 public:
  using Handler = std::function<void(int fd)>;

  // `serve` runs on a connection thread until the connection ends. `refuse` runs on the accept
  // thread for each connection that is not served and must not block. Neither may close `fd`.
  ConnectionServer(size_t max_connections, Handler serve, Handler refuse);
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;

  // Listens on `address` and starts the accept thread.
  Result<void> Start(const SocketAddress& address);
  // The bound port. Valid after Start().
  int port() const { return port_; }

  // Returns whether at least three quarters of the allowed connections are open. Keep-alive
  // connections should then be closed after the current response.
  bool IsNearConnectionLimit() const;

  // Stops accepting connections, then waits until all open connections have ended.
  void Stop();

 private:
  void AcceptLoop();
  void Dispatch(int fd);
  void ConnectionLoop();
  // Starts another thread if there are fewer threads than open connections. Returns whether any
  // thread exists to serve the queue.
  bool EnsureThreadAvailable() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const size_t max_connections_;
  const Handler serve_;
  const Handler refuse_;
  int listen_fd_ = -1;
  // The eventfd that wakes the accept thread on Stop().
  int wake_event_fd_ = -1;
  int port_ = 0;
  std::thread accept_thread_;
  std::atomic<bool> stopping_{false};

  mutable absl::Mutex mutex_;
  absl::CondVar queue_changed_;
  std::deque<int> queued_fds_ ABSL_GUARDED_BY(mutex_);
  // Number of connections that are queued or being served.
  size_t open_connections_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_CONNECTION_SERVER_H_
