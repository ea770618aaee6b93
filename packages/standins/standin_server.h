#ifndef POMELOTRAY_STANDINS_STANDIN_SERVER_H_
#define POMELOTRAY_STANDINS_STANDIN_SERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "base/hybrid_clock.h"

namespace pomelotray {

struct StandinRequest {
  // The part of the path that matched the pattern's group.
  std::string match;
  nlohmann::json body;
  // The answer is to name another request or attempt.
  bool misdirect = false;
};

struct StandinResponse {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

// A refusal: {"error", "message"}.
StandinResponse Refuse(int status, const char* error, const std::string& message);

// The HTTP/JSON server of a stand-in on 127.0.0.1, with /healthz, /traffic and /fault.
class StandinServer {
 public:
  using Handler = std::function<StandinResponse(const StandinRequest&)>;

  StandinServer(const Clock* clock, HybridClock* hybrid_clock);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  // Handlers of the interface itself; faults apply to them. `method` is GET, POST, PUT or PATCH.
  void Handle(const std::string& method, const std::string& pattern, Handler handler);
  // Handlers of the test harness, without faults.
  void HandleControl(const std::string& method, const std::string& pattern, Handler handler);

  // Binds and serves; port 0 picks a free one. Returns false when the port is taken.
  bool Start(int port);
  // Ends after the calls in progress.
  void Stop();
  int port() const;
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int connections() const;

 private:
  struct Impl;
  void Add(const std::string& method, const std::string& pattern, Handler handler, bool faulty);

  const std::unique_ptr<Impl> impl_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_STANDIN_SERVER_H_
