#include "cell/part_count_chooser.h"

#include <algorithm>

namespace pomelotray {
namespace {

// Above the largest deployment of the design (350 workers): the parts of a pool cannot lend each
// other workers, so a step that spreads over more workers than its part has could never finish.
constexpr size_t kWorkersPerPart = 400;
// Longer than the interval of the workers' announcements (1.5 s).
constexpr absl::Duration kLongestWait = absl::Seconds(2);
// The number of a pool's workers is taken when it has not changed for this long. Thousands of
// workers that start together announce themselves over 1.5 s.
constexpr absl::Duration kUnchanged = absl::Milliseconds(400);

int PartsFor(size_t workers) {
  return static_cast<int>(std::max<size_t>(1, (workers + kWorkersPerPart - 1) / kWorkersPerPart));
}

}  // namespace

std::optional<int> PartCountChooser::Choose(const PoolName& pool, size_t workers, absl::Time now) {
  Count& count = counts_.try_emplace(pool, Count{workers, now, now}).first->second;
  if (count.workers != workers) {
    count.workers = workers;
    count.since = now;
  }
  const bool settled = workers > 0 && now - count.since >= kUnchanged;
  // Callers are refused until the number is known.
  if (!settled && now - count.first_seen < kLongestWait) {
    return std::nullopt;
  }
  return PartsFor(workers);
}

}  // namespace pomelotray
