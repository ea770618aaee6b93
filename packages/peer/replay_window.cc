#include "peer/replay_window.h"

#include <algorithm>

namespace pomelotray {
namespace {

// Hybrid time counts microseconds in its upper 48 bits.
int64_t ToHybridSpan(absl::Duration duration) {
  return EarliestStamp(absl::UnixEpoch() + duration).value();
}

}  // namespace

ReplayWindow::Verdict ReplayWindow::Check(HybridTime sent, HybridTime now,
                                          const std::string& nonce) {
  if (sent.value() < 0) {
    return Verdict::kStale;
  }
  // Both stamps are at least 0, so their difference does not overflow.
  const int64_t lead = sent.value() - now.value();
  if (lead > ToHybridSpan(kMaxAhead)) {
    return Verdict::kAhead;
  }
  absl::MutexLock lock(&mutex_);
  if (lead < -ToHybridSpan(kMaxAge) || sent.value() <= forgotten_) {
    return Verdict::kStale;
  }
  if (!nonces_.insert(nonce).second) {
    return Verdict::kReplayed;
  }
  by_time_.emplace(sent.value(), nonce);
  const int64_t oldest = now.value() - ToHybridSpan(kMaxAge);
  while (by_time_.size() > kCapacity || by_time_.begin()->first < oldest) {
    forgotten_ = std::max(forgotten_, by_time_.begin()->first);
    nonces_.erase(by_time_.begin()->second);
    by_time_.erase(by_time_.begin());
  }
  return Verdict::kFresh;
}

}  // namespace pomelotray
