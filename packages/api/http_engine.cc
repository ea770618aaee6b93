#include "api/http_engine.h"

#include <httplib.h>

#include <optional>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "api/api_error.h"
#include "api/bounded_stream.h"

namespace pomelotray {
namespace {

// A connection accepted just before or during a graceful stop has this long to send its request.
constexpr absl::Duration kFirstRequestGrace = absl::Seconds(1);

// Input that is refused before routing, with its HTTP status.
struct Refusal {
  int status;
  Error error;
};

Refusal Refuse(int status, std::string message) {
  return {status, Error{ErrorKind::kInvalidArgument, std::move(message), std::nullopt}};
}

bool IsMethodSupported(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "POST" || method == "PUT" ||
         method == "DELETE";
}

// Finds requests whose end cannot be told safely or whose body is encoded.
std::optional<Refusal> CheckFraming(const httplib::Request& request, const HttpLimits& limits) {
  if (request.has_header("Transfer-Encoding")) {
    return Refuse(411, "The request has a Transfer-Encoding; send Content-Length instead.");
  }
  if (request.has_header("Content-Encoding")) {
    return Refuse(415, "The request has a Content-Encoding; send the body unencoded.");
  }
  if (request.is_multipart_form_data()) {
    return Refuse(415, "The request is multipart; send the body itself.");
  }
  if (request.get_header_value_count("Content-Length") > 1) {
    return Refuse(400, "The request has several Content-Length headers; send one.");
  }
  const std::string length = request.get_header_value("Content-Length");
  uint64_t bytes = 0;
  if (request.has_header("Content-Length") &&
      (length.find_first_not_of("0123456789") != std::string::npos ||
       !absl::SimpleAtoi(length, &bytes))) {
    return Refuse(400, "The Content-Length is not a whole number; correct it.");
  }
  if (bytes > limits.max_body_bytes) {
    return Refuse(413, absl::StrCat("The body has ", bytes, " bytes; send at most ",
                                    limits.max_body_bytes, "."));
  }
  return std::nullopt;
}

std::optional<Refusal> CheckRequest(const httplib::Request& request, const HttpLimits& limits) {
  if (!IsMethodSupported(request.method)) {
    return Refuse(405, absl::StrCat("Method ", request.method,
                                    " is not supported; use GET, POST, PUT or DELETE."));
  }
  // The path is matched by a regular expression, whose stack use grows with its length.
  if (request.path.size() > limits.max_path_bytes) {
    return Refuse(414, absl::StrCat("The path has ", request.path.size(), " bytes; send at most ",
                                    limits.max_path_bytes, "."));
  }
  return CheckFraming(request, limits);
}

// The error of an answer that cpp-httplib gave by itself.
Refusal ParserRefusal(int status, const HttpLimits& limits) {
  switch (status) {
    case 404:
      return {404, Error{ErrorKind::kNotFound,
                         "The path does not exist; docs/api.md lists the routes.", std::nullopt}};
    case 414:
      return Refuse(414, "The request line is too long; shorten the path and the query.");
    case 500:
      return {500,
              Error{ErrorKind::kInternal,
                    "The request failed unexpectedly; report this as a defect.", std::nullopt}};
    default:
      return Refuse(status,
                    absl::StrCat("The request is malformed, incomplete or too slow; send a whole "
                                 "HTTP/1.1 request with at most ",
                                 limits.max_header_bytes, " bytes of headers."));
  }
}

ApiRequest ToApiRequest(const httplib::Request& request) {
  ApiRequest result;
  result.method = request.method;
  result.path = request.path;
  for (const auto& [name, value] : request.params) {
    result.query.emplace(name, value);
  }
  for (const auto& [name, value] : request.headers) {
    result.headers.emplace(absl::AsciiStrToLower(name), value);
  }
  result.body = request.body;
  result.remote_ip = request.remote_addr;
  return result;
}

void Write(const ApiReply& reply, httplib::Response* response) {
  response->status = reply.status;
  for (const auto& [name, value] : reply.headers) {
    response->set_header(name, value);
  }
  response->set_content(reply.body, reply.content_type);
}

}  // namespace

// Gives access to cpp-httplib's request processing without its accept loop, which has no limits on
// connections and header bytes.
class HttpEngine::Parser : public httplib::Server {
 public:
  Parser(const HttpLimits& limits, const Clock* clock, Callbacks callbacks)
      : limits_(limits), clock_(clock), callbacks_(std::move(callbacks)) {
    // Each body that passes the check is within the limit, so this is a second line.
    set_payload_max_length(limits_.max_body_bytes);
    set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
      const std::optional<Refusal> refusal = CheckRequest(request, limits_);
      if (!refusal.has_value()) {
        return HandlerResponse::Unhandled;
      }
      WriteRefusal(*refusal, request, &response);
      return HandlerResponse::Handled;
    });
    const Handler handle = [this](const httplib::Request& request, httplib::Response& response) {
      Write(callbacks_.handle(ToApiRequest(request)), &response);
    };
    Get("/.*", handle);
    Post("/.*", handle);
    Put("/.*", handle);
    Delete("/.*", handle);
    set_error_handler([this](const httplib::Request& request, httplib::Response& response) {
      if (response.body.empty()) {
        WriteRefusal(ParserRefusal(response.status, limits_), request, &response);
      }
    });
    set_exception_handler([this](const httplib::Request& request, httplib::Response& response,
                                 const std::exception_ptr&) {
      WriteRefusal(ParserRefusal(500, limits_), request, &response);
    });
  }

  void ServeConnection(int fd) {
    BoundedStream stream(fd, limits_, clock_);
    absl::Duration grace = kFirstRequestGrace;
    bool again = true;
    while (again && stream.WaitForRequest(callbacks_.closing, grace)) {
      again = ServeRequest(&stream);
      grace = absl::ZeroDuration();
    }
    stream.LingerBeforeClose();
  }

 private:
  // Returns whether the connection may carry another request.
  bool ServeRequest(BoundedStream* stream) {
    const bool close = callbacks_.closing();
    bool client_closes = false;
    const bool answered = process_request(
        *stream, close, client_closes,
        [this, stream](httplib::Request& request) { PrepareRequest(stream, &request); });
    if (!answered && stream->IsHeaderTooLarge()) {
      RefuseLongRequestLine(stream);
    }
    return answered && !close && !client_closes && stream->AtRequestEnd();
  }

  // cpp-httplib does not answer when the request line does not end.
  void RefuseLongRequestLine(BoundedStream* stream) {
    const Refusal refusal = ParserRefusal(414, limits_);
    const std::string answer = RawAnswer("414 URI Too Long", ErrorReply(refusal.error, 414));
    stream->write(answer.data(), answer.size());
    std::string ip;
    int port = 0;
    stream->get_remote_ip_and_port(ip, port);
    callbacks_.refused(refusal.status, refusal.error, ip);
  }

  void PrepareRequest(BoundedStream* stream, httplib::Request* request) {
    // Partial answers are not offered, and compressing them costs more than the bytes saved.
    request->ranges.clear();
    request->headers.erase("Range");
    request->headers.erase("Accept-Encoding");
    const bool valid = !CheckRequest(*request, limits_).has_value();
    if (valid && !request->has_header("Content-Length")) {
      // Without a length cpp-httplib would read until the client closes.
      request->set_header("Content-Length", "0");
    }
    uint64_t body_bytes = 0;
    const bool known = absl::SimpleAtoi(request->get_header_value("Content-Length"), &body_bytes);
    // After a refused request the rest of the stream cannot be trusted: one byte more than can be
    // read is expected, so that the connection closes.
    stream->EndHeader(valid && known ? body_bytes : 1);
  }

  void WriteRefusal(const Refusal& refusal, const httplib::Request& request,
                    httplib::Response* response) {
    Write(ErrorReply(refusal.error, refusal.status), response);
    callbacks_.refused(refusal.status, refusal.error, request.remote_addr);
  }

  const HttpLimits limits_;
  const Clock* const clock_;
  const Callbacks callbacks_;
};

HttpEngine::HttpEngine(const HttpLimits& limits, const Clock* clock, Callbacks callbacks)
    : parser_(std::make_unique<Parser>(limits, clock, std::move(callbacks))) {}

HttpEngine::~HttpEngine() = default;

void HttpEngine::Serve(int fd) { parser_->ServeConnection(fd); }

}  // namespace pomelotray
