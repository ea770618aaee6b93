#ifndef POMELOTRAY_BASE_MANUAL_CLOCK_H_
#define POMELOTRAY_BASE_MANUAL_CLOCK_H_

#include "absl/base/thread_annotations.h"
#include "base/clock.h"

namespace pomelotray {

// A clock that stands still until a test advances it.
class ManualClock : public Clock {
 public:
  explicit ManualClock(absl::Time start = absl::FromUnixSeconds(1'000'000));

  absl::Time Now() const override;
  bool WaitUntil(absl::CondVar* cond, absl::Mutex* mutex, absl::Time deadline) const override;

  void Advance(absl::Duration duration);

 private:
  mutable absl::Mutex mutex_;
  absl::Time now_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_MANUAL_CLOCK_H_
