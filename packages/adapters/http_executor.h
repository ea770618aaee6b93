#ifndef POMELOTRAY_ADAPTERS_HTTP_EXECUTOR_H_
#define POMELOTRAY_ADAPTERS_HTTP_EXECUTOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "adapters/http_channel.h"
#include "ports/executor_port.h"

namespace pomelotray {

// Returns nullopt for anything but a whole, well-formed answer.
std::optional<ExecutorAnswer> DecodeExecutorAnswer(const nlohmann::json& json);
std::optional<ExecutorLoad> DecodeExecutorLoad(const nlohmann::json& json);

// Executors over HTTP/JSON. Thread-safe.
class HttpExecutor : public ExecutorPort {
 public:
  class Builder : public HttpOptionsBuilder<Builder> {
   public:
    std::unique_ptr<HttpExecutor> Build() const {
      return std::unique_ptr<HttpExecutor>(new HttpExecutor(options_));
    }
  };

  Result<ExecutorLoad> Fence(const std::string& address, const Epoch& epoch) override;
  Result<ExecutorAnswer> Call(const std::string& address, const ExecutorCall& call) override;

  // Answers dropped because they belonged to another request or attempt.
  int64_t dropped_answers() const { return channel_.dropped_answers(); }

 private:
  explicit HttpExecutor(const HttpOptions& options) : channel_(options) {}

  HttpChannel channel_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HTTP_EXECUTOR_H_
