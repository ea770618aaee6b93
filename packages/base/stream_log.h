#ifndef POMELOTRAY_BASE_STREAM_LOG_H_
#define POMELOTRAY_BASE_STREAM_LOG_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/event_log.h"

namespace pomelotray {

// Writes events as JSON lines to a file descriptor on a thread of its own. Never blocks the caller:
// when the reader is slow, or more lines come than the rate allows, lines are dropped and counted,
// and a line tells how many.
class StreamLog {
 public:
  struct Limits {
    size_t max_buffered_bytes = 512 * 1024;  // About 2,000 lines, several seconds of a burst.
    // Informational lines in any second; warnings and errors are always taken.
    int64_t max_lines_per_second = 1500;  // Twice the starts, ends and answers of a burst.
  };

  StreamLog(int fd, const Clock* clock, Limits limits);
  // Writes what is buffered, as far as the descriptor takes it at once.
  ~StreamLog();

  // Waits until the lines so far are written or given up.
  void Flush();

  EventLog::Sink sink();
  int64_t dropped_lines() const { return dropped_.load(); }

 private:
  void Append(const Event& event);
  // False when the line is over the rate; it is then counted as dropped.
  bool Admit(EventLevel level);
  void CountDrop() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool WithinRate(EventLevel level) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Run();
  // Returns false when the descriptor takes no more.
  bool Write(const std::string& text);

  const int fd_;
  const Clock* const clock_;
  const Limits limits_;
  std::atomic<int64_t> dropped_{0};
  absl::Mutex mutex_;
  absl::CondVar changed_;
  std::string buffer_ ABSL_GUARDED_BY(mutex_);
  int64_t unreported_drops_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time window_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  int64_t window_lines_ ABSL_GUARDED_BY(mutex_) = 0;
  bool flushing_ ABSL_GUARDED_BY(mutex_) = false;
  bool writing_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_STREAM_LOG_H_
