#include "scheduler/retry_budget.h"

#include <algorithm>

namespace pomelotray {
namespace {

constexpr double kRetriesPerRequest = 0.1;
// Bounds the burst of retries after a long quiet time.
constexpr double kMaxEarned = 10;

}  // namespace

void RetryBudget::RecordRequest(const CustomerId& customer) {
  double& earned = earned_[customer];
  earned = std::min(earned + kRetriesPerRequest, kMaxEarned);
}

bool RetryBudget::TryRetry(const CustomerId& customer) {
  double& earned = earned_[customer];
  // Ten additions of 0.1 give slightly less than 1 in binary arithmetic.
  constexpr double kOneRetry = 1 - 1e-9;
  if (earned < kOneRetry) {
    return false;
  }
  earned = std::max(0.0, earned - 1);
  return true;
}

}  // namespace pomelotray
