#ifndef POMELOTRAY_SHARD_EXECUTOR_LINK_H_
#define POMELOTRAY_SHARD_EXECUTOR_LINK_H_

#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/epoch.h"
#include "ports/executor_port.h"

namespace pomelotray {

// Receives what an ExecutorLink learns, on the link's thread.
class ExecutorLinkListener {
 public:
  virtual ~ExecutorLinkListener() = default;

  virtual void OnLoad(const ExecutorId& executor, const ExecutorLoad& load) = 0;
  virtual void OnExecutorUnreachable(const ExecutorId& executor) = 0;
  virtual void OnExecutorFenced() = 0;
};

// Fences one executor and asks for its load at an interval.
class ExecutorLink {
 public:
  ExecutorLink(ExecutorId executor, std::string address, ExecutorPort* port, const Clock* clock,
               ExecutorLinkListener* listener, const Epoch& epoch);
  ~ExecutorLink();

  void Start();
  void Stop();

 private:
  void Run();
  void Probe();

  const ExecutorId executor_;
  const std::string address_;
  ExecutorPort* const port_;
  const Clock* const clock_;
  ExecutorLinkListener* const listener_;
  const Epoch epoch_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_EXECUTOR_LINK_H_
