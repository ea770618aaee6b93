#include "cli/api_client.h"

#include <httplib.h>

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/json_text.h"

namespace pomelotray {
namespace {

constexpr time_t kConnectTimeoutSeconds = 2;
// Added to the call's timeout so that a response sent at the server's time limit still arrives.
constexpr absl::Duration kResponseTransferMargin = absl::Seconds(5);
constexpr int kFirstErrorStatus = 400;

// Parses an {"error": {...}} body. Any other body yields kInternal, or kNotReady for status 503.
Error ParseError(int status, const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  const nlohmann::json error =
      json.is_object() && json.contains("error") ? json["error"] : nlohmann::json();
  if (error.is_object() && error.contains("kind") && error["kind"].is_string() &&
      error.contains("message") && error["message"].is_string()) {
    Error result;
    result.kind = ParseErrorKind(error["kind"].get<std::string>()).value_or(ErrorKind::kInternal);
    result.message = error["message"].get<std::string>();
    if (error.contains("retry_after_ms") && error["retry_after_ms"].is_number_integer()) {
      result.retry_after = absl::Milliseconds(error["retry_after_ms"].get<int64_t>());
    }
    return result;
  }
  return Error{status == 503 ? ErrorKind::kNotReady : ErrorKind::kInternal,
               absl::StrCat("The instance answered with status ", status,
                            " without a documented error; check that the address is that of "
                            "a pomelotrayd API."),
               std::nullopt};
}

// Returns true for errors that mean that the instance did not execute the call, so that another
// instance may.
bool ShouldTryNextInstance(ErrorKind kind) {
  return kind == ErrorKind::kNotReady || kind == ErrorKind::kUnavailable;
}

bool FailedBeforeSending(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

httplib::Request ToRequest(const ApiCall& call, const std::string& token) {
  httplib::Request request;
  request.method = call.method;
  request.path = call.target;
  request.body = call.body;
  for (const auto& [name, value] : call.headers) {
    request.set_header(name, value);
  }
  if (!token.empty()) {
    request.set_header("Authorization", "Bearer " + token);
  }
  return request;
}

}  // namespace

std::string EscapeUrl(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    const unsigned char byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~') {
      escaped.push_back(c);
    } else {
      absl::StrAppend(&escaped, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return escaped;
}

ApiClient::ApiClient(std::vector<SocketAddress> addresses, std::string token)
    : addresses_(std::move(addresses)), token_(std::move(token)) {}

ApiClient::Attempt ApiClient::Try(const SocketAddress& address, const ApiCall& call,
                                  ApiCallResponse* response, Error* error) const {
  httplib::Client client(address.ip, address.port);
  client.set_connection_timeout(kConnectTimeoutSeconds);
  const absl::Duration timeout = call.timeout + kResponseTransferMargin;
  client.set_read_timeout(absl::ToInt64Seconds(timeout));
  client.set_write_timeout(absl::ToInt64Seconds(timeout));
  const httplib::Result result = client.send(ToRequest(call, token_));
  if (!result) {
    if (FailedBeforeSending(result.error())) {
      *error = Error{ErrorKind::kUnavailable,
                     absl::StrCat("No instance can be reached (last tried: ", address.ToString(),
                                  "); check --address and that pomelotrayd runs."),
                     std::nullopt};
      return Attempt::kTryNext;
    }
    *error = Error{call.repeatable ? ErrorKind::kUnavailable : ErrorKind::kOutcomeUnknown,
                   absl::StrCat("The connection to ", address.ToString(),
                                " ended without a response; the call may have taken effect, so "
                                "check its outcome before you repeat it."),
                   std::nullopt};
    return call.repeatable ? Attempt::kTryNext : Attempt::kFinal;
  }
  response->body = result->body;
  for (const auto& [name, value] : result->headers) {
    response->headers.emplace(absl::AsciiStrToLower(name), value);
  }
  if (result->status < kFirstErrorStatus) {
    return Attempt::kSucceeded;
  }
  *error = ParseError(result->status, result->body);
  return ShouldTryNextInstance(error->kind) ? Attempt::kTryNext : Attempt::kFinal;
}

Result<ApiCallResponse> ApiClient::Call(const ApiCall& call) const {
  call_attempted_ = true;
  Error error{ErrorKind::kUnavailable, "No address is set; use --address.", std::nullopt};
  for (const SocketAddress& address : addresses_) {
    ApiCallResponse response;
    Error attempt_error;
    const Attempt attempt = Try(address, call, &response, &attempt_error);
    if (attempt == Attempt::kSucceeded) {
      return response;
    }
    // Prefers an error with `retry_after`, which an instance reported, to the connection error of
    // an instance tried later.
    if (!error.retry_after.has_value() || attempt_error.retry_after.has_value()) {
      error = attempt_error;
    }
    if (attempt == Attempt::kFinal) {
      return Fail(attempt_error);
    }
  }
  return Fail(error);
}

Result<nlohmann::json> ApiClient::CallJson(const ApiCall& call) const {
  BOOST_LEAF_AUTO(response, Call(call));
  return ParseJson(response.body, "response of the instance");
}

Result<nlohmann::json> ApiClient::GetJson(const std::string& target) const {
  ApiCall call;
  call.target = target;
  return CallJson(call);
}

}  // namespace pomelotray
