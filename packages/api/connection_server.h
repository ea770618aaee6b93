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

// Accepts TCP connections and serves each on a thread of its own, up to a limit. Threads are
// started when they are needed and kept until Stop(). When no thread can be started, connections
// wait for those that exist, or are refused if there are none.
class ConnectionServer {
 public:
  using Handler = std::function<void(int fd)>;

  // `serve` runs on a connection's thread until the connection ends. `refuse` runs on the accepting
  // thread for each connection beyond `max_connections` and must not block. Both leave `fd` open.
  ConnectionServer(size_t max_connections, Handler serve, Handler refuse);
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;

  Result<void> Start(const SocketAddress& address);
  // The port that was bound, after Start().
  int port() const { return port_; }

  // True when nearly all threads are busy: idle connections should end.
  bool IsCrowded() const;

  // Stops accepting, then waits for the connections in progress.
  void Stop();

 private:
  void AcceptLoop();
  void Dispatch(int fd);
  void ConnectionLoop();
  // A thread will take up the newest waiting connection.
  bool HasThreadForAll() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const size_t max_connections_;
  const Handler serve_;
  const Handler refuse_;
  int listener_ = -1;
  // Ends the accepting thread's wait.
  int wake_ = -1;
  int port_ = 0;
  std::thread accept_thread_;
  std::atomic<bool> stopping_{false};

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  std::deque<int> waiting_ ABSL_GUARDED_BY(mutex_);
  // Connections that are waiting or being served.
  size_t open_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_CONNECTION_SERVER_H_
