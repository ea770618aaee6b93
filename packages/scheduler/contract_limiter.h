#ifndef POMELOTRAY_SCHEDULER_CONTRACT_LIMITER_H_
#define POMELOTRAY_SCHEDULER_CONTRACT_LIMITER_H_

#include <cstdint>
#include <random>

#include "absl/container/flat_hash_map.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/strong_id.h"
#include "scheduler/token_bucket.h"

namespace pomelotray {

// Enforces the rate and burst of each customer in this shard. Thread-compatible.
class ContractLimiter {
 public:
  ContractLimiter(const Clock* clock, uint64_t seed);

  // Applies from the next Admit on; an unchanged limit keeps the bucket as it is.
  void SetLimit(const CustomerId& customer, double rate_per_second, int64_t burst);
  void RemoveCustomer(const CustomerId& customer);
  // kOverLimit with a jittered retry_after when the customer is above its rate; kPermissionDenied
  // when it has no limit set.
  Result<void> Admit(const CustomerId& customer);

 private:
  const Clock* clock_;
  std::minstd_rand jitter_;
  absl::flat_hash_map<CustomerId, TokenBucket> buckets_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_CONTRACT_LIMITER_H_
