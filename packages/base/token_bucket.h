#ifndef POMELOTRAY_BASE_TOKEN_BUCKET_H_
#define POMELOTRAY_BASE_TOKEN_BUCKET_H_

#include <cstdint>

#include "absl/time/time.h"

namespace pomelotray {

// A token bucket that gains `rate_per_second` tokens per second and holds at most `burst`. It
// starts full.
class TokenBucket {
 public:
  TokenBucket(double rate_per_second, int64_t burst, absl::Time now);

  // Takes one token and returns true, or returns false if less than one is available.
  bool TryTake(absl::Time now);
  // The time until a token is available: zero when one is available now, infinite when the rate is
  // zero or the burst is below one.
  absl::Duration TimeToToken(absl::Time now) const;
  // Changes rate and burst. Tokens collected so far are kept, up to the new burst.
  void SetLimit(double rate_per_second, int64_t burst, absl::Time now);

 private:
  double TokensAt(absl::Time now) const;

  double rate_per_second_;
  double burst_;
  double tokens_;
  absl::Time updated_at_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_TOKEN_BUCKET_H_
