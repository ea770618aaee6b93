#include "cell/intake/outage_wait.h"

#include "cell/store/store_failure.h"

namespace pomelotray {
namespace {

// Share of the objective that the wait may take. The rest is left for the job itself.
constexpr double kMaxWaitShare = 0.25;

}  // namespace

absl::Duration MaxOutageWait(absl::Duration objective) {
  const absl::Duration wait = objective * kMaxWaitShare;
  // A refused caller returns after the retry delay. A shorter wait that ends in a refusal would
  // only delay its next try.
  return wait < kStoreRetryAfter ? absl::ZeroDuration() : wait;
}

}  // namespace pomelotray
