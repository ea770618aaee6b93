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
  // The part of the path that matched the capture group of the pattern.
  std::string match;
  nlohmann::json body;
  // Whether the answer has to name another request or attempt (FaultMode::kMisdirect).
  bool misdirect = false;
};

struct StandinResponse {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

// Returns an error response with the body {"error", "message"}.
StandinResponse Refuse(int status, const char* error, const std::string& message);

// HTTP/JSON server of a stand-in. Listens on 127.0.0.1 and provides /healthz, /traffic and /fault.
class StandinServer {
 public:
  using Handler = std::function<StandinResponse(const StandinRequest&)>;

  StandinServer(const Clock* clock, HybridClock* hybrid_clock);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  // Registers a handler of the simulated interface, to which faults apply. `method` is GET, POST,
  // PUT or PATCH.
  void Handle(const std::string& method, const std::string& pattern, Handler handler);
  // Registers a handler for the test harness, to which no faults apply.
  void HandleControl(const std::string& method, const std::string& pattern, Handler handler);

  // Binds the port and starts serving; port 0 selects a free one. Returns false if the port is in
  // use.
  bool Start(int port);
  // Stops the server after the calls in progress have finished.
  void Stop();
  int port() const;
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int connections() const;

 private:
  struct Impl;
  void Add(const std::string& method, const std::string& pattern, Handler handler,
           bool inject_faults);

  const std::unique_ptr<Impl> impl_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_STANDIN_SERVER_H_
