#include "cell/store/revision_history.h"

namespace pomelotray {
namespace {

// Samples are kept for longer than any lease that they are compared with.
constexpr absl::Duration kMaxSampleAge = absl::Seconds(30);
// Bounds the number of samples: answers arrive many times a second.
constexpr absl::Duration kMinSampleInterval = absl::Milliseconds(20);

}  // namespace

void RevisionHistory::Note(Revision revision, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  // Answers on different connections may overtake each other.
  if (!samples_.empty() &&
      (revision <= samples_.back().first || now - samples_.back().second < kMinSampleInterval)) {
    return;
  }
  samples_.emplace_back(revision, now);
  while (now - samples_.front().second > kMaxSampleAge) {
    samples_.pop_front();
  }
}

absl::Time RevisionHistory::ReachedBy(Revision revision) const {
  absl::MutexLock lock(&mutex_);
  for (const auto& [reached, at] : samples_) {
    if (reached >= revision) {
      return at;
    }
  }
  return absl::InfiniteFuture();
}

}  // namespace pomelotray
