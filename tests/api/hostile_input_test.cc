#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/test/unit_test.hpp"
#include "tests/api/api_fixture.h"

namespace pomelotray {
namespace {

HttpLimits ShortTimeouts() {
  HttpLimits limits;
  limits.idle_timeout = absl::Milliseconds(300);
  limits.receive_timeout = absl::Milliseconds(300);
  limits.send_timeout = absl::Milliseconds(500);
  limits.max_connections = 4;
  return limits;
}

int StatusOf(const std::string& bytes) { return ParseHttpResponse(bytes).status; }

BOOST_AUTO_TEST_SUITE(HostileInputTest)

// Guards against bodies, headers and paths that exhaust memory or the stack.
BOOST_AUTO_TEST_CASE(OversizedInputIsRefused) {
  ApiFixture api;
  const std::string largest(1024 * 1024, 'x');
  BOOST_TEST(api.Call("POST", "/v1/jobs", largest).Kind() == "invalid_argument");
  const HttpResult body = api.Call("POST", "/v1/jobs", largest + "x");
  BOOST_TEST(body.status == 413);
  BOOST_TEST(body.Json()["error"]["message"] ==
             "The body has 1048577 bytes; send at most 1048576.");
  BOOST_TEST(api.Call("GET", "/" + std::string(2000, 'a')).status == 414);
  BOOST_TEST(api.Call("GET", "/" + std::string(20'000, 'a')).status == 414);
  std::string headers;
  for (int i = 0; i < 1000; ++i) {
    absl::StrAppend(&headers, "X-Header-", i, ": ", std::string(100, 'x'), "\r\n");
  }
  const HttpResult many = api.Call("GET", "/healthz", "", "", headers);
  BOOST_TEST(many.status == 400);
  BOOST_TEST(many.Kind() == "invalid_argument");
  BOOST_TEST(api.Call("POST", "/v1/jobs", std::string(900'000, '[')).status == 400);
  BOOST_TEST(api.Call("GET", "/healthz").status == 200);
}

// Guards against request smuggling: requests whose body length or encoding the server and a proxy
// can interpret differently.
BOOST_AUTO_TEST_CASE(AmbiguousBodiesAreRefused) {
  ApiFixture api;
  const auto post = [&api](const std::string& headers, const std::string& body) {
    return StatusOf(api.Exchange("POST /v1/jobs HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body,
                                 absl::Seconds(5), true));
  };
  BOOST_TEST(post("Transfer-Encoding: chunked\r\n", "0\r\n\r\n") == 411);
  BOOST_TEST(post("Content-Length: 2\r\nContent-Encoding: gzip\r\n", "{}") == 415);
  BOOST_TEST(post("Content-Length: 2\r\nContent-Type: multipart/form-data; boundary=b\r\n", "{}") ==
             415);
  BOOST_TEST(post("Content-Length: 2\r\nContent-Length: 3\r\n", "{}") == 400);
  BOOST_TEST(post("Content-Length: -1\r\n", "{}") == 400);
  BOOST_TEST(post("Content-Length: 99999999999999999999\r\n", "{}") == 400);
  BOOST_TEST(post("", "") == 400);
}

// Guards against request smuggling: the body of a refused request being parsed as another request.
BOOST_AUTO_TEST_CASE(RestOfRefusedRequestIsNotServed) {
  ApiFixture api;
  const std::string hidden = "POST /v1/vms/hidden/drain HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const std::string& first :
       {std::string("POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        absl::StrCat("GET /healthz HTTP/1.1\r\nContent-Length: ", hidden.size(), "\r\n\r\n"),
        std::string("DELETE /v1/jobs HTTP/1.1\r\nContent-Length: 1\r\n\r\n"),
        std::string("POST /v1/jobs HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n")}) {
    api.Exchange(first + hidden, absl::Seconds(5), true);
    BOOST_TEST(api.service.drained().empty(), first);
  }
}

// Guards against pipelined requests whose responses are lost or sent out of order.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  ApiFixture api;
  const std::string answers = api.Exchange(
      "GET /healthz HTTP/1.1\r\n\r\nPOST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
      "GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n");
  const size_t first = answers.find("\"ok\"");
  const size_t second = answers.find("invalid_argument");
  const size_t third = answers.find("\"ready\"");
  BOOST_REQUIRE(third != std::string::npos);
  BOOST_TEST(first < second);
  BOOST_TEST(second < third);
}

// Guards against partial or compressed responses to requests with Range or Accept-Encoding headers.
BOOST_AUTO_TEST_CASE(AnswersAreWholeAndPlain) {
  ApiFixture api;
  const HttpResult result =
      api.Call("GET", "/healthz", "", "", "Range: bytes=0-3\r\nAccept-Encoding: gzip, br\r\n");
  BOOST_TEST(result.status == 200);
  BOOST_TEST(result.body == "{\"status\":\"ok\"}\n");
}

// Guards against clients that send nothing or only part of a request and so occupy threads forever,
// and against a server at its connection limit that leaves new clients waiting instead of refusing
// them.
BOOST_AUTO_TEST_CASE(SlowClientsLoseTheirConnection) {
  ApiFixture api("", ShortTimeouts());
  std::vector<int> clients;
  for (const char* sent : {"", "GET /heal", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\n{",
                           "GET /healthz HTTP/1.1\r\nX-A: "}) {
    clients.push_back(api.Connect());
    BOOST_REQUIRE(send(clients.back(), sent, std::string(sent).size(), MSG_NOSIGNAL) >= 0);
  }
  bool refused = false;
  bool served = false;
  for (int i = 0; i < 200 && !served; ++i) {
    const HttpResult result = api.Call("GET", "/healthz");
    refused = refused || (result.status == 503 && result.Kind() == "unavailable");
    served = result.status == 200;
    if (!served) {
      api.clock.SleepFor(absl::Milliseconds(50));
    }
  }
  BOOST_TEST(refused);
  BOOST_TEST(served);
  for (const int client : clients) {
    const SystemClock clock;
    const absl::Time start = clock.Now();
    ReadAll(client, absl::Seconds(10));
    BOOST_TEST((clock.Now() - start < absl::Seconds(10)));
  }
}

// Guards against malformed requests that crash or block the server. Requests are mutated at random.
BOOST_AUTO_TEST_CASE(FuzzedRequestsDoNotStopTheServer) {
  ApiFixture api("", ShortTimeouts());
  const std::vector<std::string> seeds = {
      "GET /v1/jobs/a.b.c HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer x\r\n\r\n",
      "POST /v1/jobs HTTP/1.1\r\nContent-Length: 20\r\n\r\n{\"customer\": \"a\", 1}",
      "PUT /v1/contracts/a?expected_revision=%zz&a=%00 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
      "POST /v1/requests/p HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
      "GET /v1/timeline?job=%F0%28&all=1 HTTP/1.1\r\nRange: bytes=-1\r\n\r\n"};
  BOOST_TEST(rc::check("fuzzed requests", [&] {
    std::string bytes = *rc::gen::elementOf(seeds);
    const int edits = *rc::gen::inRange(0, 12);
    for (int i = 0; i < edits && !bytes.empty(); ++i) {
      const size_t at = *rc::gen::inRange<size_t>(0, bytes.size());
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
          break;
        case 1:
          bytes.erase(at, *rc::gen::inRange<size_t>(1, 8));
          break;
        default:
          bytes.insert(at, *rc::gen::element<std::string>("\r\n", "\r\n\r\n", "%", "\xff", ":",
                                                          "Content-Length: 7\r\n", "/..//"));
      }
    }
    api.Exchange(bytes, absl::Seconds(10), true);
  }));
  BOOST_TEST(api.Call("GET", "/healthz").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
