#ifndef POMELOTRAY_BASE_CLOCK_H_
#define POMELOTRAY_BASE_CLOCK_H_

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace pomelotray {

// The only source of time. Now() never goes backwards.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual absl::Time Now() const = 0;

  // Waits on `cond`, with `mutex` held, until it is signalled or `deadline` passes. Returns true on
  // timeout. Spurious wake-ups are possible, so callers check their condition again.
  virtual bool WaitUntil(absl::CondVar* cond, absl::Mutex* mutex, absl::Time deadline) const = 0;

  void SleepFor(absl::Duration duration) const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_CLOCK_H_
