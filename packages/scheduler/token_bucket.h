#ifndef POMELOTRAY_SCHEDULER_TOKEN_BUCKET_H_
#define POMELOTRAY_SCHEDULER_TOKEN_BUCKET_H_

#include <cstdint>

#include "absl/time/time.h"

namespace pomelotray {

// Allows `rate_per_second` events on average and `burst` at once. Starts full.
class TokenBucket {
 public:
  TokenBucket(double rate_per_second, int64_t burst, absl::Time now);

  // Takes one token if there is one.
  bool TryTake(absl::Time now);
  // Time until a token is there; zero when there is one, infinite when the rate is zero.
  absl::Duration TimeToToken(absl::Time now) const;
  // Keeps the tokens collected so far, at most the new burst.
  void SetLimit(double rate_per_second, int64_t burst, absl::Time now);

 private:
  double TokensAt(absl::Time now) const;

  double rate_per_second_;
  double burst_;
  double tokens_;
  absl::Time updated_at_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_TOKEN_BUCKET_H_
