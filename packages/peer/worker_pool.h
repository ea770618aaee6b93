#ifndef POMELOTRAY_PEER_WORKER_POOL_H_
#define POMELOTRAY_PEER_WORKER_POOL_H_

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace pomelotray {

// A fixed number of threads that run jobs from a bounded queue.
class WorkerPool {
 public:
  WorkerPool(size_t threads, size_t max_queued);
  ~WorkerPool();

  // Returns false, without running `job`, when the queue is full or the pool stopped.
  bool TrySubmit(std::function<void()> job);
  // Finishes queued jobs and joins the threads.
  void Stop();

 private:
  void Work();

  const size_t max_queued_;
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::function<void()>> queue_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_WORKER_POOL_H_
