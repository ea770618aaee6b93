#include "platform/http_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "peer/socket.h"
#include "platform/http_loop.h"

namespace pomelotray::platform {
namespace {

constexpr absl::Duration kTimeout = absl::Milliseconds(400);
constexpr int kPollMs = 2000;
constexpr char kSmallAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\": 1}";

// The other side of a connection, played by the test.
class PeerSocket {
 public:
  explicit PeerSocket(FileDescriptor socket) : socket_(std::move(socket)) {}

  // What arrives in one read; empty when the caller has closed.
  std::string Read() {
    pollfd entry{socket_.get(), POLLIN, 0};
    std::array<char, 4096> bytes;
    const ssize_t count =
        poll(&entry, 1, kPollMs) > 0 ? recv(socket_.get(), bytes.data(), bytes.size(), 0) : 0;
    return std::string(bytes.data(), count > 0 ? static_cast<size_t>(count) : 0);
  }
  void Write(const std::string& text) {
    BOOST_TEST(send(socket_.get(), text.data(), text.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(text.size()));
  }

 private:
  FileDescriptor socket_;
};

// Accepts connections one after the other and plays a script with each.
class ScriptedServer {
 public:
  using Script = std::function<void(PeerSocket*)>;

  explicit ScriptedServer(std::vector<Script> scripts) {
    Outcome<FileDescriptor> listener = Capture([] { return ListenOn("127.0.0.1:0"); });
    BOOST_REQUIRE(listener.ok());
    listener_ = std::move(listener.value());
    thread_ = std::thread([this, scripts = std::move(scripts)] {
      for (const Script& script : scripts) {
        pollfd entry{listener_.get(), POLLIN, 0};
        std::string remote;
        if (poll(&entry, 1, kPollMs) > 0) {
          PeerSocket peer(AcceptFrom(listener_, &remote));
          script(&peer);
        }
      }
    });
  }
  ~ScriptedServer() { thread_.join(); }

  std::string address() const { return absl::StrCat("127.0.0.1:", LocalPort(listener_)); }

 private:
  FileDescriptor listener_;
  std::thread thread_;
};

HttpRequest Order(const std::string& text) {
  HttpRequest request;
  request.path = "/order";
  request.body = {{"text", text}};
  request.headers = {{"X-Target", "w-1"}};
  request.timeout = kTimeout;
  return request;
}

// The client whose calls block their thread.
class BlockingClient {
 public:
  explicit BlockingClient(const std::string& address) : connection_(address) {}

  Outcome<HttpAnswer> Call() {
    fresh_ = connection_.IsClosed();
    return Capture([this] { return connection_.Call(Order("x")); });
  }
  // The last call opened a connection.
  bool fresh() const { return fresh_; }

 private:
  HttpConnection connection_;
  bool fresh_ = false;
};

// The client whose calls share one thread.
class LoopClient {
 public:
  explicit LoopClient(const std::string& address)
      : connection_(std::make_shared<LoopConnection>(&loop_, address)) {}

  Outcome<HttpAnswer> Call() {
    absl::Notification ended;
    Outcome<HttpAnswer> result = HttpAnswer();
    connection_->Call(
        [this](bool fresh) {
          fresh_ = fresh;
          return Order("x");
        },
        [&](const Outcome<HttpAnswer>& answer) {
          result = answer;
          ended.Notify();
        });
    ended.WaitForNotification();
    return result;
  }
  bool fresh() const { return fresh_; }

 private:
  HttpLoop loop_;
  const std::shared_ptr<LoopConnection> connection_;
  bool fresh_ = false;
};

using Clients = boost::mpl::list<BlockingClient, LoopClient>;

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against a request that leaves in pieces: each costs the owner of a pool a system call, and
// the worker a wake-up.
BOOST_AUTO_TEST_CASE_TEMPLATE(RequestIsOneWrite, Client, Clients) {
  std::string seen;
  ScriptedServer server({[&seen](PeerSocket* peer) {
    seen = peer->Read();
    peer->Write(kSmallAnswer);
  }});
  Client connection(server.address());
  const Outcome<HttpAnswer> answer = connection.Call();
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer.value().status == 200);
  BOOST_TEST(answer.value().body.at("a").get<int>() == 1);
  BOOST_TEST(seen.find("POST /order HTTP/1.1\r\n") == 0U);
  BOOST_TEST(seen.find("X-Target: w-1\r\n") != std::string::npos);
  BOOST_TEST(seen.find("Content-Length: 12\r\n") != std::string::npos);
  BOOST_TEST(seen.substr(seen.size() - 12) == "{\"text\":\"x\"}");
}

// Guards against an answer that is misread because it arrives in pieces or in chunks.
BOOST_AUTO_TEST_CASE_TEMPLATE(AnswerInPiecesIsReadWhole, Client, Clients) {
  const std::string chunked =
      "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"b\"\r\n4\r\n: 2}\r\n0\r\n"
      "\r\n";
  ScriptedServer server({[&chunked](PeerSocket* peer) {
    peer->Read();
    for (const char c : std::string(kSmallAnswer)) {
      peer->Write(std::string(1, c));
      absl::SleepFor(absl::Milliseconds(1));
    }
    peer->Read();
    peer->Write(chunked.substr(0, 60));
    absl::SleepFor(absl::Milliseconds(20));
    peer->Write(chunked.substr(60));
  }});
  Client connection(server.address());
  const Outcome<HttpAnswer> first = connection.Call();
  BOOST_REQUIRE(first.ok());
  BOOST_TEST(first.value().body.at("a").get<int>() == 1);
  const Outcome<HttpAnswer> second = connection.Call();
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(second.value().status == 409);
  BOOST_TEST(second.value().body.at("b").get<int>() == 2);
}

// Guards against an order whose outcome becomes unknown because the worker had closed the idle
// connection.
BOOST_AUTO_TEST_CASE_TEMPLATE(ConnectionClosedWhileIdleIsOpenedAgain, Client, Clients) {
  const ScriptedServer::Script answer_once = [](PeerSocket* peer) {
    peer->Read();
    peer->Write(kSmallAnswer);
  };
  ScriptedServer server({answer_once, answer_once});
  Client connection(server.address());
  BOOST_TEST(connection.Call().ok());
  absl::SleepFor(absl::Milliseconds(50));
  BOOST_TEST(connection.Call().ok());
}

// Guards against answers to other calls: what arrives unasked ends the connection.
BOOST_AUTO_TEST_CASE_TEMPLATE(UnaskedBytesEndTheConnection, Client, Clients) {
  ScriptedServer server({[](PeerSocket* peer) {
                           peer->Read();
                           peer->Write(kSmallAnswer);
                           absl::SleepFor(absl::Milliseconds(20));
                           peer->Write("HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n");
                           peer->Read();
                         },
                         [](PeerSocket* peer) {
                           peer->Read();
                           peer->Write(kSmallAnswer);
                         }});
  Client connection(server.address());
  BOOST_TEST(connection.Call().ok());
  absl::SleepFor(absl::Milliseconds(60));
  const Outcome<HttpAnswer> second = connection.Call();
  BOOST_TEST(connection.fresh());
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(second.value().status == 200);
}

// Guards against refusals that are not true: once a request may have arrived, its outcome is
// unknown, whatever became of the answer.
BOOST_AUTO_TEST_CASE_TEMPLATE(RequestWithoutAnswerHasUnknownOutcome, Client, Clients) {
  for (const std::string text :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", "nonsense\r\n\r\n"}) {
    ScriptedServer server({[&text](PeerSocket* peer) {
      peer->Read();
      if (!text.empty()) {
        peer->Write(text);
      }
    }});
    Client connection(server.address());
    const Outcome<HttpAnswer> answer = connection.Call();
    BOOST_REQUIRE(!answer.ok());
    BOOST_TEST((answer.error().kind == ErrorKind::kOutcomeUnknown));
    connection.Call();
    BOOST_TEST(connection.fresh());
  }
}

// Guards against threads that wait for ever on a connection that went silent.
BOOST_AUTO_TEST_CASE_TEMPLATE(SilentPeerEndsTheCallInTime, Client, Clients) {
  ScriptedServer server({[](PeerSocket* peer) {
    peer->Read();
    peer->Read();
  }});
  Client connection(server.address());
  const absl::Time begun = absl::Now();
  const Outcome<HttpAnswer> answer = connection.Call();
  BOOST_REQUIRE(!answer.ok());
  BOOST_TEST((answer.error().kind == ErrorKind::kOutcomeUnknown));
  BOOST_TEST(absl::ToInt64Milliseconds(absl::Now() - begun) >= absl::ToInt64Milliseconds(kTimeout));
}

// Guards against a refused connection that counts as a request that may have been carried out.
BOOST_AUTO_TEST_CASE_TEMPLATE(RefusedConnectionWasNotSent, Client, Clients) {
  std::string address;
  {
    ScriptedServer server({});
    address = server.address();
  }
  Client connection(address);
  const Outcome<HttpAnswer> answer = connection.Call();
  BOOST_REQUIRE(!answer.ok());
  BOOST_TEST((answer.error().kind == ErrorKind::kUnavailable));
  Client unnamed("no address");
  const Outcome<HttpAnswer> other = unnamed.Call();
  BOOST_REQUIRE(!other.ok());
  BOOST_TEST((other.error().kind == ErrorKind::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
