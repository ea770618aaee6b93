#ifndef POMELOTRAY_SCHEDULER_RETRY_BUDGET_H_
#define POMELOTRAY_SCHEDULER_RETRY_BUDGET_H_

#include "absl/container/flat_hash_map.h"
#include "base/strong_id.h"

namespace pomelotray {

// Allows each customer retries up to 10% of its requests. Thread-compatible.
class RetryBudget {
 public:
  void RecordRequest(const CustomerId& customer);
  // Spends one retry if the customer has earned it.
  bool TryRetry(const CustomerId& customer);

 private:
  absl::flat_hash_map<CustomerId, double> earned_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_RETRY_BUDGET_H_
