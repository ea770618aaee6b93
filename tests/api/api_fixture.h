#ifndef TESTS_API_API_FIXTURE_H_
#define TESTS_API_API_FIXTURE_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "api/http_api_server.h"
#include "base/event_log.h"
#include "base/system_clock.h"
#include "tests/api/fake_admin_service.h"

namespace pomelotray {

struct HttpResult {
  // 0 if no complete response was received.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
  std::string Kind() const;
};

// Runs an HttpApiServer with a FakeAdminService on a free loopback port.
class ApiFixture {
 public:
  explicit ApiFixture(const std::string& operator_token = "", const HttpLimits& limits = {});

  // Sends one request on a new connection. If `token` is empty, no Authorization header is sent.
  HttpResult Call(const std::string& method, const std::string& target,
                  const std::string& body = "", const std::string& token = "",
                  const std::string& extra_headers = "") const;
  // Sends `bytes` unchanged on a new connection and reads until the server closes it or `timeout`
  // has passed. With `half_close`, shuts down the sending side after sending.
  std::string Exchange(const std::string& bytes, absl::Duration timeout = absl::Seconds(10),
                       bool half_close = false) const;
  // Opens a connection without sending data. Returns -1 if the connection is refused.
  int Connect() const;

  std::string JobBody(const std::string& customer, const std::string& key) const;

  FakeAdminService service;
  SystemClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"test", &hybrid_clock};
  prometheus::Registry registry;
  std::unique_ptr<HttpApiServer> server;
};

// Parses one HTTP response.
HttpResult ParseHttpResponse(const std::string& bytes);
// Reads from `fd` until the peer closes the connection or `timeout` has passed, then closes `fd`.
std::string ReadAll(int fd, absl::Duration timeout);

}  // namespace pomelotray

#endif  // TESTS_API_API_FIXTURE_H_
