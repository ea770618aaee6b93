#ifndef POMELOTRAY_ADAPTERS_HTTP_CHANNEL_H_
#define POMELOTRAY_ADAPTERS_HTTP_CHANNEL_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "adapters/host_port.h"
#include "adapters/http_options.h"
#include "base/error.h"

namespace pomelotray {

// One HTTP/JSON call and how its failures are reported.
struct HttpCall {
  std::string method = "POST";
  std::string path;
  nlohmann::json body;
  absl::Duration timeout;
  // The call did not reach the other side, or that side says that it did nothing.
  ErrorKind no_effect = ErrorKind::kUnavailable;
  // The call was sent and no whole answer came. Equals `no_effect` for calls that change nothing.
  ErrorKind no_answer = ErrorKind::kOutcomeUnknown;
  // Fields that name the request or attempt. An answer in which one of them has another value is
  // dropped and counted.
  std::map<std::string, std::string> echo;
};

// Makes HTTP/JSON calls and reuses connections. Each call in progress holds a connection of its
// own, so a call that waits does not block others. Never sends a call twice. Thread-safe.
class HttpChannel {
 public:
  explicit HttpChannel(const HttpOptions& options);
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;

  // Returns the JSON object of a 200 answer.
  Result<nlohmann::json> Call(const std::string& address, const HttpCall& call);

  const HttpOptions& options() const { return options_; }

  // Answers dropped because they belonged to another request or attempt.
  int64_t dropped_answers() const { return dropped_answers_.load(); }

  // Idle connections, for tests.
  size_t idle_connections() const;

 private:
  // Hides cpp-httplib, whose header is slow to compile.
  struct Connection;
  struct Answer;
  using Idle = std::vector<std::unique_ptr<Connection>>;

  std::unique_ptr<Connection> Acquire(const std::string& address, const HostPort& target);
  void Release(const std::string& address, std::unique_ptr<Connection> connection);
  void DropStale(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Answer Exchange(const std::string& address, const HostPort& target, const HttpCall& call,
                  std::string body);

  bool BelongsTo(const HttpCall& call, const nlohmann::json& answer);

  HttpOptions options_;
  std::atomic<int64_t> dropped_answers_{0};
  const std::unique_ptr<Clock> own_clock_;
  const Clock* const clock_;
  mutable absl::Mutex mutex_;
  std::map<std::string, Idle> idle_ ABSL_GUARDED_BY(mutex_);
  absl::Time next_sweep_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HTTP_CHANNEL_H_
