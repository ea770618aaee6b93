#ifndef POMELOTRAY_PEER_SOCKET_H_
#define POMELOTRAY_PEER_SOCKET_H_

#include <string>
#include <utility>

#include "absl/time/time.h"
#include "base/error.h"

namespace pomelotray {

// Owns a file descriptor.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  ~FileDescriptor() { Close(); }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  void Close();

 private:
  int fd_ = -1;
};

// Wakes a thread that polls sockets. Thread-safe.
class WakeEvent {
 public:
  WakeEvent();
  void Signal();
  void Clear();
  int fd() const { return fd_.get(); }

 private:
  FileDescriptor fd_;
};

// What one wait on a socket saw.
struct Readiness {
  bool readable = false;
  bool writable = false;
  bool woken = false;
};

// Opens a non-blocking listener on "ip:port" or "[ip]:port"; port 0 picks a free one.
Result<FileDescriptor> ListenOn(const std::string& address);
// Begins to connect a non-blocking socket; it is connected once it is writable without a pending
// error.
Result<FileDescriptor> BeginConnect(const std::string& address);
// Takes one waiting connection; the descriptor is invalid when there is none. `remote` is its
// "ip:port".
FileDescriptor AcceptFrom(const FileDescriptor& listener, std::string* remote);
int LocalPort(const FileDescriptor& socket);
// The pending error of a socket, 0 for none.
int SocketError(const FileDescriptor& socket);

// Waits, for at most `timeout` of real time, until the socket is readable (or writable, when
// asked) or `wake` is signalled. `wake` is cleared.
Readiness WaitFor(const FileDescriptor& socket, bool read, bool write, WakeEvent* wake,
                  absl::Duration timeout);

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_SOCKET_H_
