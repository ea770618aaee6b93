#include "cell/advice/advice_shares.h"

namespace pomelotray {
namespace {

// The share before the first answer, with the weight of an answer about this many workers.
constexpr double kPriorShare = 0.5;
constexpr double kPriorWorkers = 30;
// Number of workers after which older answers lose weight, so that the share follows a changed
// policy.
constexpr double kMaxRememberedWorkers = 3000;

}  // namespace

void AdviceShares::Record(const std::string& queue, size_t asked, size_t allowed) {
  Counts& counts = counts_[queue];
  counts.asked += static_cast<double>(asked);
  counts.allowed += static_cast<double>(allowed);
  if (counts.asked > kMaxRememberedWorkers) {
    counts.asked /= 2;
    counts.allowed /= 2;
  }
}

double AdviceShares::Share(const std::string& queue) const {
  const auto it = counts_.find(queue);
  const Counts counts = it == counts_.end() ? Counts() : it->second;
  return (counts.allowed + kPriorShare * kPriorWorkers) / (counts.asked + kPriorWorkers);
}

}  // namespace pomelotray
