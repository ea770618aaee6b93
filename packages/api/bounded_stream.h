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

// The byte stream of one connection, for cpp-httplib. cpp-httplib bounds each read only; this
// stream also bounds the bytes of a request and the time that the whole request and the whole
// answer may take. `fd` is non-blocking and stays open.
class BoundedStream : public httplib::Stream {
 public:
  BoundedStream(int fd, const HttpLimits& limits, const Clock* clock);

  // Waits for the first byte of the next request. Returns false when the client closed or stayed
  // idle too long, or when `stopping` is true and `grace` has passed.
  bool WaitForRequest(const std::function<bool()>& stopping, absl::Duration grace);
  // Called when the headers have been read and a body of `body_bytes` follows.
  void EndHeader(size_t body_bytes);
  // True when exactly the declared request was read, so that another may follow.
  bool AtRequestEnd() const { return header_ended_ && consumed_ == allowed_; }
  // True when the client sent more than the allowed bytes before the end of the headers.
  bool IsHeaderTooLarge() const { return !header_ended_ && consumed_ >= allowed_; }
  // Sends the end of the stream and discards what the client still sends, so that the answer is
  // not lost to a connection reset.
  void LingerBeforeClose();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, size_t size) override;
  ssize_t write(const char* ptr, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return fd_; }

 private:
  // Waits for `events` until `deadline`.
  bool Poll(int16_t events, absl::Time deadline) const;
  // Refills the buffer. Returns what recv() returns, or -1 at the deadline.
  ssize_t Fill();

  const int fd_;
  const HttpLimits limits_;
  const Clock* const clock_;
  std::array<char, 4096> buffer_;
  size_t buffer_begin_ = 0;
  size_t buffer_end_ = 0;
  // Bytes of the present request: handed out, and the most that may be.
  size_t consumed_ = 0;
  size_t allowed_ = 0;
  bool header_ended_ = false;
  absl::Time receive_deadline_;
  absl::Time send_deadline_ = absl::InfiniteFuture();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_BOUNDED_STREAM_H_
