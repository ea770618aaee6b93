#ifndef POMELOTRAY_PEER_HTTP2_SESSION_H_
#define POMELOTRAY_PEER_HTTP2_SESSION_H_

#include <nghttp2/nghttp2.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "peer/socket.h"
#include "peer/traffic_counters.h"

namespace pomelotray {

// Bytes of message bodies that all connections of a process side may hold at once.
class BodyBudget {
 public:
  // Called before the first Take().
  void SetLimit(int64_t limit) { limit_ = limit; }

  bool Take(int64_t bytes) {
    if (used_.fetch_add(bytes) + bytes <= limit_) {
      return true;
    }
    used_.fetch_sub(bytes);
    return false;
  }
  void Release(int64_t bytes) { used_.fetch_sub(bytes); }
  int64_t used() const { return used_.load(); }

 private:
  int64_t limit_ = 0;
  std::atomic<int64_t> used_{0};
};

// A message received on one stream.
struct Http2Message {
  std::string path;
  std::string from;
  std::string status;
  std::string body;
};

// What a session reports to its connection, on the connection's thread.
class Http2Listener {
 public:
  virtual ~Http2Listener() = default;

  // A message arrived completely. The stream stays open until OnStreamClosed.
  virtual void OnMessage(int32_t stream, Http2Message message) = 0;
  // The last byte of an outgoing message is about to be handed to the socket. Returns false to
  // withdraw it.
  virtual bool OnMessageLeaving(int32_t stream) = 0;
  // `error` is an HTTP/2 error code, 0 after a complete exchange.
  virtual void OnStreamClosed(int32_t stream, uint32_t error) = 0;
};

// The HTTP/2 framing of one connection, over nghttp2. Used by one thread only.
class Http2Session {
 public:
  enum class Role { kClient, kServer };

  struct Options {
    Role role = Role::kClient;
    Http2Listener* listener = nullptr;
    TrafficCounters* counters = nullptr;
    LinkClass link = LinkClass::kDomain;
    BodyBudget* budget = nullptr;
    int64_t max_body_bytes = 0;
    uint32_t max_streams = 0;
  };

  explicit Http2Session(const Options& options);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // Opens a stream with one POST request; returns its id, or -1 when none can be opened.
  int32_t SendRequest(const std::string& authority, const std::string& method,
                      const std::string& from, std::string body);
  void SendResponse(int32_t stream, const std::string& status, std::string body);
  void Reset(int32_t stream, uint32_t error);
  // Tells the peer that streams not yet received will not be processed.
  void SendGoAway();
  // Asks the peer for a sign of life.
  void SendPing();

  // Reads what the socket has. Returns false when the connection is to be closed.
  bool ReadFrom(const FileDescriptor& socket);
  // Writes until nothing is left or the socket is full. Returns false when the connection broke.
  bool WriteTo(const FileDescriptor& socket);

  // True while bytes wait for the socket. Nothing is read meanwhile, so that a peer that does not
  // read cannot make replies pile up.
  bool write_blocked() const { return !output_.empty(); }
  bool wants_write() const;
  bool finished() const;
  bool received_goaway() const { return received_goaway_; }
  bool settled() const { return received_settings_; }
  size_t open_streams() const { return streams_.size(); }

 private:
  struct Stream {
    std::string method;
    Http2Message incoming;
    std::string outgoing;
    size_t outgoing_position = 0;
    // Bytes taken from the budget, which are given back when the stream closes.
    int64_t charged = 0;
    bool refused = false;
  };
  friend struct Http2Callbacks;

  Stream* FindStream(int32_t id);
  const std::string& MethodOf(int32_t id);
  void CountReceived(const nghttp2_frame& frame);
  void CountSent(const nghttp2_frame& frame);
  void AppendBody(int32_t id, std::string_view data);
  void DeliverMessage(int32_t id);
  void CloseStream(int32_t id, uint32_t error);
  ssize_t ReadOutgoing(int32_t id, uint8_t* buffer, size_t length, uint32_t* flags);

  const Options options_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, Stream> streams_;
  std::string output_;
  bool received_goaway_ = false;
  bool received_settings_ = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_HTTP2_SESSION_H_
