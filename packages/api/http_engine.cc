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

// Time that a new connection has to send its first request after a graceful stop has begun.
constexpr absl::Duration kFirstRequestGrace = absl::Seconds(1);

// The error and HTTP status of a request that is refused before routing.
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

// Refuses requests whose body length is ambiguous, which allows request smuggling, requests with an
// encoded body, and bodies over the size limit.
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
  // cpp-httplib matches the path with std::regex, whose stack use grows with the path length.
  if (request.path.size() > limits.max_path_bytes) {
    return Refuse(414, absl::StrCat("The path has ", request.path.size(), " bytes; send at most ",
                                    limits.max_path_bytes, "."));
  }
  return CheckFraming(request, limits);
}

// Returns the error for a status that cpp-httplib set without calling a handler.
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

// Uses the request processing of httplib::Server without its accept loop, which does not limit the
// number of connections or the size of the headers.
class HttpEngine::Parser : public httplib::Server {
 public:
  Parser(const HttpLimits& limits, const Clock* clock, Callbacks callbacks)
      : limits_(limits), clock_(clock), callbacks_(std::move(callbacks)) {
    // CheckRequest() already enforces this limit; cpp-httplib enforces it again as a safeguard.
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
  // Processes one request. Returns whether the connection can carry another request.
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

  // Sends the 414 response itself, because cpp-httplib sends no response when the request line has
  // no end within the size limit.
  void RefuseLongRequestLine(BoundedStream* stream) {
    const Refusal refusal = ParserRefusal(414, limits_);
    const std::string answer =
        FormatHttpResponse("414 URI Too Long", ErrorReply(refusal.error, 414));
    stream->write(answer.data(), answer.size());
    std::string ip;
    int port = 0;
    stream->get_remote_ip_and_port(ip, port);
    callbacks_.refused(refusal.status, refusal.error, ip);
  }

  void PrepareRequest(BoundedStream* stream, httplib::Request* request) {
    // Range requests are not supported, and compressing responses costs more CPU time than the
    // saved bytes are worth.
    request->ranges.clear();
    request->headers.erase("Range");
    request->headers.erase("Accept-Encoding");
    const bool valid = !CheckRequest(*request, limits_).has_value();
    if (valid && !request->has_header("Content-Length")) {
      // Without a Content-Length, cpp-httplib reads until the client closes the connection.
      request->set_header("Content-Length", "0");
    }
    uint64_t body_bytes = 0;
    const bool known = absl::SimpleAtoi(request->get_header_value("Content-Length"), &body_bytes);
    // After a refused request, the start of the next request is unknown. Expecting one byte that is
    // never read keeps AtRequestEnd() false, so that the connection is closed.
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
