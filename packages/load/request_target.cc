#include "load/request_target.h"

#include "adapters/wire_json.h"
#include "model/sha256.h"

namespace pomelotray {
namespace {

constexpr int kStatusOk = 200;
constexpr int64_t kDirectTimeoutMs = 10'000;

RequestOutcome CheckAnswer(const std::string& id, const std::string& body,
                           const std::string& answer) {
  const nlohmann::json json = nlohmann::json::parse(answer, nullptr, /*allow_exceptions=*/false);
  return wire::ReadString(json, "request") == id &&
                 wire::ReadString(json, "digest") == Sha256Hex(body)
             ? RequestOutcome::kAnswered
             : RequestOutcome::kWrongAnswer;
}

}  // namespace

RequestOutcome ApiRequestTarget::Call(const std::string& id, const std::string& body) {
  const LoadAnswer answer = client_.PostRequest(kRequestPool, kLoadCustomer, id, body);
  if (answer.status != kStatusOk) {
    return RequestOutcome::kFailed;
  }
  return answer.request_id == id ? CheckAnswer(id, body, answer.body)
                                 : RequestOutcome::kWrongAnswer;
}

RequestOutcome DirectRequestTarget::Call(const std::string& id, const std::string& body) {
  const nlohmann::json call = {{"request", id},
                               {"attempt", id + ".1"},
                               {"epoch", wire::ToJson(Epoch{})},
                               {"body", wire::ToBase64(body)},
                               {"timeout_ms", kDirectTimeoutMs}};
  const LoadAnswer answer = client_.Post("/executor/call", call.dump());
  if (answer.status != kStatusOk) {
    return RequestOutcome::kFailed;
  }
  return CheckAnswer(id, body, wire::ReadBytes(answer.Json(), "body").value_or(""));
}

}  // namespace pomelotray
