#include "cell/part_count_chooser.h"

#include <algorithm>

namespace pomelotray {
namespace {

// Above the largest deployment of the design (350 workers): the parts of a pool cannot lend each
// other workers, so a step that spreads over more workers than its part has could never finish.
constexpr size_t kWorkersPerPart = 400;
// Longer than the interval of the workers' announcements (1.5 s).
constexpr absl::Duration kFirstWorkerAwaited = absl::Seconds(2);

int PartsFor(size_t workers) {
  return static_cast<int>(std::max<size_t>(1, (workers + kWorkersPerPart - 1) / kWorkersPerPart));
}

}  // namespace

std::optional<int> PartCountChooser::Choose(const PoolName& pool, size_t workers, absl::Time now) {
  // Callers are refused until the number is known, so that it is not worth waiting for the last
  // worker of a pool that has some.
  if (workers == 0 && now - empty_since_.emplace(pool, now).first->second < kFirstWorkerAwaited) {
    return std::nullopt;
  }
  return PartsFor(workers);
}

}  // namespace pomelotray
