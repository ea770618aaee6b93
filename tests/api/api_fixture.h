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
  // 0 when no whole answer came.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
  std::string Kind() const;
};

// A running server on a free loopback port, over the fake service.
class ApiFixture {
 public:
  explicit ApiFixture(const std::string& operator_token = "", const HttpLimits& limits = {});

  // One call on a connection of its own. An empty token sends no Authorization header.
  HttpResult Call(const std::string& method, const std::string& target,
                  const std::string& body = "", const std::string& token = "",
                  const std::string& extra_headers = "") const;
  // Sends `bytes` as they are and reads until the server closes or `timeout` passes.
  std::string Exchange(const std::string& bytes, absl::Duration timeout = absl::Seconds(10),
                       bool half_close = false) const;
  // Connects, without sending anything; -1 when refused.
  int Connect() const;

  std::string JobBody(const std::string& customer, const std::string& key) const;

  FakeAdminService service;
  SystemClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"test", &hybrid_clock};
  prometheus::Registry registry;
  std::unique_ptr<HttpApiServer> server;
};

// Parses one answer.
HttpResult ParseAnswer(const std::string& bytes);
// Reads from `fd` until it closes or the time is over, then closes it.
std::string ReadAll(int fd, absl::Duration timeout);

}  // namespace pomelotray

#endif  // TESTS_API_API_FIXTURE_H_
