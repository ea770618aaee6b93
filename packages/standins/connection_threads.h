#ifndef POMELOTRAY_STANDINS_CONNECTION_THREADS_H_
#define POMELOTRAY_STANDINS_CONNECTION_THREADS_H_

#include <functional>
#include <list>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace pomelotray {

// Runs each connection of a stand-in on its own thread. With a fixed-size pool, long-polling
// watches and idle connections could occupy all threads and block other callers.
class ConnectionThreads {
 public:
  ~ConnectionThreads() { Join(); }

  void Run(std::function<void()> connection);
  // Blocks until all connections have ended.
  void Join();
  int active() const;

 private:
  struct Slot {
    std::thread thread;
    bool done = false;
  };

  void Reap() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::list<Slot> slots_ ABSL_GUARDED_BY(mutex_);
  int active_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_CONNECTION_THREADS_H_
