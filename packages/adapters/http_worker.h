#ifndef POMELOTRAY_ADAPTERS_HTTP_WORKER_H_
#define POMELOTRAY_ADAPTERS_HTTP_WORKER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http_channel.h"
#include "ports/worker_port.h"

namespace pomelotray {

// Workers over HTTP/JSON. Thread-safe.
class HttpWorker : public WorkerPort {
 public:
  class Builder : public HttpOptionsBuilder<Builder> {
   public:
    std::unique_ptr<HttpWorker> Build() const {
      return std::unique_ptr<HttpWorker>(new HttpWorker(options_));
    }
  };

  Result<WorkerInventory> Fence(const std::string& address, const InstanceId& owner,
                                const Epoch& epoch) override;
  Result<void> Start(const std::string& address, const TaskStart& start) override;
  Result<WorkerInventory> Heartbeat(const std::string& address,
                                    const WorkerHeartbeat& heartbeat) override;
  Result<void> Stop(const std::string& address, const AttemptId& attempt, const Epoch& epoch,
                    StopMode mode) override;

  // Answers dropped because they belonged to another attempt or epoch.
  int64_t dropped_answers() const { return channel_.dropped_answers() + other_epochs_.load(); }

 private:
  explicit HttpWorker(const HttpOptions& options) : channel_(options) {}

  Result<nlohmann::json> Post(const std::string& address, HttpCall call);
  // Calls whose answer names the attempt.
  Result<void> PostForAttempt(const std::string& address, const char* path, nlohmann::json body,
                              const AttemptId& attempt);

  HttpChannel channel_;
  // Fences answered with another epoch.
  std::atomic<int64_t> other_epochs_{0};
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HTTP_WORKER_H_
