#ifndef POMELOTRAY_CELL_PLACEMENT_SPEED_ESTIMATE_H_
#define POMELOTRAY_CELL_PLACEMENT_SPEED_ESTIMATE_H_

#include "absl/time/time.h"

namespace pomelotray {

// Largest slowdown or speedup that is attributed to a worker, as a logarithm: a factor of 4.
inline constexpr double kMaxLogSlowdown = 1.3862943611198906;
// A worker is slow if its tasks take this many times as long as on a typical worker (logarithm of
// 2). The slowest healthy workers that were measured take 1.5 times as long.
inline constexpr double kSlowLogSlowdown = 0.6931471805599453;
// A slow worker has recovered once the factor is below 1.5. Lower than the limit above, so that an
// estimate near that limit does not switch back and forth.
inline constexpr double kRecoveredLogSlowdown = 0.4054651081081644;

// What one run says about the speed of its worker.
struct SpeedSample {
  // Logarithm of the run time compared with that of the same work on a typical worker.
  double log_slowdown = 0;
  // Weight, in runs: 1 for a run whose work is known exactly, 0 if there is nothing to compare the
  // run with.
  double runs = 0;
  absl::Time at = absl::InfinitePast();
};

// Estimates how fast one worker process runs tasks, from samples whose weights decay with time. Not
// thread-safe.
class SpeedEstimate {
 public:
  void Add(const SpeedSample& sample, absl::Time now);
  // Replaces a sample that was added before by one of the same time. Has no effect on samples from
  // before the last call of LimitMemory(), since it is not known how much of them is left.
  void Replace(const SpeedSample& old_sample, const SpeedSample& sample, absl::Time now);
  // Reduces the weight of all samples so far to that of `runs` runs: the speed has changed.
  void LimitMemory(double runs, absl::Time now);
  // Returns the estimated slowdown as a logarithm, between -kMaxLogSlowdown and kMaxLogSlowdown. It
  // is 0 without samples and stays close to 0 while there are few.
  double LogSlowdown(absl::Time now) const;

 private:
  void Age(absl::Time now);

  // Sum of the weights, and of the weighted slowdowns, as of `as_of_`.
  double runs_ = 0;
  double sum_ = 0;
  absl::Time as_of_ = absl::InfinitePast();
  absl::Time limited_at_ = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_SPEED_ESTIMATE_H_
