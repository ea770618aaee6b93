#ifndef POMELOTRAY_TESTS_PLATFORM_SCRIPTED_SERVER_H_
#define POMELOTRAY_TESTS_PLATFORM_SCRIPTED_SERVER_H_

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "peer/socket.h"

namespace pomelotray::platform {

inline constexpr int kPollMs = 2000;
// Clients may decode megabytes between two connections.
inline constexpr int kAcceptPollMs = 20'000;
// Timeout of clients in tests that are not about timeouts. On a busy machine a thread may stand
// still for a second.
inline constexpr absl::Duration kPatientTimeout = absl::Seconds(20);

// The server's end of a connection, controlled by the test.
class PeerSocket {
 public:
  explicit PeerSocket(FileDescriptor socket) : socket_(std::move(socket)) {}

  // Returns the bytes of one read. Empty if the client closed the connection or nothing arrived
  // within kPollMs.
  std::string Read() {
    pollfd entry{socket_.get(), POLLIN, 0};
    std::array<char, 4096> bytes;
    const ssize_t count =
        poll(&entry, 1, kPollMs) > 0 ? recv(socket_.get(), bytes.data(), bytes.size(), 0) : 0;
    return std::string(bytes.data(), count > 0 ? static_cast<size_t>(count) : 0);
  }
  // Sends all of `text`, in several writes if the socket's buffer is too small.
  void Write(const std::string& text) {
    size_t sent = 0;
    for (pollfd entry{socket_.get(), POLLOUT, 0};
         sent < text.size() && poll(&entry, 1, kPollMs) > 0;) {
      const ssize_t count =
          send(socket_.get(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        break;
      }
      sent += static_cast<size_t>(count);
    }
    BOOST_TEST(sent == text.size());
  }

 private:
  FileDescriptor socket_;
};

// Accepts connections sequentially and runs one script on each.
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
        if (poll(&entry, 1, kAcceptPollMs) > 0) {
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

// Returns a response with the JSON text `body` after which the server closes the connection.
inline std::string LastResponse(const std::string& body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

// Serves the JSON texts `bodies` in turn, each on a connection of its own.
inline std::vector<ScriptedServer::Script> ServeInTurn(const std::vector<std::string>& bodies) {
  std::vector<ScriptedServer::Script> scripts;
  for (const std::string& body : bodies) {
    scripts.push_back([body](PeerSocket* peer) {
      peer->Read();
      peer->Write(LastResponse(body));
    });
  }
  return scripts;
}

}  // namespace pomelotray::platform

#endif  // POMELOTRAY_TESTS_PLATFORM_SCRIPTED_SERVER_H_
