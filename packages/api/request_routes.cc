#include "api/request_routes.h"

#include <utility>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/fault_list.h"
#include "model/identifier.h"

namespace pomelotray {
namespace {

constexpr int64_t kMaxTimeoutMs = 600'000;
constexpr char kCustomerHeader[] = "Pomelotray-Customer";
constexpr char kIdHeader[] = "Pomelotray-Request-Id";
constexpr char kTimeoutHeader[] = "Pomelotray-Timeout-Ms";
constexpr char kRepeatableHeader[] = "Pomelotray-Repeatable";
constexpr char kExecutorHeader[] = "Pomelotray-Executor";

std::string RandomRequestId() {
  absl::BitGen random;
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(random), absl::kZeroPad16),
                      absl::Hex(absl::Uniform<uint64_t>(random), absl::kZeroPad16));
}

void ReadCustomer(const Principal& principal, const std::string& header, FaultList* faults,
                  InteractiveRequest* request) {
  if (!principal.is_operator) {
    request->customer = principal.customer;
    if (!header.empty() && header != principal.customer.value()) {
      faults->Add(kCustomerHeader, "differs from the customer of the token", "omit the header");
    }
    return;
  }
  request->customer = CustomerId(header);
  if (!IsIdentifier(header)) {
    faults->Add(kCustomerHeader, header.empty() ? "is missing" : "is not an identifier",
                "name the customer for whom an operator sends the request");
  }
}

void ReadRepeatable(const std::string& header, FaultList* faults, InteractiveRequest* request) {
  if (!header.empty() && header != "true" && header != "false") {
    faults->Add(kRepeatableHeader, "is neither \"true\" nor \"false\"", "use one of them");
  }
  request->repeatable = header != "false";
}

}  // namespace

RequestRoutes::RequestRoutes(AdminService* service) : service_(service) {}

void RequestRoutes::AddTo(Router* router) {
  router->Add({"POST",
               "/v1/requests/{}",
               Access::kCaller,
               {},
               [this](const Principal& principal, const ApiRequest& request) {
                 return Send(principal, request);
               }});
}

Result<InteractiveRequest> RequestRoutes::Read(const Principal& principal,
                                               const ApiRequest& request) {
  FaultList faults;
  InteractiveRequest call;
  call.pool = PoolName(request.parameters.front());
  call.body = request.body;
  if (!IsIdentifier(call.pool.value())) {
    faults.Add("the pool in the path", "is not an identifier",
               "use 1 to 64 letters, digits, '-' and '_'");
  }
  ReadCustomer(principal, request.Header("pomelotray-customer"), &faults, &call);
  const std::string id = request.Header("pomelotray-request-id");
  call.id = RequestId(id.empty() ? RandomRequestId() : id);
  if (!IsIdempotencyKey(call.id.value())) {
    faults.Add(kIdHeader, "is not 1 to 128 printable ASCII characters",
               "shorten it or omit the header");
  }
  ReadRepeatable(request.Header("pomelotray-repeatable"), &faults, &call);
  const std::string timeout = request.Header("pomelotray-timeout-ms");
  int64_t timeout_ms = 0;
  if (!timeout.empty() &&
      (!absl::SimpleAtoi(timeout, &timeout_ms) || timeout_ms < 1 || timeout_ms > kMaxTimeoutMs)) {
    faults.Add(kTimeoutHeader, "is not a whole number in range",
               absl::StrCat("use 1 to ", kMaxTimeoutMs, " milliseconds"));
  }
  BOOST_LEAF_CHECK(faults.Check("request"));
  if (timeout_ms == 0) {
    BOOST_LEAF_AUTO(contract, service_->GetContract(call.customer));
    timeout_ms = std::min(absl::ToInt64Milliseconds(contract.default_deadline), kMaxTimeoutMs);
  }
  call.timeout = absl::Milliseconds(timeout_ms);
  return call;
}

Result<ApiReply> RequestRoutes::Send(const Principal& principal, const ApiRequest& request) {
  BOOST_LEAF_AUTO(call, Read(principal, request));
  BOOST_LEAF_AUTO(answer, service_->Request(call));
  if (answer.request != call.id) {
    return Fail(
        ErrorKind::kInternal,
        "The response has the ID of another request and was discarded; report this as a defect.");
  }
  ApiReply reply;
  reply.content_type = "application/octet-stream";
  reply.body = std::move(answer.body);
  reply.headers[kIdHeader] = answer.request.value();
  if (IsIdentifier(answer.executor.value())) {
    reply.headers[kExecutorHeader] = answer.executor.value();
  }
  return reply;
}

}  // namespace pomelotray
