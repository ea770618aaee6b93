#include "standins/standin_server.h"

#include <httplib.h>

#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "standins/connection_threads.h"
#include "standins/fault_injector.h"
#include "standins/traffic_meter.h"

namespace pomelotray {
namespace {

constexpr char kJsonType[] = "application/json";
constexpr char kTimeHeader[] = "Pomelotray-Time";
// Exceeds the time for which the adapters keep idle connections open. Also limits the duration of
// Stop.
constexpr time_t kKeepAliveSeconds = 2;
// Sufficient for a value of 1 MB in base64 plus the other fields.
constexpr size_t kMaxRequestBytes = 4'000'000;

// Forwards connections to ConnectionThreads, which outlives this queue. cpp-httplib owns the queue.
class ThreadQueue : public httplib::TaskQueue {
 public:
  explicit ThreadQueue(ConnectionThreads* threads) : threads_(threads) {}
  void enqueue(std::function<void()> fn) override { threads_->Run(std::move(fn)); }
  void shutdown() override { threads_->Join(); }

 private:
  ConnectionThreads* const threads_;
};

// Replaces the default options of cpp-httplib, which set SO_REUSEPORT: binding a port that another
// process uses would then succeed instead of failing.
void ReuseAddressOnly(socket_t socket) {
  int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

// Announces the length of the whole answer, but sends only the first `sent` bytes and closes the
// connection.
void SendTruncated(const std::string& text, size_t sent, httplib::Response* response) {
  const std::string part = text.substr(0, sent);
  response->set_content_provider(text.size(), kJsonType,
                                 [part](size_t offset, size_t, httplib::DataSink& sink) {
                                   if (offset == 0 && !part.empty()) {
                                     sink.write(part.data(), part.size());
                                   }
                                   return false;
                                 });
}

}  // namespace

StandinResponse Refuse(int status, const char* error, const std::string& message) {
  return StandinResponse{status, {{"error", error}, {"message", message}}};
}

struct StandinServer::Impl {
  Impl(const Clock* the_clock, HybridClock* the_hybrid_clock)
      : clock(the_clock), hybrid_clock(the_hybrid_clock), faults(the_clock) {}

  void Serve(const Handler& handler, bool inject_faults, const httplib::Request& request,
             httplib::Response* response);
  void ObserveTime(const httplib::Request& request, httplib::Response* response);

  const Clock* const clock;
  HybridClock* const hybrid_clock;
  FaultInjector faults;
  TrafficMeter traffic;
  ConnectionThreads threads;
  httplib::Server server;
  std::thread listener;
  int port = 0;
};

void StandinServer::Impl::ObserveTime(const httplib::Request& request,
                                      httplib::Response* response) {
  int64_t remote = 0;
  if (absl::SimpleAtoi(request.get_header_value(kTimeHeader), &remote)) {
    hybrid_clock->Observe(HybridTime(remote));
  }
  response->set_header(kTimeHeader, std::to_string(hybrid_clock->Tick().value()));
}

void StandinServer::Impl::Serve(const Handler& handler, bool inject_faults,
                                const httplib::Request& request, httplib::Response* response) {
  const FaultPlan fault = inject_faults ? faults.Draw() : FaultPlan{};
  if (fault.mode == FaultMode::kSlow) {
    clock->SleepFor(fault.delay);
  }
  StandinRequest call;
  call.match = request.matches.size() > 1 ? request.matches[1].str() : "";
  call.misdirect = fault.mode == FaultMode::kMisdirect;
  if (!request.body.empty()) {
    call.body = nlohmann::json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  }
  ObserveTime(request, response);
  StandinResponse answer;
  if (fault.mode == FaultMode::kDown) {
    answer = Refuse(503, "unavailable",
                    "The stand-in simulates an outage; post the mode none to /fault to end it.");
  } else if (call.body.is_discarded()) {
    answer = Refuse(400, "invalid_argument", "The request body is not valid JSON.");
  } else {
    answer = handler(call);
  }
  if (fault.mode == FaultMode::kDelay) {
    clock->SleepFor(fault.delay);
  }
  ObserveTime(request, response);
  const std::string text =
      answer.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response->status = answer.status;
  if (fault.mode == FaultMode::kLoseAnswers) {
    SendTruncated(text, 0, response);
  } else if (fault.mode == FaultMode::kTruncate) {
    SendTruncated(text, text.size() / 2, response);
  } else {
    response->set_content(text, kJsonType);
  }
}

StandinServer::StandinServer(const Clock* clock, HybridClock* hybrid_clock)
    : impl_(std::make_unique<Impl>(clock, hybrid_clock)) {
  httplib::Server& server = impl_->server;
  ConnectionThreads* const threads = &impl_->threads;
  server.new_task_queue = [threads] { return new ThreadQueue(threads); };
  server.set_socket_options(ReuseAddressOnly);
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(1'000'000'000);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  server.set_payload_max_length(kMaxRequestBytes);
  server.set_logger([this](const httplib::Request& request, const httplib::Response& response) {
    impl_->traffic.Add(request, response);
  });
  HandleControl("GET", "/traffic", [this](const StandinRequest&) {
    return StandinResponse{200, impl_->traffic.ToJson()};
  });
  HandleControl("GET", "/healthz", [](const StandinRequest&) { return StandinResponse{}; });
  HandleControl("POST", "/fault", [this](const StandinRequest& request) {
    const std::string problem = impl_->faults.Set(request.body);
    return problem.empty() ? StandinResponse{} : Refuse(400, "invalid_argument", problem);
  });
}

StandinServer::~StandinServer() { Stop(); }

void StandinServer::Handle(const std::string& method, const std::string& pattern, Handler handler) {
  Add(method, pattern, std::move(handler), /*inject_faults=*/true);
}

void StandinServer::HandleControl(const std::string& method, const std::string& pattern,
                                  Handler handler) {
  Add(method, pattern, std::move(handler), /*inject_faults=*/false);
}

void StandinServer::Add(const std::string& method, const std::string& pattern, Handler handler,
                        bool inject_faults) {
  const httplib::Server::Handler serve = [this, handler = std::move(handler), inject_faults](
                                             const httplib::Request& request,
                                             httplib::Response& response) {
    impl_->Serve(handler, inject_faults, request, &response);
  };
  if (method == "GET") {
    impl_->server.Get(pattern, serve);
  } else if (method == "PUT") {
    impl_->server.Put(pattern, serve);
  } else if (method == "PATCH") {
    impl_->server.Patch(pattern, serve);
  } else {
    impl_->server.Post(pattern, serve);
  }
}

bool StandinServer::Start(int port) {
  if (port == 0) {
    impl_->port = impl_->server.bind_to_any_port("127.0.0.1");
  } else {
    impl_->port = impl_->server.bind_to_port("127.0.0.1", port) ? port : -1;
  }
  if (impl_->port < 0) {
    return false;
  }
  impl_->listener = std::thread([this] { impl_->server.listen_after_bind(); });
  // Wait for the listener, because Stop has no effect before it runs.
  while (!impl_->server.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

void StandinServer::Stop() {
  if (impl_->listener.joinable()) {
    impl_->server.stop();
    impl_->listener.join();
  }
}

int StandinServer::port() const { return impl_->port; }

int StandinServer::connections() const { return impl_->threads.active(); }

}  // namespace pomelotray
