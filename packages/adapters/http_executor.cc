#include "adapters/http_executor.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/wire_json.h"
#include "base/json_number.h"

namespace pomelotray {

std::optional<ExecutorAnswer> DecodeExecutorAnswer(const nlohmann::json& json) {
  const std::optional<std::string> request = wire::ReadString(json, "request");
  const std::optional<std::string> attempt = wire::ReadString(json, "attempt");
  std::optional<std::string> body = wire::ReadBytes(json, "body");
  const std::optional<absl::Duration> service_time = wire::ReadMillis(json, "service_ms");
  if (!request || !attempt || !body || !service_time) {
    return std::nullopt;
  }
  return ExecutorAnswer{RequestId(*request), AttemptId(*attempt), std::move(*body), *service_time};
}

std::optional<ExecutorLoad> DecodeExecutorLoad(const nlohmann::json& json) {
  const std::optional<std::string> boot = wire::ReadString(json, "boot");
  const std::optional<bool> leaving = wire::ReadBool(json, "leaving");
  const std::optional<int64_t> busy = wire::ReadInt(json, "busy_slots", 0, kMaxJsonCount);
  if (!boot || boot->empty() || !leaving || !busy) {
    return std::nullopt;
  }
  return ExecutorLoad{BootId(*boot), *leaving, *busy};
}

Result<ExecutorLoad> HttpExecutor::Fence(const std::string& address, const Epoch& epoch) {
  HttpCall call;
  call.path = "/executor/fence";
  call.body = {{"epoch", wire::ToJson(epoch)}};
  call.timeout = channel_.options().call_timeout;
  BOOST_LEAF_AUTO(json, channel_.Call(address, call));
  std::optional<ExecutorLoad> load = DecodeExecutorLoad(json);
  if (!load) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("The answer of the executor at ", address,
                             " is malformed; check which program listens there."));
  }
  return std::move(*load);
}

Result<ExecutorAnswer> HttpExecutor::Call(const std::string& address, const ExecutorCall& call) {
  if (call.timeout <= absl::ZeroDuration()) {
    return Fail(ErrorKind::kDeadlineExceeded,
                absl::StrCat("The deadline of request ", call.request.value(),
                             " passed before it was sent; it did not run."));
  }
  HttpCall http;
  http.path = "/executor/call";
  http.body = {{"request", call.request.value()},
               {"attempt", call.attempt.value()},
               {"epoch", wire::ToJson(call.epoch)},
               {"body", wire::ToBase64(call.body)},
               {"timeout_ms", wire::ToMillis(call.timeout)}};
  http.timeout = call.timeout;
  http.echo = {{"request", call.request.value()}, {"attempt", call.attempt.value()}};
  BOOST_LEAF_AUTO(json, channel_.Call(address, http));
  std::optional<ExecutorAnswer> answer = DecodeExecutorAnswer(json);
  if (!answer) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("The answer to request ", call.request.value(), " from ", address,
                             " is malformed; the request may have run."));
  }
  return std::move(*answer);
}

}  // namespace pomelotray
