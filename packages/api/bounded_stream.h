#ifndef POMELOTRAY_API_BOUNDED_STREAM_H_
#define POMELOTRAY_API_BOUNDED_STREAM_H_

#include <httplib.h>

#include <array>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "api/http_limits.h"
#include "base/clock.h"

namespace pomelotray {

// A cpp-httplib stream over the socket of one connection. cpp-httplib has a timeout for each read
// only; this stream also limits the size of a request, the time to receive a whole request and the
// time to send a whole response. `fd` must be non-blocking and is not closed.
class BoundedStream : public httplib::Stream {
 public:
  BoundedStream(int fd, const HttpLimits& limits, const Clock* clock);

  // Waits for the first byte of the next request. Returns false when the client closed the
  // connection or was idle for too long, or when `stopping` returns true and `grace` has passed.
  bool WaitForRequest(const std::function<bool()>& stopping, absl::Duration grace);
  // Must be called when all headers have been read. `body_bytes` is the size of the body that
  // follows.
  void EndHeader(size_t body_bytes);
  // Returns whether the request has been read to its declared end, so that the connection can carry
  // another request.
  bool AtRequestEnd() const { return header_ended_ && request_bytes_read_ == request_bytes_limit_; }
  // Returns whether the size limit was reached before the end of the headers.
  bool IsHeaderTooLarge() const {
    return !header_ended_ && request_bytes_read_ >= request_bytes_limit_;
  }
  // Shuts down the sending side and discards remaining input for a limited time. Closing a socket
  // with unread input would reset the connection, and the client could lose the response.
  void LingerBeforeClose();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, size_t size) override;
  ssize_t write(const char* ptr, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return fd_; }

 private:
  // Waits until one of the poll() `events` occurs. Returns false at `deadline` or on an error.
  bool Poll(int16_t events, absl::Time deadline) const;
  // Refills the buffer. Returns the result of recv(), or -1 when the receive deadline has passed.
  ssize_t Fill();

  const int fd_;
  const HttpLimits limits_;
  const Clock* const clock_;
  std::array<char, 4096> buffer_;
  size_t buffer_begin_ = 0;
  size_t buffer_end_ = 0;
  // Bytes of the current request that the parser has read, and the maximum that it may read.
  size_t request_bytes_read_ = 0;
  size_t request_bytes_limit_ = 0;
  bool header_ended_ = false;
  absl::Time receive_deadline_;
  absl::Time send_deadline_ = absl::InfiniteFuture();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_BOUNDED_STREAM_H_
