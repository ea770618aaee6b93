#ifndef REVIEW_WORLD_3_HTTP_SERVER_H_
#define REVIEW_WORLD_3_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace world {

struct HttpCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpAnswer {
  int status = 200;
  std::string body = "{}";
  // The connection ends without an answer.
  bool drop = false;
};

// Minimal HTTP/1.1 server for stand-ins: one thread for each connection. Close() ends it as the end
// of a process would: the port refuses connections and the open ones are closed at once.
class HttpServer {
 public:
  using Handler = std::function<HttpAnswer(const HttpCall&)>;

  // `port` 0 selects a free port below the range of outgoing connections.
  HttpServer(int port, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  bool IsOpen() const;
  void Close();
  // Listens on the same port again.
  void Open();

 private:
  void AcceptLoop(int listener);
  void Serve(int connection);

  const Handler handler_;
  int port_ = 0;
  mutable std::mutex mutex_;
  int listener_ = -1;
  std::set<int> connections_;
  std::thread accept_thread_;
};

// Sends one request on a connection of its own. Returns status 0 if there is no complete answer.
HttpAnswer SendHttp(const std::string& address, const std::string& method, const std::string& path,
                    const std::map<std::string, std::string>& headers, const std::string& body,
                    int timeout_ms);

}  // namespace world

#endif  // REVIEW_WORLD_3_HTTP_SERVER_H_
