#ifndef POMELOTRAY_REVIEW_WORLD_2_HTTP_SERVER_H_
#define POMELOTRAY_REVIEW_WORLD_2_HTTP_SERVER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  nlohmann::json body;
  // Header names are in lower case.
  std::map<std::string, std::string> headers;
};

struct Reply {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

// A small HTTP/1.1 server on a loopback address with one thread for each connection. A handler that
// returns no reply leaves the call without an answer and the connection open and silent.
class HttpServer {
 public:
  using Handler = std::function<std::optional<Reply>(const Request&)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();

  // Listens on the port, or on a free one below the range of outgoing connections if it is 0.
  // Returns false if that is not possible.
  bool Listen(int port);
  // Resets all connections and refuses new ones, as the end of a process does.
  void Close();
  int port() const { return port_; }
  std::string address() const;

 private:
  struct State {
    std::mutex mutex;
    std::set<int> connections;
    bool closed = false;
    int threads = 0;
    Handler handler;
  };

  static void Accept(const std::shared_ptr<State>& state, int listener);
  static void Serve(const std::shared_ptr<State>& state, int connection);

  Handler handler_;
  std::shared_ptr<State> state_;
  int listener_ = -1;
  int port_ = 0;
};

// Returns a port that is free on the address now, below the range of outgoing connections.
int FreePort(const std::string& ip);

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_2_HTTP_SERVER_H_
