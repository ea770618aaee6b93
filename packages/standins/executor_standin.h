#ifndef POMELOTRAY_STANDINS_EXECUTOR_STANDIN_H_
#define POMELOTRAY_STANDINS_EXECUTOR_STANDIN_H_

#include <cstdint>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/epoch.h"
#include "base/event_log.h"
#include "standins/standin_server.h"

namespace pomelotray {

struct ExecutorOptions {
  ExecutorId id;
  BootId boot;
  int64_t slots = 8;
  int max_connections = 64;
};

// Stand-in for one executor. A request body is JSON, {"service_ms": 0}; the answer body is
// {"request", "digest"}, where the digest is the SHA-256 of the request body. The events that it
// records have the kind "upstream" and the digest; the history checker uses them as ground truth.
class ExecutorStandin {
 public:
  ExecutorStandin(const ExecutorOptions& options, const Clock* clock, EventLog* events);
  ~ExecutorStandin() { Stop(); }

  bool Start(int port) { return server_.Start(port); }
  void Stop() { server_.Stop(); }
  int port() const { return server_.port(); }
  std::string address() const { return server_.address(); }

 private:
  struct Work {
    std::string request;
    std::string attempt;
    std::string digest;
    absl::Duration service;
    absl::Duration timeout;
  };

  StandinResponse Fence(const StandinRequest& request);
  StandinResponse Call(const StandinRequest& request);
  // Acquires a slot. If none can be acquired, returns false and sets `refusal`.
  bool AcquireSlot(const Epoch& epoch, StandinResponse* refusal);
  void ReleaseSlot();
  // Waits for the service time. Returns false if the timeout expired first.
  bool Serve(const Work& work);
  void Record(EventCode code, const Work& work);

  const ExecutorOptions options_;
  const Clock* const clock_;
  EventLog* const events_;
  absl::Mutex mutex_;
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  Epoch epoch_ ABSL_GUARDED_BY(mutex_);
  int64_t busy_ ABSL_GUARDED_BY(mutex_) = 0;
  StandinServer server_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_EXECUTOR_STANDIN_H_
