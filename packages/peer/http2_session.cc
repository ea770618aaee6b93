#include "peer/http2_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "peer/message_codec.h"

namespace pomelotray {
namespace {

constexpr size_t kReadSize = 16 * 1024;
// Frames are collected up to this size, so that a reply leaves in one segment.
constexpr size_t kWriteSize = 32 * 1024;
constexpr int64_t kFrameHeaderSize = 9;
constexpr int64_t kPrefaceSize = 24;
constexpr size_t kMaxHeaderValue = 256;

nghttp2_nv Header(std::string_view name, std::string_view value) {
  nghttp2_nv header;
  header.name = reinterpret_cast<uint8_t*>(const_cast<char*>(name.data()));
  header.value = reinterpret_cast<uint8_t*>(const_cast<char*>(value.data()));
  header.namelen = name.size();
  header.valuelen = value.size();
  header.flags = NGHTTP2_NV_FLAG_NONE;
  return header;
}

}  // namespace

// The C callbacks of nghttp2, forwarded to the session.
struct Http2Callbacks {
  static Http2Session* Self(void* user_data) { return static_cast<Http2Session*>(user_data); }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Http2Session* const self = Self(user_data);
    if (self->options_.role == Http2Session::Role::kServer &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      self->streams_[frame->hd.stream_id];
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const uint8_t* name,
                      size_t name_size, const uint8_t* value, size_t value_size, uint8_t,
                      void* user_data) {
    Http2Session::Stream* const stream = Self(user_data)->FindStream(frame->hd.stream_id);
    if (stream == nullptr) {
      return 0;
    }
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                std::min(value_size, kMaxHeaderValue));
    if (key == ":path") {
      stream->incoming.path = std::string(text);
      if (text.substr(0, sizeof(kPathPrefix) - 1) == kPathPrefix) {
        stream->method = std::string(text.substr(sizeof(kPathPrefix) - 1));
      }
    } else if (key == "from") {
      stream->incoming.from = std::string(text);
    } else if (key == ":status") {
      stream->incoming.status = std::string(text);
    }
    return 0;
  }

  static int OnData(nghttp2_session*, uint8_t, int32_t stream, const uint8_t* data, size_t size,
                    void* user_data) {
    Self(user_data)->AppendBody(stream,
                                std::string_view(reinterpret_cast<const char*>(data), size));
    return 0;
  }

  static int OnFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Http2Session* const self = Self(user_data);
    self->CountReceived(*frame);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self->received_goaway_ = true;
    } else if (frame->hd.type == NGHTTP2_SETTINGS) {
      self->received_settings_ = true;
    } else if ((frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) &&
               (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self->DeliverMessage(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnFrameSent(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Self(user_data)->CountSent(*frame);
    return 0;
  }

  // A request that could not be sent, for example because GOAWAY arrived first, has no stream and
  // so no OnStreamClose.
  static int OnFrameNotSent(nghttp2_session*, const nghttp2_frame* frame, int, void* user_data) {
    if (frame->hd.type == NGHTTP2_HEADERS) {
      Self(user_data)->CloseStream(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*, int32_t stream, uint32_t error, void* user_data) {
    Self(user_data)->CloseStream(stream, error);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*, int32_t stream, uint8_t* buffer, size_t length,
                          uint32_t* flags, nghttp2_data_source*, void* user_data) {
    return Self(user_data)->ReadOutgoing(stream, buffer, length, flags);
  }
};

Http2Session::Http2Session(const Options& options) : options_(options) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          Http2Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Http2Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Http2Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Http2Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Http2Callbacks::OnFrameSent);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks,
                                                           Http2Callbacks::OnFrameNotSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Http2Callbacks::OnStreamClose);
  nghttp2_settings_entry setting;
  if (options_.role == Role::kClient) {
    nghttp2_session_client_new(&session_, callbacks, this);
    setting = {NGHTTP2_SETTINGS_ENABLE_PUSH, 0};
    options_.counters->AddSent("", options_.link, kPrefaceSize, 0);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
    setting = {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options_.max_streams};
  }
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, &setting, 1);
}

Http2Session::~Http2Session() {
  nghttp2_session_del(session_);
  for (const auto& [id, stream] : streams_) {
    options_.budget->Release(stream.charged);
  }
}

int32_t Http2Session::SendRequest(const std::string& authority, const std::string& method,
                                  const std::string& from, std::string body) {
  const std::string path = kPathPrefix + method;
  // nghttp2 indexes all of these but :path, so a repeated request's headers take 4 bytes and the
  // path. The standard name "from" is in HPACK's static table.
  const std::array<nghttp2_nv, 5> headers = {Header(":method", "POST"), Header(":scheme", "http"),
                                             Header(":authority", authority), Header(":path", path),
                                             Header("from", from)};
  nghttp2_data_provider provider;
  provider.source.ptr = nullptr;
  provider.read_callback = Http2Callbacks::ReadBody;
  const int32_t id =
      nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) {
    return -1;
  }
  Stream& stream = streams_[id];
  stream.method = method;
  stream.outgoing = std::move(body);
  return id;
}

void Http2Session::SendResponse(int32_t id, const std::string& status, std::string body) {
  Stream* const stream = FindStream(id);
  if (stream == nullptr) {
    return;
  }
  stream->outgoing = std::move(body);
  const nghttp2_nv header = Header(":status", status);
  nghttp2_data_provider provider;
  provider.source.ptr = nullptr;
  provider.read_callback = Http2Callbacks::ReadBody;
  const bool empty = stream->outgoing.empty();
  nghttp2_submit_response(session_, id, &header, 1, empty ? nullptr : &provider);
}

void Http2Session::Reset(int32_t id, uint32_t error) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, error);
}

void Http2Session::SendPing() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void Http2Session::SendGoAway() {
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                        nullptr, 0);
}

bool Http2Session::ReadFrom(const FileDescriptor& socket) {
  std::array<uint8_t, kReadSize> buffer;
  const ssize_t size = recv(socket.get(), buffer.data(), buffer.size(), 0);
  if (size < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  return size > 0 &&
         nghttp2_session_mem_recv(session_, buffer.data(), static_cast<size_t>(size)) == size;
}

bool Http2Session::WriteTo(const FileDescriptor& socket) {
  while (true) {
    while (output_.size() < kWriteSize) {
      const uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(session_, &data);
      if (size < 0) {
        return false;
      }
      if (size == 0) {
        break;
      }
      output_.append(reinterpret_cast<const char*>(data), static_cast<size_t>(size));
    }
    if (output_.empty()) {
      return true;
    }
    const ssize_t written = send(socket.get(), output_.data(), output_.size(), MSG_NOSIGNAL);
    if (written < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    output_.erase(0, static_cast<size_t>(written));
  }
}

bool Http2Session::wants_write() const {
  return !output_.empty() || nghttp2_session_want_write(session_) != 0;
}

bool Http2Session::finished() const {
  return output_.empty() && nghttp2_session_want_read(session_) == 0 &&
         nghttp2_session_want_write(session_) == 0;
}

Http2Session::Stream* Http2Session::FindStream(int32_t id) {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : &it->second;
}

const std::string& Http2Session::MethodOf(int32_t id) {
  static const std::string* const kConnection = new std::string;
  const Stream* const stream = FindStream(id);
  return stream == nullptr ? *kConnection : stream->method;
}

void Http2Session::CountReceived(const nghttp2_frame& frame) {
  const bool first_settings = frame.hd.type == NGHTTP2_SETTINGS && !received_settings_;
  const int64_t preface = first_settings && options_.role == Role::kServer ? kPrefaceSize : 0;
  options_.counters->AddReceived(MethodOf(frame.hd.stream_id), options_.link,
                                 static_cast<int64_t>(frame.hd.length) + kFrameHeaderSize + preface,
                                 frame.hd.type == NGHTTP2_HEADERS ? 1 : 0);
}

void Http2Session::CountSent(const nghttp2_frame& frame) {
  options_.counters->AddSent(MethodOf(frame.hd.stream_id), options_.link,
                             static_cast<int64_t>(frame.hd.length) + kFrameHeaderSize,
                             frame.hd.type == NGHTTP2_HEADERS ? 1 : 0);
}

void Http2Session::AppendBody(int32_t id, std::string_view data) {
  Stream* const stream = FindStream(id);
  if (stream == nullptr) {
    return;
  }
  const int64_t size = static_cast<int64_t>(data.size());
  if (stream->refused) {
    return;
  }
  if (stream->charged + size > options_.max_body_bytes || !options_.budget->Take(size)) {
    // The message is incomplete, so it has not been processed.
    stream->refused = true;
    Reset(id, NGHTTP2_REFUSED_STREAM);
    return;
  }
  stream->charged += size;
  stream->incoming.body.append(data);
}

void Http2Session::DeliverMessage(int32_t id) {
  Stream* const stream = FindStream(id);
  if (stream != nullptr && !stream->refused) {
    options_.listener->OnMessage(id, std::move(stream->incoming));
  }
}

void Http2Session::CloseStream(int32_t id, uint32_t error) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    return;
  }
  options_.budget->Release(it->second.charged);
  streams_.erase(it);
  options_.listener->OnStreamClosed(id, error);
}

ssize_t Http2Session::ReadOutgoing(int32_t id, uint8_t* buffer, size_t length, uint32_t* flags) {
  Stream* const stream = FindStream(id);
  if (stream == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const size_t size = std::min(length, stream->outgoing.size() - stream->outgoing_position);
  stream->outgoing.copy(reinterpret_cast<char*>(buffer), size, stream->outgoing_position);
  stream->outgoing_position += size;
  if (stream->outgoing_position == stream->outgoing.size()) {
    if (!options_.listener->OnMessageLeaving(id)) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(size);
}

}  // namespace pomelotray
