#ifndef POMELOTRAY_API_REFUSAL_LOG_H_
#define POMELOTRAY_API_REFUSAL_LOG_H_

#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/event_log.h"

namespace pomelotray {

// Records kInvalidInputRefused events. The rate is limited to kMaxPerSecond, so that a client that
// sends invalid requests cannot displace other events from the timeline. Thread-safe.
class RefusalLog {
 public:
  static constexpr int kMaxPerSecond = 20;

  RefusalLog(EventLog* events, const Clock* clock);

  void Record(const Error& error, const std::string& remote_ip);

 private:
  EventLog* const events_;
  const Clock* const clock_;
  absl::Mutex mutex_;
  absl::Time window_end_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  int recorded_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_REFUSAL_LOG_H_
