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
  // Refuses calls without handling them.
  kDown,
  // Handles calls after a random fraction of the delay.
  kSlow,
  // Handles calls, then closes the connection without a complete answer.
  kLoseAnswers,
  // Handles calls, then sends half of the answer.
  kTruncate,
  // Handles calls immediately, but delays the answer.
  kDelay,
  // Handles calls, but names another request or attempt in the answer.
  kMisdirect,
};

// The fault that is applied to one call.
struct FaultPlan {
  FaultMode mode = FaultMode::kNone;
  absl::Duration delay;
};

// Selects the fault of each call at random, according to the setting posted to /fault. Thread-safe.
class FaultInjector {
 public:
  explicit FaultInjector(const Clock* clock) : clock_(clock) {}

  // `setting` is {"mode", "probability" (default 1), "delay_ms" (default 0), "duration_ms" (default
  // 0: until the next setting)}. Returns an empty string on success, otherwise an error message.
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
