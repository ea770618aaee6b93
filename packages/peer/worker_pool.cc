#include "peer/worker_pool.h"

#include <utility>

namespace pomelotray {
namespace {

// Bounds a thread's wait for work.
constexpr absl::Duration kIdleWait = absl::Seconds(10);

}  // namespace

WorkerPool::WorkerPool(size_t threads, size_t max_queued) : max_queued_(max_queued) {
  for (size_t i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Work(); });
  }
}

WorkerPool::~WorkerPool() { Stop(); }

bool WorkerPool::TrySubmit(std::function<void()> job) {
  absl::MutexLock lock(&mutex_);
  if (stopping_ || queue_.size() >= max_queued_) {
    return false;
  }
  queue_.push_back(std::move(job));
  return true;
}

void WorkerPool::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void WorkerPool::Work() {
  while (true) {
    std::function<void()> job;
    {
      absl::MutexLock lock(&mutex_);
      const bool awake =
          mutex_.AwaitWithTimeout(absl::Condition(
                                      +[](WorkerPool* pool) ABSL_NO_THREAD_SAFETY_ANALYSIS {
                                        return pool->stopping_ || !pool->queue_.empty();
                                      },
                                      this),
                                  kIdleWait);
      if (!awake) {
        continue;
      }
      if (queue_.empty()) {
        return;
      }
      job = std::move(queue_.front());
      queue_.pop_front();
    }
    job();
  }
}

}  // namespace pomelotray
