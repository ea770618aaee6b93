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
  // Whether the call may be sent again when no response arrived and its outcome is unknown.
  bool repeatable = true;
  // Time limit for the response, without the margin that the client adds for its transfer.
  absl::Duration timeout = absl::Seconds(30);
};

struct ApiCallResponse {
  std::string body;
  std::map<std::string, std::string> headers;
};

// HTTP client with failover. Tries the addresses in order and moves to the next one when an
// instance is unreachable, reports that it did not execute the call, or returns no response to a
// repeatable call.
class ApiClient {
 public:
  ApiClient(std::vector<SocketAddress> addresses, std::string token);

  // Errors: those of the API; kUnavailable without `retry_after` when no instance is reachable;
  // kOutcomeUnknown when a non-repeatable call was sent and received no response.
  Result<ApiCallResponse> Call(const ApiCall& call) const;
  Result<nlohmann::json> CallJson(const ApiCall& call) const;
  Result<nlohmann::json> GetJson(const std::string& target) const;

  // True once a call was attempted. Invalid arguments found earlier are usage errors.
  bool call_attempted() const { return call_attempted_; }

 private:
  enum class Attempt { kSucceeded, kTryNext, kFinal };

  // Sends the call to one address. Sets `error` unless the call succeeded.
  Attempt Try(const SocketAddress& address, const ApiCall& call, ApiCallResponse* response,
              Error* error) const;

  const std::vector<SocketAddress> addresses_;
  const std::string token_;
  mutable std::atomic<bool> call_attempted_{false};
};

// Percent-encodes a path segment or query value.
std::string EscapeUrl(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_API_CLIENT_H_
