#include <string>

#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "boost/test/unit_test.hpp"
#include "model/contract_codec.h"
#include "model/sha256.h"
#include "tests/api/api_fixture.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr char kOperator[] = "operator-token";
constexpr char kSign[] = "sign-token";
constexpr char kMarket[] = "market-token";

// A server with an operator token and the contracts of two customers.
class TwoCustomers : public ApiFixture {
 public:
  TwoCustomers() : ApiFixture(kOperator) {
    Store(GenerousContract("sign-shop", Sha256Hex(kSign)));
    Store(GenerousContract("market", Sha256Hex(kMarket)));
  }

  void Store(const Contract& contract) {
    const Outcome<Contract> stored =
        Capture([&] { return service.ApplyContract(contract, Revision(0)); });
    BOOST_REQUIRE(stored.ok());
  }

  std::string Submit(const std::string& customer, const std::string& token) {
    const HttpResult result = Call("POST", "/v1/jobs", JobBody(customer, "order-1"), token);
    BOOST_REQUIRE_EQUAL(result.status, 200);
    return result.Json()["id"].get<std::string>();
  }
};

BOOST_AUTO_TEST_SUITE(RoutesTest)

// Guards against error responses with a wrong kind, HTTP status or retry delay.
BOOST_AUTO_TEST_CASE(EveryErrorKindHasItsStatus) {
  ApiFixture api;
  const std::map<std::string, int> statuses = {{"invalid_argument", 400},
                                               {"unauthenticated", 401},
                                               {"permission_denied", 403},
                                               {"not_found", 404},
                                               {"conflict", 409},
                                               {"idempotency_mismatch", 409},
                                               {"over_limit", 429},
                                               {"unplaceable", 422},
                                               {"deadline_unmeetable", 429},
                                               {"owner_unavailable", 503},
                                               {"store_unavailable", 503},
                                               {"outcome_unknown", 500},
                                               {"overloaded", 503},
                                               {"deadline_exceeded", 504},
                                               {"not_ready", 503},
                                               {"unavailable", 503},
                                               {"fenced", 503},
                                               {"internal", 500}};
  for (const auto& [name, status] : statuses) {
    api.service.FailWith(
        Error{*ParseErrorKind(name), "It failed; retry.", absl::Milliseconds(1500)});
    const HttpResult result = api.Call("POST", "/v1/jobs", api.JobBody("a", "k"));
    BOOST_TEST(result.status == status, name);
    BOOST_TEST(result.body == absl::StrCat(R"({"error":{"kind":")", name,
                                           R"(","message":"It failed; retry.",)",
                                           R"("retry_after_ms":1500}})", "\n"));
    BOOST_TEST(result.headers.at("Retry-After") == "2");
  }
}

// Guards against access without a valid token, and against a customer token that gives access to
// operator routes or to other customers' contracts.
BOOST_AUTO_TEST_CASE(AuthenticationMatrix) {
  TwoCustomers api;
  struct Row {
    std::string method;
    std::string target;
    int anonymous;
    int caller;
    int as_operator;
  };
  const std::vector<Row> rows = {{"GET", "/healthz", 200, 200, 200},
                                 {"GET", "/readyz", 200, 200, 200},
                                 {"GET", "/metrics", 401, 403, 200},
                                 {"GET", "/v1/jobs", 401, 200, 200},
                                 {"GET", "/v1/contracts", 401, 403, 200},
                                 {"GET", "/v1/contracts/sign-shop", 401, 200, 200},
                                 {"GET", "/v1/contracts/market", 401, 404, 200},
                                 {"PUT", "/v1/contracts/market", 401, 403, 400},
                                 {"GET", "/v1/instances", 401, 403, 200},
                                 {"GET", "/v1/workers", 401, 403, 200},
                                 {"POST", "/v1/vms/w/drain", 401, 403, 200},
                                 {"GET", "/v1/timeline", 401, 403, 200},
                                 {"POST", "/v1/requests/counter", 401, 200, 400}};
  for (const Row& row : rows) {
    BOOST_TEST(api.Call(row.method, row.target).status == row.anonymous, row.target);
    BOOST_TEST(api.Call(row.method, row.target, "", kSign).status == row.caller, row.target);
    BOOST_TEST(api.Call(row.method, row.target, "", kOperator).status == row.as_operator,
               row.target);
  }
  BOOST_TEST(api.Call("GET", "/v1/jobs", "", "wrong").status == 401);
  BOOST_TEST(api.Call("GET", "/v1/jobs", "", "", "Authorization: Basic b3A6\r\n").status == 401);
  BOOST_TEST(!api.events.Select({{event_field::kKind, "unauthenticated"}}).empty());
}

// Guards against a cached token that is still accepted after an operator has replaced it.
BOOST_AUTO_TEST_CASE(ReplacedTokenStopsWorking) {
  TwoCustomers api;
  BOOST_TEST(api.Call("GET", "/v1/jobs", "", kSign).status == 200);
  const Outcome<Contract> stored = Capture([&] {
    return api.service.ApplyContract(GenerousContract("sign-shop", Sha256Hex("new-token")),
                                     Revision(1));
  });
  BOOST_REQUIRE(stored.ok());
  BOOST_TEST(api.Call("GET", "/v1/jobs", "", kSign).status == 401);
  BOOST_TEST(api.Call("GET", "/v1/jobs", "", "new-token").status == 200);
}

// Guards against giving the operator access of loopback callers to requests that a proxy or a web
// page on the same machine sends.
BOOST_AUTO_TEST_CASE(LoopbackCallersAreOperatorsOnlyForThemselves) {
  ApiFixture api;
  BOOST_TEST(api.Call("GET", "/v1/workers").status == 200);
  BOOST_TEST(api.Call("GET", "/v1/workers", "", "wrong").status == 401);
  BOOST_TEST(api.Call("GET", "/v1/workers", "", "", "X-Forwarded-For: 10.0.0.1\r\n").status == 401);
  BOOST_TEST(api.Call("GET", "/v1/workers", "", "", "Origin: http://a.test\r\n").status == 401);
}

// Guards against a caller that reads or cancels the jobs of another customer, submits work in that
// customer's name, or finds out that a job exists.
BOOST_AUTO_TEST_CASE(OtherCustomersJobsLookAbsent) {
  TwoCustomers api;
  const std::string id = api.Submit("sign-shop", kSign);
  std::string absent = id;
  absent.back() = absent.back() == '0' ? '1' : '0';
  const auto expect_absent = [&api](const std::string& job) {
    const std::string body =
        absl::StrCat(R"({"error":{"kind":"not_found","message":"Job \")", job,
                     R"(\" does not exist; check the id.",)", R"("retry_after_ms":null}})", "\n");
    BOOST_TEST(api.Call("GET", "/v1/jobs/" + job, "", kMarket).body == body);
    BOOST_TEST(api.Call("POST", "/v1/jobs/" + job + "/cancel", "", kMarket).body == body);
    BOOST_TEST(api.Call("GET", "/v1/jobs/" + job + "/wait?timeout_ms=0", "", kMarket).body == body);
  };
  expect_absent(id);
  expect_absent(absent);
  BOOST_TEST(api.Call("GET", "/v1/jobs/" + id, "", kSign).Json()["state"] == "queued");
  BOOST_TEST(api.Call("GET", "/v1/jobs", "", kMarket).body == "{\"jobs\":[]}\n");
  BOOST_TEST(api.Call("GET", "/v1/jobs?customer=sign-shop", "", kMarket).status == 403);
  BOOST_TEST(api.Call("POST", "/v1/jobs", api.JobBody("sign-shop", "k"), kMarket).status == 403);
  BOOST_TEST(api.service.submissions() == 1);
  BOOST_TEST(
      api.Call("POST", "/v1/requests/rendering", "x", kMarket, "Pomelotray-Customer: sign-shop\r\n")
          .status == 400);
}

// Guards against a wait that returns before the job is final or does not return at its timeout.
BOOST_AUTO_TEST_CASE(WaitReturnsTheFinalState) {
  ApiFixture api;
  const std::string id =
      api.Call("POST", "/v1/jobs", api.JobBody("a", "k")).Json()["id"].get<std::string>();
  BOOST_TEST(api.Call("GET", "/v1/jobs/" + id + "/wait?timeout_ms=20").Json()["state"] == "queued");
  api.service.SetJobState(JobId(id), JobState::kSucceeded, "");
  BOOST_TEST(api.Call("GET", "/v1/jobs/" + id + "/wait").Json()["state"] == "succeeded");
  BOOST_TEST(api.Call("GET", "/v1/jobs/" + id + "/wait?timeout_ms=-1").status == 400);
  BOOST_TEST(api.Call("GET", "/v1/jobs/" + id + "/wait?timeout=5").Json()["error"]["message"] ==
             "Query parameter \"timeout\" is unknown; use timeout_ms.");
  BOOST_TEST(api.Call("POST", "/v1/jobs/" + id + "/cancel").Json()["state"] == "cancelled");
}

// Guards against lost updates when two operators change the same contract.
BOOST_AUTO_TEST_CASE(ContractsAreChangedByRevision) {
  ApiFixture api;
  json contract = ContractToJson(GenerousContract("sign-shop", ""));
  const std::string body = DumpJson(contract);
  BOOST_TEST(api.Call("PUT", "/v1/contracts/sign-shop", body).status == 400);
  const HttpResult first = api.Call("PUT", "/v1/contracts/sign-shop?expected_revision=0", body);
  BOOST_TEST(first.status == 200);
  BOOST_TEST(first.Json()["revision"] == 1);
  const HttpResult lost = api.Call("PUT", "/v1/contracts/sign-shop?expected_revision=0", body);
  BOOST_TEST(lost.status == 409);
  BOOST_TEST(lost.Kind() == "conflict");
  BOOST_TEST(api.Call("PUT", "/v1/contracts/other?expected_revision=0", body).status == 400);
  BOOST_TEST(api.Call("GET", "/v1/contracts/sign-shop").Json()["contract"] == contract);
  contract["weight"] = -1;
  const HttpResult bad =
      api.Call("PUT", "/v1/contracts/sign-shop?expected_revision=1", DumpJson(contract));
  BOOST_TEST(bad.status == 400);
  BOOST_TEST(!api.events.Select({{event_field::kKind, "invalid_argument"}}).empty());
}

// Guards against request bodies or headers that are changed between the client and the service.
BOOST_AUTO_TEST_CASE(RequestsCarryTheirHeaders) {
  TwoCustomers api;
  const std::string body("\0\xff\r\n raw", 8);
  const HttpResult result = api.Call("POST", "/v1/requests/counter", body, kSign,
                                     "Pomelotray-Request-Id: r-1\r\nPomelotray-Timeout-Ms: 250\r\n"
                                     "Pomelotray-Repeatable: false\r\n");
  BOOST_TEST(result.status == 200);
  BOOST_TEST(result.body == "answer to " + body);
  BOOST_TEST(result.headers.at("Pomelotray-Request-Id") == "r-1");
  BOOST_TEST(result.headers.at("Pomelotray-Executor") == "executor-1");
  const InteractiveRequest sent = api.service.last_request();
  BOOST_TEST(sent.customer.value() == "sign-shop");
  BOOST_TEST((sent.timeout == absl::Milliseconds(250)));
  BOOST_TEST(!sent.repeatable);
  BOOST_TEST(api.Call("POST", "/v1/requests/counter", "x", kSign).status == 200);
  BOOST_TEST((api.service.last_request().timeout == absl::Minutes(1)));
  BOOST_TEST(api.service.last_request().repeatable);
  BOOST_TEST(api.Call("POST", "/v1/requests/counter", "x", kSign,
                      "Pomelotray-Timeout-Ms: soon\r\nPomelotray-Repeatable: 1\r\n")
                 .Json()["error"]["message"] ==
             "The request is invalid: Pomelotray-Repeatable is neither \"true\" nor \"false\": use "
             "one of them; Pomelotray-Timeout-Ms is not a whole number in range: use 1 to 600000 "
             "milliseconds.");
}

// Guards against a load balancer sending requests to an instance that is not ready.
BOOST_AUTO_TEST_CASE(ReadinessTellsTheReason) {
  ApiFixture api;
  BOOST_TEST(api.Call("GET", "/readyz").body == "{\"status\":\"ready\"}\n");
  api.service.SetNotReady("No configuration was received yet.");
  const HttpResult result = api.Call("GET", "/readyz");
  BOOST_TEST(result.status == 503);
  BOOST_TEST(result.body ==
             "{\"error\":{\"kind\":\"not_ready\",\"message\":\"No configuration was received "
             "yet.\",\"retry_after_ms\":1000}}\n");
  BOOST_TEST(api.Call("GET", "/healthz").status == 200);
}

// Guards against routes missing from the metrics, and against request paths used as label values,
// which would make the number of time series unbounded.
BOOST_AUTO_TEST_CASE(MetricsCountByRouteAndStatus) {
  ApiFixture api;
  api.Call("GET", "/v1/jobs/unknown-1");
  api.Call("GET", "/v1/jobs/unknown-2");
  api.Call("GET", "/random/path");
  const std::string text = api.Call("GET", "/metrics").body;
  const auto contains = [&text](const std::string& line) {
    return text.find(line) != std::string::npos;
  };
  BOOST_TEST(contains("pomelotray_http_requests_total{route=\"/v1/jobs/{}\",status=\"404\"} 2"));
  BOOST_TEST(contains("pomelotray_http_requests_total{route=\"unmatched\",status=\"404\"} 1"));
  BOOST_TEST(contains("pomelotray_http_request_seconds_count{route=\"/v1/jobs/{}\"} 2"));
}

// Guards against an unsupported method getting the response for an unknown path.
BOOST_AUTO_TEST_CASE(MethodsAreChecked) {
  ApiFixture api;
  const HttpResult result = api.Call("PUT", "/v1/jobs");
  BOOST_TEST(result.status == 405);
  BOOST_TEST(result.headers.at("Allow") == "POST, GET");
  BOOST_TEST(api.Call("DELETE", "/v1/jobs").status == 405);
  BOOST_TEST(api.Call("GET", "/v1/nothing").status == 404);
  BOOST_TEST(api.Call("GET", "/v1/instances").Json()["instances"][0]["owned_shards"][0] ==
             "cuenca/rendering");
  BOOST_TEST(api.Call("GET", "/v1/workers").Json()["workers"][0]["reserved"]["cpu_millicores"] ==
             4000);
  BOOST_TEST(api.Call("GET", "/v1/timeline?all=1&job=j").Json()["events"].size() == 2U);
  BOOST_TEST(api.Call("POST", "/v1/vms/worker-1/drain").status == 200);
  BOOST_TEST(api.service.drained().front().value() == "worker-1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
