#ifndef POMELOTRAY_BASE_TIMER_QUEUE_H_
#define POMELOTRAY_BASE_TIMER_QUEUE_H_

#include <functional>
#include <map>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"

namespace pomelotray {

// Runs functions at given times, one after the other, on one thread. Thread-safe.
class TimerQueue {
 public:
  explicit TimerQueue(const Clock* clock);
  // Waits for the function that runs; those that are not due yet never run.
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  // `task` must not block and must not throw.
  void RunAt(absl::Time time, std::function<void()> task);
  void RunAfter(absl::Duration delay, std::function<void()> task);

 private:
  void Run();

  const Clock* const clock_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::multimap<absl::Time, std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_TIMER_QUEUE_H_
