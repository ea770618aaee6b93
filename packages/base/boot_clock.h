#ifndef POMELOTRAY_BASE_BOOT_CLOCK_H_
#define POMELOTRAY_BASE_BOOT_CLOCK_H_

#include "base/clock.h"

namespace pomelotray {

// The wall time at construction plus the time since then, counting also the time during which the
// machine was suspended. Steps of the wall clock have no effect.
class BootClock : public Clock {
 public:
  BootClock();

  absl::Time Now() const override;
  bool WaitUntil(absl::CondVar* cond, absl::Mutex* mutex, absl::Time deadline) const override;

 private:
  const absl::Time wall_start_;
  const absl::Duration boot_start_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_BOOT_CLOCK_H_
