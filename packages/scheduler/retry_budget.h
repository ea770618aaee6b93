#ifndef POMELOTRAY_SCHEDULER_RETRY_BUDGET_H_
#define POMELOTRAY_SCHEDULER_RETRY_BUDGET_H_

#include "absl/container/flat_hash_map.h"
#include "base/strong_id.h"

namespace pomelotray {

// Limits the retries of each customer to 10% of its requests. Thread-compatible.
class RetryBudget {
 public:
  // Credits the customer with a tenth of a retry.
  void RecordRequest(const CustomerId& customer);
  // Consumes one retry and returns true, or returns false when the customer has less than one.
  bool TryConsume(const CustomerId& customer);

 private:
  absl::flat_hash_map<CustomerId, double> earned_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_RETRY_BUDGET_H_
