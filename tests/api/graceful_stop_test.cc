#include <unistd.h>

#include <string>
#include <thread>
#include <utility>

#include "boost/test/unit_test.hpp"
#include "tests/api/api_fixture.h"

namespace pomelotray {
namespace {

// Runs a function on a thread and joins the thread on destruction, also when a failed check ends
// the test early.
class JoiningThread {
 public:
  template <typename F>
  explicit JoiningThread(F body) : thread_(std::move(body)) {}
  JoiningThread(const JoiningThread&) = delete;
  JoiningThread& operator=(const JoiningThread&) = delete;
  ~JoiningThread() { Join(); }
  void Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  std::thread thread_;
};

constexpr char kCustomerHeader[] = "Pomelotray-Customer: a\r\nPomelotray-Timeout-Ms: 9000\r\n";

void WaitForRequests(ApiFixture* api, int count) {
  for (int i = 0; i < 1000 && api->service.waiting_requests() < count; ++i) {
    api->clock.SleepFor(absl::Milliseconds(10));
  }
  BOOST_REQUIRE_EQUAL(api->service.waiting_requests(), count);
}

BOOST_AUTO_TEST_SUITE(GracefulStopTest)

// Guards against a graceful stop that aborts a request in flight or keeps accepting connections.
BOOST_AUTO_TEST_CASE(RequestInFlightIsFinished) {
  ApiFixture api;
  api.service.BlockRequests(true);
  HttpResult result;
  JoiningThread caller(
      [&] { result = api.Call("POST", "/v1/requests/p", "quote", "", kCustomerHeader); });
  WaitForRequests(&api, 1);
  api.server->BeginDrain();
  const HttpResult ready = api.Call("GET", "/readyz");
  BOOST_TEST(ready.status == 503);
  BOOST_TEST(ready.Json()["error"]["message"] == "The instance is stopping.");
  BOOST_TEST(api.Call("GET", "/v1/jobs").status == 200);

  JoiningThread stopper([&] { api.server->Stop(); });
  int client = api.Connect();
  for (int i = 0; i < 1000 && client >= 0; ++i) {
    close(client);
    api.clock.SleepFor(absl::Milliseconds(10));
    client = api.Connect();
  }
  BOOST_TEST(client == -1);
  BOOST_TEST(api.service.waiting_requests() == 1);
  api.service.BlockRequests(false);
  stopper.Join();
  caller.Join();
  BOOST_TEST(result.status == 200);
  BOOST_TEST(result.body == "answer to quote");
}

// Guards against a graceful stop that is delayed by idle connections or by requests that wait for a
// job, and against such a request being closed without a response.
BOOST_AUTO_TEST_CASE(IdleConnectionsAndWaitsEndEarly) {
  ApiFixture api;
  const std::string id =
      api.Call("POST", "/v1/jobs", api.JobBody("a", "k")).Json()["id"].get<std::string>();
  const int idle = api.Connect();
  HttpResult result;
  JoiningThread waiter(
      [&] { result = api.Call("GET", "/v1/jobs/" + id + "/wait?timeout_ms=60000"); });
  api.clock.SleepFor(absl::Milliseconds(100));
  const absl::Time start = api.clock.Now();
  api.server->Stop();
  waiter.Join();
  close(idle);
  // Below both the 60 s timeout of the waiting request and the 15 s idle timeout.
  BOOST_TEST((api.clock.Now() - start < absl::Seconds(12)));
  // Either the waiting request got a response, or its connection was not accepted before the stop.
  BOOST_TEST((result.status == 0 || result.Json()["state"] == "queued"));
}

// Guards against a server that cannot be restarted in the same process, and against a listen error
// that does not state its cause.
BOOST_AUTO_TEST_CASE(PortInUseIsReported) {
  ApiFixture api;
  prometheus::Registry registry;
  const std::unique_ptr<HttpApiServer> second =
      HttpApiServer::Builder({&api.service, &api.events, &api.clock, &registry}).Build();
  const std::string address = "127.0.0.1:" + std::to_string(api.server->port());
  const Outcome<void> started = Capture([&] {
    return second->Start({"127.0.0.1", api.server->port()});
  });
  BOOST_REQUIRE(!started.ok());
  BOOST_TEST(started.error().message ==
             "Listening on " + address +
                 " failed: Address already in use; choose a free local address with "
                 "--listen-address.");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
