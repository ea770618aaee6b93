#include "customers/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

constexpr absl::Duration kRateInterval = absl::Seconds(1);

// One second's jobs and one more. With a bucket of one job, a customer with a limit of 0.5 jobs per
// second that submits half as many at random times would exceed it with two of five jobs.
int64_t BurstFor(double limit) {
  return limit > 0 ? static_cast<int64_t>(std::ceil(limit)) + 1 : 0;
}

}  // namespace

ArrivalRate::ArrivalRate(double limit, absl::Time now, const RateTolerance& tolerance)
    : tolerance_(tolerance), limit_(limit), bucket_(OwnLimit(), Burst(), now) {}

double ArrivalRate::OwnLimit() const {
  return std::max(0.0, limit_ * (1 + tolerance_.overage) - elsewhere_);
}

int64_t ArrivalRate::Burst() const { return BurstFor(OwnLimit()) + tolerance_.extra_jobs; }

void ArrivalRate::SetLimit(double limit, absl::Time now) {
  limit_ = limit;
  bucket_.SetLimit(OwnLimit(), Burst(), now);
}

void ArrivalRate::SetRateElsewhere(double rate, absl::Time now) {
  elsewhere_ = std::isfinite(rate) ? std::max(0.0, rate) : 0;
  bucket_.SetLimit(OwnLimit(), Burst(), now);
}

bool ArrivalRate::Exceeds(absl::Time accepted, absl::Time arrived) {
  // The clock of the VM that accepted the job may be ahead of this one's.
  if (!bucket_.TryTake(std::min(accepted, arrived))) {
    return true;
  }
  while (!within_.empty() && within_.front() <= arrived - kRateInterval) {
    within_.pop_front();
  }
  within_.push_back(arrived);
  return false;
}

double ArrivalRate::RateWithinLimit(absl::Time now) const {
  return static_cast<double>(std::count_if(
      within_.begin(), within_.end(),
      [now](absl::Time arrived) { return arrived > now - kRateInterval && arrived <= now; }));
}

}  // namespace pomelotray
