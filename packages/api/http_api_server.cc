#include "api/http_api_server.h"

#include <sys/socket.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "api/api_error.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

constexpr char kUnmatchedRoute[] = "unmatched";
constexpr absl::Duration kRetryNotReady = absl::Seconds(1);

bool IsInvalidInput(ErrorKind kind) {
  return kind == ErrorKind::kInvalidArgument || kind == ErrorKind::kUnauthenticated ||
         kind == ErrorKind::kPermissionDenied;
}

// Returns whether the request was forwarded by a proxy or sent by a web page. Such a request can
// come from a remote user even if its connection comes from a loopback address, so it does not get
// the operator access of loopback callers.
bool IsForwardedOrFromWebPage(const ApiRequest& request) {
  return request.headers.count("forwarded") > 0 || request.headers.count("x-forwarded-for") > 0 ||
         request.headers.count("via") > 0 || request.headers.count("origin") > 0;
}

Result<void> CheckQuery(const Route& route, const ApiRequest& request) {
  for (const auto& [name, value] : request.query) {
    if (route.query.count(name) == 0) {
      return Fail(
          ErrorKind::kInvalidArgument,
          absl::StrCat("Query parameter ", FieldReader::Show(nlohmann::json(name)), " is unknown; ",
                       route.query.empty()
                           ? "this route takes none."
                           : absl::StrCat("use ", absl::StrJoin(route.query, ", "), ".")));
    }
  }
  return {};
}

}  // namespace

HttpApiServer::Builder& HttpApiServer::Builder::OperatorToken(std::string token) {
  operator_token_ = std::move(token);
  return *this;
}

HttpApiServer::Builder& HttpApiServer::Builder::Limits(const HttpLimits& limits) {
  limits_ = limits;
  return *this;
}

std::unique_ptr<HttpApiServer> HttpApiServer::Builder::Build() const {
  return std::unique_ptr<HttpApiServer>(new HttpApiServer(dependencies_, operator_token_, limits_));
}

HttpApiServer::HttpApiServer(const Dependencies& dependencies, const std::string& operator_token,
                             const HttpLimits& limits)
    : dependencies_(dependencies),
      authenticator_(operator_token, dependencies.service),
      metrics_(dependencies.registry),
      refusals_(dependencies.events, dependencies.clock),
      jobs_(dependencies.service, dependencies.clock, [this] { return draining_.load(); }),
      requests_(dependencies.service),
      contracts_(dependencies.service),
      fleet_(dependencies.service),
      engine_(limits, dependencies.clock,
              {[this](const ApiRequest& request) { return Handle(request); },
               [this](int status, const Error& error, const std::string& remote_ip) {
                 Refused(status, error, remote_ip);
               },
               [this] { return draining_ || connections_.IsNearConnectionLimit(); }}),
      connections_(
          limits.max_connections, [this](int fd) { engine_.Serve(fd); },
          [this](int fd) { RefuseConnection(fd); }) {
  AddRoutes();
}

HttpApiServer::~HttpApiServer() { Stop(); }

void HttpApiServer::AddRoutes() {
  jobs_.AddTo(&router_);
  requests_.AddTo(&router_);
  contracts_.AddTo(&router_);
  fleet_.AddTo(&router_);
  router_.Add({"GET",
               "/healthz",
               Access::kAnyone,
               {},
               [](const Principal&, const ApiRequest&) -> Result<ApiReply> {
                 return JsonReply({{"status", "ok"}});
               }});
  router_.Add({"GET", "/readyz", Access::kAnyone, {}, [this](const Principal&, const ApiRequest&) {
                 return Ready();
               }});
  router_.Add({"GET",
               "/metrics",
               Access::kOperator,
               {},
               [this](const Principal&, const ApiRequest&) -> Result<ApiReply> {
                 ApiReply reply;
                 reply.content_type = "text/plain; version=0.0.4; charset=utf-8";
                 reply.body = metrics_.Render();
                 return reply;
               }});
}

Result<void> HttpApiServer::Start(const SocketAddress& address) {
  return connections_.Start(address);
}

void HttpApiServer::Stop() {
  BeginDrain();
  connections_.Stop();
}

Result<ApiReply> HttpApiServer::Ready() {
  const std::string reason =
      draining_ ? "The instance is stopping." : dependencies_.service->NotReadyReason();
  if (!reason.empty()) {
    return Fail(ErrorKind::kNotReady, reason, kRetryNotReady);
  }
  return JsonReply({{"status", "ready"}});
}

ApiReply HttpApiServer::Handle(const ApiRequest& request) {
  const absl::Time start = dependencies_.clock->Now();
  std::string route = kUnmatchedRoute;
  ApiReply reply = Dispatch(request, &route);
  metrics_.Record(route, reply.status, dependencies_.clock->Now() - start);
  return reply;
}

ApiReply HttpApiServer::Dispatch(const ApiRequest& request, std::string* route) {
  const Router::Match match = router_.Find(request.method, request.path);
  if (match.route == nullptr && match.allowed.empty()) {
    return ErrorReply(Error{ErrorKind::kNotFound,
                            "The path does not exist; docs/api.md lists the routes.",
                            std::nullopt});
  }
  if (match.route == nullptr) {
    const std::string allowed = absl::StrJoin(match.allowed, ", ");
    ApiReply reply =
        ErrorReply(Error{ErrorKind::kInvalidArgument,
                         absl::StrCat("Method ", request.method,
                                      " is not allowed for this path; use ", allowed, "."),
                         std::nullopt},
                   405);
    reply.headers["Allow"] = allowed;
    return reply;
  }
  *route = match.route->pattern;
  ApiRequest matched = request;
  matched.parameters = match.parameters;
  const Outcome<ApiReply> outcome = Capture([&] { return Call(*match.route, matched); });
  if (outcome.ok()) {
    return outcome.value();
  }
  if (IsInvalidInput(outcome.error().kind)) {
    refusals_.Record(outcome.error(), request.remote_ip);
  }
  return ErrorReply(outcome.error());
}

Result<ApiReply> HttpApiServer::Call(const Route& route, const ApiRequest& request) {
  BOOST_LEAF_AUTO(principal, Authorize(route, request));
  BOOST_LEAF_CHECK(CheckQuery(route, request));
  return route.handler(principal, request);
}

Result<Principal> HttpApiServer::Authorize(const Route& route, const ApiRequest& request) {
  if (route.access == Access::kAnyone) {
    return Principal{};
  }
  const std::string remote_ip = IsForwardedOrFromWebPage(request) ? "" : request.remote_ip;
  BOOST_LEAF_AUTO(principal,
                  authenticator_.Authenticate(request.Header("authorization"), remote_ip));
  if (route.access == Access::kOperator && !principal.is_operator) {
    return Fail(ErrorKind::kPermissionDenied,
                absl::StrCat("The token belongs to customer ", principal.customer.value(),
                             " and this route requires operator access; use the operator "
                             "token."));
  }
  return principal;
}

void HttpApiServer::Refused(int status, const Error& error, const std::string& remote_ip) {
  metrics_.Record(kUnmatchedRoute, status, absl::ZeroDuration());
  refusals_.Record(error, remote_ip);
}

void HttpApiServer::RefuseConnection(int fd) {
  // kUnavailable tells the client that the request was not processed, so that it can be sent to
  // another instance.
  const ApiReply reply = ErrorReply(Error{ErrorKind::kUnavailable,
                                          "This instance has reached its connection limit; try "
                                          "another instance or retry later.",
                                          kRetryNotReady});
  pomelotray::RefuseConnection(fd, reply);
  metrics_.Record(kUnmatchedRoute, reply.status, absl::ZeroDuration());
}

}  // namespace pomelotray
