#ifndef POMELOTRAY_REVIEW_WORLD_HTTP_H_
#define POMELOTRAY_REVIEW_WORLD_HTTP_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

// A small HTTP/1.1 server and client for the stand-ins of the review cases. Loopback only.
namespace review {

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  nlohmann::json body;
};

struct HttpReply {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
  // Close the connection without an answer.
  bool dropped = false;
};

HttpReply DroppedReply();

// Serves each connection on a thread of its own.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  // `port` 0 selects a free one.
  HttpServer(int port, Handler handler);
  ~HttpServer();
  int port() const { return port_; }
  // Closes the listener and resets all connections. Handlers in progress may still return.
  void Stop();

 private:
  struct Shared;

  std::shared_ptr<Shared> shared_;
  int port_ = 0;
  int listen_fd_ = -1;
  std::thread accept_thread_;
};

struct HttpResult {
  // 0: no complete answer.
  int status = 0;
  std::string body;
};

HttpResult CallHttp(int port, const std::string& method, const std::string& path,
                    const std::map<std::string, std::string>& headers, const std::string& body,
                    int timeout_ms);

// Returns a port such that it and the next one are free at present.
int FreePortPair();

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_HTTP_H_
