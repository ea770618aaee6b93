#include "cell/placement/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

// An estimate weighs its runs against this many runs at typical speed (shrinkage), since a single
// run is mostly noise.
constexpr double kPriorRuns = 2;
// Time after which a sample has half its weight. A worker that is measured once every two seconds
// has an effective memory of about 40 runs then, which brings the noise of a factor to about 5%.
constexpr absl::Duration kHalfLife = absl::Seconds(60);

// Returns what is left at `now` of a weight from the time `then`.
double Remaining(absl::Time then, absl::Time now) {
  return now > then ? std::exp2(-absl::FDivDuration(now - then, kHalfLife)) : 1;
}

}  // namespace

void SpeedEstimate::Age(absl::Time now) {
  if (as_of_ < now) {
    const double remaining = Remaining(as_of_, now);
    runs_ *= remaining;
    sum_ *= remaining;
    as_of_ = now;
  }
}

void SpeedEstimate::Add(const SpeedSample& sample, absl::Time now) {
  Age(now);
  const double runs = sample.runs * Remaining(sample.at, now);
  runs_ += runs;
  sum_ += runs * sample.log_slowdown;
}

void SpeedEstimate::Replace(const SpeedSample& old_sample, const SpeedSample& sample,
                            absl::Time now) {
  if (old_sample.at <= limited_at_) {
    return;
  }
  SpeedSample removed = old_sample;
  removed.runs = -removed.runs;
  Add(removed, now);
  Add(sample, now);
  runs_ = std::max(runs_, 0.0);
}

void SpeedEstimate::LimitMemory(double runs, absl::Time now) {
  Age(now);
  limited_at_ = now;
  if (runs_ > runs) {
    sum_ *= runs / runs_;
    runs_ = runs;
  }
}

double SpeedEstimate::LogSlowdown(absl::Time now) const {
  const double remaining = Remaining(as_of_, now);
  return std::clamp(sum_ * remaining / (runs_ * remaining + kPriorRuns), -kMaxLogSlowdown,
                    kMaxLogSlowdown);
}

}  // namespace pomelotray
