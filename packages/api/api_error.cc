#include "api/api_error.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"

namespace pomelotray {

int HttpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kPermissionDenied:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
    case ErrorKind::kIdempotencyMismatch:
      return 409;
    case ErrorKind::kUnplaceable:
      return 422;
    case ErrorKind::kOverLimit:
    case ErrorKind::kDeadlineUnmeetable:
      return 429;
    case ErrorKind::kOwnerUnavailable:
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kOverloaded:
    case ErrorKind::kNotReady:
    case ErrorKind::kUnavailable:
    case ErrorKind::kFenced:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    // Proxies may retry a request after 502, 503 or 504. A request whose outcome is unknown may
    // already have taken effect, so it is answered with 500.
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

ApiReply ErrorReply(const Error& error, int status) {
  nlohmann::json body = {
      {"kind", ErrorKindName(error.kind)}, {"message", error.message}, {"retry_after_ms", nullptr}};
  ApiReply reply;
  if (error.retry_after.has_value()) {
    const absl::Duration wait = std::max(*error.retry_after, absl::ZeroDuration());
    body["retry_after_ms"] = absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1)));
    reply.headers["Retry-After"] =
        absl::StrCat(absl::ToInt64Seconds(absl::Ceil(wait, absl::Seconds(1))));
  }
  if (error.kind == ErrorKind::kUnauthenticated) {
    reply.headers["WWW-Authenticate"] = "Bearer";
  }
  const ApiReply json = JsonReply({{"error", std::move(body)}});
  reply.body = json.body;
  reply.status = status != 0 ? status : HttpStatusOf(error.kind);
  return reply;
}

std::string FormatHttpResponse(const std::string& status_line, const ApiReply& reply) {
  std::string text = absl::StrCat("HTTP/1.1 ", status_line, "\r\nConnection: close\r\n",
                                  "Content-Type: ", reply.content_type, "\r\n",
                                  "Content-Length: ", reply.body.size(), "\r\n");
  for (const auto& [name, value] : reply.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&text, "\r\n", reply.body);
  return text;
}

void RefuseConnection(int fd, const ApiReply& reply) {
  const std::string text = FormatHttpResponse("503 Service Unavailable", reply);
  // Closing a socket with unread data sends a TCP reset, which can discard the response before the
  // client reads it. Drain the received data first.
  std::array<char, 4096> request;
  while (recv(fd, request.data(), request.size(), MSG_DONTWAIT) > 0) {
  }
  send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(fd, SHUT_WR);
}

}  // namespace pomelotray
