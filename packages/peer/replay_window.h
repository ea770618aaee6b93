#ifndef POMELOTRAY_PEER_REPLAY_WINDOW_H_
#define POMELOTRAY_PEER_REPLAY_WINDOW_H_

#include <set>
#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "base/hybrid_clock.h"

namespace pomelotray {

// Refuses calls that were seen before. A call is accepted when its hybrid time is at most
// kMaxAge older than the receiver's and its nonce is new. VMs' clocks may differ by any amount:
// hybrid time follows the fastest clock, and a sender whose stamp is too old learns the receiver's
// from the answer and sends once more. A stamp more than kMaxAhead in the future is refused, so
// that one broken clock does not move the time of the whole cluster.
//
// Memory is bounded: when more than kCapacity nonces are remembered, the oldest is dropped and
// calls that are as old or older count as stale. A replay to another instance within kMaxAge is
// not detected.
class ReplayWindow {
 public:
  enum class Verdict { kFresh, kStale, kReplayed, kAhead };

  static constexpr absl::Duration kMaxAge = absl::Seconds(30);
  static constexpr absl::Duration kMaxAhead = absl::Hours(1);
  static constexpr size_t kCapacity = 16'384;

  Verdict Check(HybridTime sent, HybridTime now, const std::string& nonce);

 private:
  absl::Mutex mutex_;
  std::set<std::pair<int64_t, std::string>> by_time_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<std::string> nonces_ ABSL_GUARDED_BY(mutex_);
  // Greatest stamp whose nonce is no longer remembered.
  int64_t forgotten_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_REPLAY_WINDOW_H_
