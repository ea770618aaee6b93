#ifndef POMELOTRAY_API_HTTP_API_SERVER_H_
#define POMELOTRAY_API_HTTP_API_SERVER_H_

#include <prometheus/registry.h>

#include <atomic>
#include <memory>
#include <string>

#include "api/api_metrics.h"
#include "api/api_types.h"
#include "api/authenticator.h"
#include "api/connection_server.h"
#include "api/contract_routes.h"
#include "api/fleet_routes.h"
#include "api/http_engine.h"
#include "api/http_limits.h"
#include "api/job_routes.h"
#include "api/refusal_log.h"
#include "api/request_routes.h"
#include "api/router.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/socket_address.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Serves the HTTP API under /v1 and the endpoints /healthz, /readyz and /metrics. docs/api.md
// describes the API.
class HttpApiServer {
 public:
  // Objects that the server uses. All must outlive the server.
  struct Dependencies {
    AdminService* service = nullptr;
    EventLog* events = nullptr;
    const Clock* clock = nullptr;
    prometheus::Registry* registry = nullptr;
  };

  // Configures and creates a server, for example
  // HttpApiServer::Builder(dependencies).OperatorToken(token).Build().
  class Builder {
   public:
    explicit Builder(const Dependencies& dependencies) : dependencies_(dependencies) {}
    // If no token is set, requests from loopback addresses have operator access.
    Builder& OperatorToken(std::string token);
    Builder& Limits(const HttpLimits& limits);
    std::unique_ptr<HttpApiServer> Build() const;

   private:
    Dependencies dependencies_;
    std::string operator_token_;
    HttpLimits limits_;
  };

  ~HttpApiServer();
  HttpApiServer(const HttpApiServer&) = delete;
  HttpApiServer& operator=(const HttpApiServer&) = delete;

  // Listens on `address`; port 0 picks a free port.
  Result<void> Start(const SocketAddress& address);
  int port() const { return connections_.port(); }

  // Starts a graceful stop: /readyz returns 503, requests that wait for a job return early and
  // connections are closed after the next response. New connections are still served.
  void BeginDrain() { draining_ = true; }
  // Stops accepting connections, completes the requests in flight and joins all threads.
  void Stop();

 private:
  HttpApiServer(const Dependencies& dependencies, const std::string& operator_token,
                const HttpLimits& limits);

  void AddRoutes();
  ApiReply Handle(const ApiRequest& request);
  ApiReply Dispatch(const ApiRequest& request, std::string* route);
  Result<ApiReply> Call(const Route& route, const ApiRequest& request);
  Result<Principal> Authorize(const Route& route, const ApiRequest& request);
  Result<ApiReply> Ready();
  void Refused(int status, const Error& error, const std::string& remote_ip);
  void RefuseConnection(int fd);

  const Dependencies dependencies_;
  std::atomic<bool> draining_{false};
  Authenticator authenticator_;
  ApiMetrics metrics_;
  RefusalLog refusals_;
  JobRoutes jobs_;
  RequestRoutes requests_;
  ContractRoutes contracts_;
  FleetRoutes fleet_;
  Router router_;
  HttpEngine engine_;
  ConnectionServer connections_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_HTTP_API_SERVER_H_
