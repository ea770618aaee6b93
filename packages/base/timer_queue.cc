#include "base/timer_queue.h"

#include <utility>

namespace pomelotray {

TimerQueue::TimerQueue(const Clock* clock) : clock_(clock), thread_([this] { Run(); }) {}

TimerQueue::~TimerQueue() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  thread_.join();
}

void TimerQueue::RunAt(absl::Time time, std::function<void()> task) {
  absl::MutexLock lock(&mutex_);
  const bool first = tasks_.empty() || time < tasks_.begin()->first;
  tasks_.emplace(time, std::move(task));
  if (first) {
    changed_.SignalAll();
  }
}

void TimerQueue::RunAfter(absl::Duration delay, std::function<void()> task) {
  RunAt(clock_->Now() + delay, std::move(task));
}

void TimerQueue::Run() {
  for (;;) {
    std::function<void()> task;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && (tasks_.empty() || clock_->Now() < tasks_.begin()->first)) {
        if (tasks_.empty()) {
          changed_.Wait(&mutex_);
        } else {
          clock_->WaitUntil(&changed_, &mutex_, tasks_.begin()->first);
        }
      }
      if (stopping_) {
        return;
      }
      task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
    }
    task();
  }
}

}  // namespace pomelotray
