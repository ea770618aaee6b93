#ifndef POMELOTRAY_CUSTOMERS_ARRIVAL_RATE_H_
#define POMELOTRAY_CUSTOMERS_ARRIVAL_RATE_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"
#include "base/token_bucket.h"

namespace pomelotray {

// How far customers may exceed their rates before their jobs yield.
struct RateTolerance {
  // Share of the rate.
  double overage = 0;
  // Jobs that may arrive at once in addition.
  int64_t extra_jobs = 0;
};

// Decides which jobs of one customer exceed its rate, and measures the rate of the others. Used by
// one thread at a time.
class ArrivalRate {
 public:
  // `limit` is in jobs per second over all owners; up to one second's jobs and one more may
  // arrive at once, and what `tolerance` adds. Begins with a full bucket at `now`.
  ArrivalRate(double limit, absl::Time now, const RateTolerance& tolerance = RateTolerance());

  // Changes the limit. Tokens collected so far are kept.
  void SetLimit(double limit, absl::Time now);
  // Sets the rate in jobs per second that other owners count as within the limit. It is deducted
  // from the limit of this owner. Negative values and values that are not numbers count as 0.
  void SetRateElsewhere(double rate, absl::Time now);

  // Counts a job that was accepted at `accepted` and arrived at this owner at `arrived`. Returns
  // whether it exceeds the limit. A later owner that counts the same jobs in the order of their
  // acceptance comes to the same answers as long as no limit changes.
  bool Exceeds(absl::Time accepted, absl::Time arrived);
  // Returns the number of jobs within the limit that arrived in the last second.
  double RateWithinLimit(absl::Time now) const;

 private:
  // The limit of this owner.
  double OwnLimit() const;

  // Number of jobs that may arrive at once.
  int64_t Burst() const;

  const RateTolerance tolerance_;
  double limit_;
  double elsewhere_ = 0;
  TokenBucket bucket_;
  // When the jobs within the limit arrived, of those of the last second.
  std::deque<absl::Time> within_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_ARRIVAL_RATE_H_
