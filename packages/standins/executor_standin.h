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

// Stand-in for one executor. The body of a request is JSON, {"service_ms": 0}; the body of its
// answer is {"request", "digest"}, the SHA-256 of the request's body. Its events carry the kind
// "upstream" and the digest: the ground truth of the history checker.
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
  // Takes a slot; on a refusal returns false and sets `refusal`.
  bool TakeSlot(const Epoch& epoch, StandinResponse* refusal);
  void ReturnSlot();
  // Spends the service time. Returns false when the timeout ended it.
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
