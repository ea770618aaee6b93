#ifndef POMELOTRAY_STANDINS_FAULT_INJECTOR_H_
#define POMELOTRAY_STANDINS_FAULT_INJECTOR_H_

#include <nlohmann/json.hpp>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"

namespace pomelotray {

enum class FaultMode {
  kNone,
  // Refuses calls without effect.
  kDown,
  // Handles calls late, by a random part of the delay.
  kSlow,
  // Handles calls, then closes the connection without a whole answer.
  kLoseAnswers,
  // Handles calls, then sends half of the answer.
  kTruncate,
  // Handles calls at once and answers late.
  kDelay,
  // Handles calls, then answers for another request or attempt.
  kMisdirect,
};

// What happens to one call.
struct FaultPlan {
  FaultMode mode = FaultMode::kNone;
  absl::Duration delay;
};

// Draws the fault of each call from the setting posted to /fault. Thread-safe.
class FaultInjector {
 public:
  explicit FaultInjector(const Clock* clock) : clock_(clock) {}

  // {"mode", "probability" (1), "delay_ms" (0), "duration_ms" (0: until the next setting)}. Returns
  // an empty string, or what is wrong.
  std::string Set(const nlohmann::json& setting);
  FaultPlan Draw();

 private:
  const Clock* const clock_;
  absl::Mutex mutex_;
  absl::BitGen random_ ABSL_GUARDED_BY(mutex_);
  FaultMode mode_ ABSL_GUARDED_BY(mutex_) = FaultMode::kNone;
  double probability_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::Duration delay_ ABSL_GUARDED_BY(mutex_);
  absl::Time until_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_FAULT_INJECTOR_H_
