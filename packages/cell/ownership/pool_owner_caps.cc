// The part of PoolOwner that exchanges allowances with the coordinator of the caps.

#include <algorithm>

#include "cell/ownership/pool_owner.h"

namespace pomelotray {

Result<CapReport> PoolOwner::ExchangeCaps(const CapCall& call) {
  absl::MutexLock lock(&mutex_);
  if (!serving_) {
    return Fail(ErrorKind::kOwnerUnavailable,
                "The owner of the part has not loaded its state or has lost its claim; call again "
                "later.");
  }
  if (call.owner_term != claim_.term) {
    return Fail(ErrorKind::kFenced,
                "The call is meant for another owner of the part; read the claim again.");
  }
  BOOST_LEAF_AUTO(report, scheduler_.ExchangeCaps(call, context_.clock->Now()));
  const bool waits = std::any_of(report.customers.begin(), report.customers.end(),
                                 [](const auto& entry) { return !entry.second.waiting.IsZero(); });
  if (waits) {
    // The allowances may permit starts that the last round held back.
    round_requested_ = true;
    round_needed_.Signal();
  }
  return report;
}

}  // namespace pomelotray
