#include "scheduler/contract_limiter.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Callers refused together come back spread over this multiple of the time to the next token, and
// over at least kMinSpread.
constexpr double kSpreadFactor = 2.0;
constexpr absl::Duration kMinSpread = absl::Milliseconds(100);
// A customer whose rate is zero may be given one at any time.
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
                             " has no contract here; ask an operator to write one."));
  }
  const absl::Time now = clock_->Now();
  if (it->second.TryTake(now)) {
    return {};
  }
  const absl::Duration to_token = std::min(it->second.TimeToToken(now), kMaxRetryAfter);
  const absl::Duration spread = std::max(kSpreadFactor * to_token, kMinSpread);
  const double fraction = std::uniform_real_distribution<double>(0, 1)(jitter_);
  return Fail(ErrorKind::kOverLimit,
              absl::StrCat("Customer ", customer.value(),
                           " is above the rate of its contract; retry later or ask an operator "
                           "for a higher rate."),
              to_token + spread * fraction);
}

}  // namespace pomelotray
