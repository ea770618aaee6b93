#ifndef POMELOTRAY_CLI_API_CLIENT_H_
#define POMELOTRAY_CLI_API_CLIENT_H_

#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/socket_address.h"

namespace pomelotray {

struct ApiCall {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  // Whether the call may be sent again when it is not known whether it took effect.
  bool repeatable = true;
  // How long to wait for the answer.
  absl::Duration timeout = absl::Seconds(30);
};

struct ApiAnswer {
  std::string body;
  std::map<std::string, std::string> headers;
};

// Calls the HTTP API of the first instance that serves. The next address is tried when an instance
// cannot be reached or answers that it did nothing.
class ApiClient {
 public:
  ApiClient(std::vector<SocketAddress> addresses, std::string token);

  // Errors: those of the API; kUnavailable without a time to retry when no instance was reached;
  // kOutcomeUnknown when a call that may not be repeated was sent and not answered.
  Result<ApiAnswer> Call(const ApiCall& call) const;
  Result<nlohmann::json> CallJson(const ApiCall& call) const;
  Result<nlohmann::json> GetJson(const std::string& target) const;

  // True once a call was tried: mistakes found before that are mistakes of usage.
  bool was_used() const { return was_used_; }

 private:
  enum class Attempt { kAnswered, kTryNext, kFinal };

  // Sends the call to one address. Sets `error` unless the call was answered.
  Attempt Try(const SocketAddress& address, const ApiCall& call, ApiAnswer* answer,
              Error* error) const;

  const std::vector<SocketAddress> addresses_;
  const std::string token_;
  mutable std::atomic<bool> was_used_{false};
};

// Escapes one path segment or query value.
std::string EscapeUrl(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_API_CLIENT_H_
