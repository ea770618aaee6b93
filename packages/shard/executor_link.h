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

// Receives the state changes that an ExecutorLink detects. All methods are called on the link's
// thread.
class ExecutorLinkListener {
 public:
  virtual ~ExecutorLinkListener() = default;

  // The executor accepted the fence and reported its load.
  virtual void OnLoad(const ExecutorId& executor, const ExecutorLoad& load) = 0;
  // The last fence call failed.
  virtual void OnExecutorUnreachable(const ExecutorId& executor) = 0;
  // The executor rejected the link's epoch because it has seen a higher one.
  virtual void OnExecutorFenced() = 0;
};

// Maintains the connection of a shard owner to one executor: a background thread periodically
// fences the executor with the owner's epoch and reads its load.
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
