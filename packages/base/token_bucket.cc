#include "base/token_bucket.h"

#include <algorithm>

namespace pomelotray {

TokenBucket::TokenBucket(double rate_per_second, int64_t burst, absl::Time now)
    : rate_per_second_(rate_per_second),
      burst_(static_cast<double>(burst)),
      tokens_(burst_),
      updated_at_(now) {}

double TokenBucket::TokensAt(absl::Time now) const {
  const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - updated_at_));
  return std::min(burst_, tokens_ + elapsed * rate_per_second_);
}

bool TokenBucket::TryTake(absl::Time now) {
  tokens_ = TokensAt(now);
  updated_at_ = std::max(updated_at_, now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

absl::Duration TokenBucket::TimeToToken(absl::Time now) const {
  const double missing = 1 - TokensAt(now);
  if (missing <= 0) {
    return absl::ZeroDuration();
  }
  if (rate_per_second_ <= 0 || burst_ < 1) {
    return absl::InfiniteDuration();
  }
  // The quotient is rounded; one nanosecond more ensures that the token is available by then.
  return absl::Seconds(missing / rate_per_second_) + absl::Nanoseconds(1);
}

void TokenBucket::SetLimit(double rate_per_second, int64_t burst, absl::Time now) {
  tokens_ = std::min(TokensAt(now), static_cast<double>(burst));
  updated_at_ = std::max(updated_at_, now);
  rate_per_second_ = rate_per_second;
  burst_ = static_cast<double>(burst);
}

}  // namespace pomelotray
