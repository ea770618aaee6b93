#ifndef POMELOTRAY_SCHEDULER_CONTRACT_LIMITER_H_
#define POMELOTRAY_SCHEDULER_CONTRACT_LIMITER_H_

#include <cstdint>
#include <random>

#include "absl/container/flat_hash_map.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/strong_id.h"
#include "base/token_bucket.h"

namespace pomelotray {

// Enforces the contract rate and burst of each customer in one shard. Thread-compatible.
class ContractLimiter {
 public:
  ContractLimiter(const Clock* clock, uint64_t seed);

  // The limit applies from the next call of Admit. Tokens collected so far are kept, up to `burst`.
  void SetLimit(const CustomerId& customer, double rate_per_second, int64_t burst);
  void RemoveCustomer(const CustomerId& customer);
  // Fails with kOverLimit and a jittered retry_after when the customer exceeds its rate, and with
  // kPermissionDenied when no limit is set for it.
  Result<void> Admit(const CustomerId& customer);

 private:
  const Clock* clock_;
  std::minstd_rand jitter_;
  absl::flat_hash_map<CustomerId, TokenBucket> buckets_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_CONTRACT_LIMITER_H_
