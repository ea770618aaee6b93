#include "scheduler/contract_limiter.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Retry times of refused callers are spread over this multiple of the time to the next token, and
// over at least kMinJitterRange, so that callers refused together do not retry together.
constexpr double kJitterRangeFactor = 2.0;
constexpr absl::Duration kMinJitterRange = absl::Milliseconds(100);
// Limits the retry time of a customer whose rate is zero, since its contract may change at any
// time.
constexpr absl::Duration kMaxRetryAfter = absl::Minutes(1);

}  // namespace

ContractLimiter::ContractLimiter(const Clock* clock, uint64_t seed)
    : clock_(clock), jitter_(static_cast<std::minstd_rand::result_type>(seed)) {}

void ContractLimiter::SetLimit(const CustomerId& customer, double rate_per_second, int64_t burst) {
  const absl::Time now = clock_->Now();
  const auto [it, inserted] = buckets_.try_emplace(customer, rate_per_second, burst, now);
  if (!inserted) {
    it->second.SetLimit(rate_per_second, burst, now);
  }
}

void ContractLimiter::RemoveCustomer(const CustomerId& customer) { buckets_.erase(customer); }

Result<void> ContractLimiter::Admit(const CustomerId& customer) {
  const auto it = buckets_.find(customer);
  if (it == buckets_.end()) {
    return Fail(ErrorKind::kPermissionDenied,
                absl::StrCat("Customer ", customer.value(),
                             " has no contract in this shard; ask an operator to create one."));
  }
  const absl::Time now = clock_->Now();
  if (it->second.TryTake(now)) {
    return {};
  }
  const absl::Duration until_token = std::min(it->second.TimeToToken(now), kMaxRetryAfter);
  const absl::Duration jitter_range = std::max(kJitterRangeFactor * until_token, kMinJitterRange);
  const double fraction = std::uniform_real_distribution<double>(0, 1)(jitter_);
  return Fail(ErrorKind::kOverLimit,
              absl::StrCat("Customer ", customer.value(),
                           " exceeds the request rate of its contract; retry later or ask an "
                           "operator for a higher rate."),
              until_token + jitter_range * fraction);
}

}  // namespace pomelotray
