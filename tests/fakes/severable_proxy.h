#ifndef POMELOTRAY_TESTS_FAKES_SEVERABLE_PROXY_H_
#define POMELOTRAY_TESTS_FAKES_SEVERABLE_PROXY_H_

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "peer/socket.h"

namespace pomelotray {

// Forwards TCP connections to a server. Severed connections stay open but carry nothing any more,
// in either direction, as after a path between two hosts has lost its state. Later connections
// work.
class SeverableProxy {
 public:
  explicit SeverableProxy(std::string server) : server_(std::move(server)) {
    Outcome<FileDescriptor> listener = Capture([] { return ListenOn("127.0.0.1:0"); });
    BOOST_REQUIRE(listener.ok());
    listener_ = std::move(listener.value());
    thread_ = std::thread([this] { Run(); });
  }
  ~SeverableProxy() {
    stopping_ = true;
    thread_.join();
  }

  std::string address() const { return absl::StrCat("127.0.0.1:", LocalPort(listener_)); }

  void SeverAll() {
    absl::MutexLock lock(&mutex_);
    for (Pair& pair : pairs_) {
      pair.severed = true;
    }
  }
  size_t accepted() const {
    absl::MutexLock lock(&mutex_);
    return pairs_.size();
  }

 private:
  static constexpr int kPollMs = 2;

  struct Pair {
    FileDescriptor client;
    FileDescriptor server;
    bool severed = false;
  };

  void Run() {
    while (!stopping_) {
      pollfd entry{listener_.get(), POLLIN, 0};
      poll(&entry, 1, kPollMs);
      Accept();
      absl::MutexLock lock(&mutex_);
      for (Pair& pair : pairs_) {
        if (!pair.severed) {
          Forward(&pair.client, &pair.server);
          Forward(&pair.server, &pair.client);
        }
      }
    }
  }

  void Accept() {
    std::string remote;
    FileDescriptor client = AcceptFrom(listener_, &remote);
    if (!client.valid()) {
      return;
    }
    Outcome<FileDescriptor> server = Capture([this] { return BeginConnect(server_); });
    if (server.ok()) {
      pollfd entry{server.value().get(), POLLOUT, 0};
      poll(&entry, 1, /*timeout=*/1000);
      absl::MutexLock lock(&mutex_);
      pairs_.push_back(Pair{std::move(client), std::move(server.value()), false});
    }
  }

  // Closes both ends once one of them is closed.
  static void Forward(FileDescriptor* from, FileDescriptor* to) {
    std::array<char, 16'384> bytes;
    if (!from->valid() || !to->valid()) {
      return;
    }
    const ssize_t count = recv(from->get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
      send(to->get(), bytes.data(), static_cast<size_t>(count), MSG_NOSIGNAL);
    } else if (count == 0) {
      from->Close();
      to->Close();
    }
  }

  const std::string server_;
  FileDescriptor listener_;
  std::atomic<bool> stopping_ = false;
  mutable absl::Mutex mutex_;
  std::vector<Pair> pairs_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_FAKES_SEVERABLE_PROXY_H_
