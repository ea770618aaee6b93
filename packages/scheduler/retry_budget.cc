#include "scheduler/retry_budget.h"

#include <algorithm>

namespace pomelotray {
namespace {

constexpr double kRetriesPerRequest = 0.1;
// Bounds the burst of retries that a customer can make after a long period without retries.
constexpr double kMaxEarnedRetries = 10;

}  // namespace

void RetryBudget::RecordRequest(const CustomerId& customer) {
  double& earned = earned_[customer];
  earned = std::min(earned + kRetriesPerRequest, kMaxEarnedRetries);
}

bool RetryBudget::TryConsume(const CustomerId& customer) {
  double& earned = earned_[customer];
  // Adding 0.1 ten times in binary floating point gives slightly less than 1.
  constexpr double kOneRetry = 1 - 1e-9;
  if (earned < kOneRetry) {
    return false;
  }
  earned = std::max(0.0, earned - 1);
  return true;
}

}  // namespace pomelotray
