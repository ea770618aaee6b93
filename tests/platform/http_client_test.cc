#include "platform/http_client.h"

#include <array>
#include <atomic>
#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "platform/http_loop.h"
#include "tests/fakes/severable_proxy.h"
#include "tests/platform/scripted_server.h"

namespace pomelotray::platform {
namespace {

constexpr absl::Duration kTimeout = absl::Milliseconds(400);
constexpr char kSmallResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\": 1}";

HttpRequest MakeOrderRequest(const std::string& text) {
  HttpRequest request;
  request.path = "/order";
  request.body = {{"text", text}};
  request.headers = {{"X-Target", "w-1"}};
  request.timeout = kTimeout;
  return request;
}

// Answers each read of any number of connections with `kSmallResponse`, after a pause that lets
// calls of several threads overlap.
class AnsweringServer {
 public:
  AnsweringServer() {
    Outcome<FileDescriptor> listener = Capture([] { return ListenOn("127.0.0.1:0"); });
    BOOST_REQUIRE(listener.ok());
    listener_ = std::move(listener.value());
    thread_ = std::thread([this] { Run(); });
  }
  ~AnsweringServer() {
    stopping_ = true;
    thread_.join();
  }
  std::string address() const { return absl::StrCat("127.0.0.1:", LocalPort(listener_)); }

 private:
  void Run() {
    std::vector<FileDescriptor> connections;
    std::array<char, 4096> bytes;
    while (!stopping_) {
      std::string remote;
      for (FileDescriptor peer = AcceptFrom(listener_, &remote); peer.valid();
           peer = AcceptFrom(listener_, &remote)) {
        connections.push_back(std::move(peer));
      }
      absl::SleepFor(kPause);
      for (const FileDescriptor& connection : connections) {
        if (recv(connection.get(), bytes.data(), bytes.size(), MSG_DONTWAIT) > 0) {
          send(connection.get(), kSmallResponse, sizeof(kSmallResponse) - 1, MSG_NOSIGNAL);
        }
      }
    }
  }

  static constexpr absl::Duration kPause = absl::Milliseconds(20);
  FileDescriptor listener_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// Adapts HttpConnection, whose calls block the calling thread, to the tests.
class BlockingClient {
 public:
  explicit BlockingClient(const std::string& address) : connection_(address) {}

  Outcome<HttpResponse> Call() {
    opened_connection_ = connection_.IsClosed();
    return Capture([this] { return connection_.Call(MakeOrderRequest("x")); });
  }
  // Returns whether the last call opened a connection.
  bool opened_connection() const { return opened_connection_; }

 private:
  HttpConnection connection_;
  bool opened_connection_ = false;
};

// Adapts AsyncHttpConnection, whose calls run on an event loop, to the tests.
class LoopClient {
 public:
  explicit LoopClient(const std::string& address)
      : connection_(std::make_shared<AsyncHttpConnection>(&loop_, address)) {}

  Outcome<HttpResponse> Call() {
    absl::Notification finished;
    Outcome<HttpResponse> result = HttpResponse();
    connection_->Call(
        [this](bool opened_connection) {
          opened_connection_ = opened_connection;
          return MakeOrderRequest("x");
        },
        [&](const Outcome<HttpResponse>& response) {
          result = response;
          finished.Notify();
        });
    finished.WaitForNotification();
    return result;
  }
  bool opened_connection() const { return opened_connection_; }

 private:
  HttpEventLoop loop_;
  const std::shared_ptr<AsyncHttpConnection> connection_;
  bool opened_connection_ = false;
};

using ClientTypes = boost::mpl::list<BlockingClient, LoopClient>;

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against a request that is sent in several writes. Each write costs the owner of a pool a
// system call, and the worker a wake-up.
BOOST_AUTO_TEST_CASE_TEMPLATE(RequestIsSentInOneWrite, Client, ClientTypes) {
  std::string received;
  ScriptedServer server({[&received](PeerSocket* peer) {
    received = peer->Read();
    peer->Write(kSmallResponse);
  }});
  Client client(server.address());
  const Outcome<HttpResponse> response = client.Call();
  BOOST_REQUIRE(response.ok());
  BOOST_TEST(response.value().status == 200);
  BOOST_TEST(response.value().body.at("a").get<int>() == 1);
  BOOST_TEST(received.find("POST /order HTTP/1.1\r\n") == 0U);
  BOOST_TEST(received.find("X-Target: w-1\r\n") != std::string::npos);
  BOOST_TEST(received.find("Content-Length: 12\r\n") != std::string::npos);
  BOOST_TEST(received.substr(received.size() - 12) == "{\"text\":\"x\"}");
}

// Guards against a response that is parsed wrongly because it arrives in several reads or uses
// chunked encoding.
BOOST_AUTO_TEST_CASE_TEMPLATE(SplitAndChunkedResponsesAreParsed, Client, ClientTypes) {
  const std::string chunked =
      "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"b\"\r\n4\r\n: 2}\r\n0\r\n"
      "\r\n";
  ScriptedServer server({[&chunked](PeerSocket* peer) {
    peer->Read();
    for (const char c : std::string(kSmallResponse)) {
      peer->Write(std::string(1, c));
      absl::SleepFor(absl::Milliseconds(1));
    }
    peer->Read();
    peer->Write(chunked.substr(0, 60));
    absl::SleepFor(absl::Milliseconds(20));
    peer->Write(chunked.substr(60));
  }});
  Client client(server.address());
  const Outcome<HttpResponse> first = client.Call();
  BOOST_REQUIRE(first.ok());
  BOOST_TEST(first.value().body.at("a").get<int>() == 1);
  const Outcome<HttpResponse> second = client.Call();
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(second.value().status == 409);
  BOOST_TEST(second.value().body.at("b").get<int>() == 2);
}

// Guards against an order whose outcome is unknown because it was sent on an idle connection that
// the worker had closed.
BOOST_AUTO_TEST_CASE_TEMPLATE(ConnectionClosedWhileIdleIsOpenedAgain, Client, ClientTypes) {
  const ScriptedServer::Script respond_once = [](PeerSocket* peer) {
    peer->Read();
    peer->Write(kSmallResponse);
  };
  ScriptedServer server({respond_once, respond_once});
  Client client(server.address());
  BOOST_TEST(client.Call().ok());
  absl::SleepFor(absl::Milliseconds(50));
  BOOST_TEST(client.Call().ok());
}

// Guards against a late response that is taken for the response to the next request. A connection
// on which bytes arrive without a request must be closed.
BOOST_AUTO_TEST_CASE_TEMPLATE(UnsolicitedBytesCloseTheConnection, Client, ClientTypes) {
  ScriptedServer server({[](PeerSocket* peer) {
                           peer->Read();
                           peer->Write(kSmallResponse);
                           absl::SleepFor(absl::Milliseconds(20));
                           peer->Write("HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n");
                           peer->Read();
                         },
                         [](PeerSocket* peer) {
                           peer->Read();
                           peer->Write(kSmallResponse);
                         }});
  Client client(server.address());
  BOOST_TEST(client.Call().ok());
  absl::SleepFor(absl::Milliseconds(60));
  const Outcome<HttpResponse> second = client.Call();
  BOOST_TEST(client.opened_connection());
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(second.value().status == 200);
}

// Guards against reporting that a request was not carried out although it may have been. Once a
// request may have arrived, a missing or malformed response means that its outcome is unknown.
BOOST_AUTO_TEST_CASE_TEMPLATE(RequestWithoutResponseHasUnknownOutcome, Client, ClientTypes) {
  for (const std::string text :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", "nonsense\r\n\r\n"}) {
    ScriptedServer server({[&text](PeerSocket* peer) {
      peer->Read();
      if (!text.empty()) {
        peer->Write(text);
      }
    }});
    Client client(server.address());
    const Outcome<HttpResponse> response = client.Call();
    BOOST_REQUIRE(!response.ok());
    BOOST_TEST((response.error().kind == ErrorKind::kOutcomeUnknown));
    client.Call();
    BOOST_TEST(client.opened_connection());
  }
}

// Guards against a call that waits forever on a connection whose server stops responding.
BOOST_AUTO_TEST_CASE_TEMPLATE(CallToUnresponsivePeerTimesOut, Client, ClientTypes) {
  ScriptedServer server({[](PeerSocket* peer) {
    peer->Read();
    peer->Read();
  }});
  Client client(server.address());
  const absl::Time start = absl::Now();
  const Outcome<HttpResponse> response = client.Call();
  BOOST_REQUIRE(!response.ok());
  BOOST_TEST((response.error().kind == ErrorKind::kOutcomeUnknown));
  BOOST_TEST(absl::ToInt64Milliseconds(absl::Now() - start) >= absl::ToInt64Milliseconds(kTimeout));
}

// Guards against calls that time out one after the other, each on another idle connection, after
// all connections have gone silent without a reset.
BOOST_AUTO_TEST_CASE(OneTimeoutClosesAllConnectionsThatWereIdleBefore) {
  constexpr int kParallelCalls = 4;
  AnsweringServer server;
  SeverableProxy proxy(server.address());
  HttpConnectionPool pool(proxy.address());
  const auto call = [&pool] { return Capture([&] { return pool.Call(MakeOrderRequest("x")); }); };
  HttpRequest patient = MakeOrderRequest("x");
  patient.timeout = kPatientTimeout;
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  callers.reserve(kParallelCalls);
  for (int i = 0; i < kParallelCalls; ++i) {
    callers.emplace_back(
        [&] { answered += Capture([&] { return pool.Call(patient); }).ok() ? 1 : 0; });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(answered == kParallelCalls);
  const size_t opened = proxy.accepted();
  BOOST_TEST(opened > 1U);
  proxy.SeverAll();
  BOOST_TEST(!call().ok());
  BOOST_TEST(Capture([&] { return pool.Call(patient); }).ok());
  BOOST_TEST(proxy.accepted() == opened + 1);
}

// Guards against a timeout that exceeds the range of poll() and is taken for a short one.
BOOST_AUTO_TEST_CASE(VeryLongTimeoutsAreNotCutToShortOnes) {
  ScriptedServer server({[](PeerSocket* peer) {
    peer->Read();
    absl::SleepFor(absl::Milliseconds(50));
    peer->Write(kSmallResponse);
  }});
  HttpConnection connection(server.address());
  HttpRequest request = MakeOrderRequest("x");
  request.timeout = absl::Milliseconds(int64_t{1} << 32);
  BOOST_TEST(Capture([&] { return connection.Call(request); }).ok());
}

// Guards against a refused connection that is reported as a request that may have been carried out.
BOOST_AUTO_TEST_CASE_TEMPLATE(RefusedConnectionIsReportedAsNotSent, Client, ClientTypes) {
  std::string address;
  {
    ScriptedServer server({});
    address = server.address();
  }
  Client client(address);
  const Outcome<HttpResponse> response = client.Call();
  BOOST_REQUIRE(!response.ok());
  BOOST_TEST((response.error().kind == ErrorKind::kUnavailable));
  Client invalid_address_client("no address");
  const Outcome<HttpResponse> other = invalid_address_client.Call();
  BOOST_REQUIRE(!other.ok());
  BOOST_TEST((other.error().kind == ErrorKind::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
