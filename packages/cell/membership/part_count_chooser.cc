#include "cell/membership/part_count_chooser.h"

#include <algorithm>

namespace pomelotray {
namespace {

// More than the largest deployment in the design (350 workers), which therefore gets one part.
// Parts of a pool do not share workers, so a step that needs more workers than its part has could
// never finish.
constexpr size_t kMaxWorkersPerPart = 400;
// Upper bound on the wait for a stable number of workers. Longer than the interval at which workers
// register themselves (1.5 s).
constexpr absl::Duration kMaxDiscoveryWait = absl::Seconds(2);
// The number of a pool's workers is accepted once it has not changed for this long. Thousands of
// workers that start together take 1.5 s to register.
constexpr absl::Duration kStableInterval = absl::Milliseconds(400);

int PartCountForWorkers(size_t workers) {
  return static_cast<int>(
      std::max<size_t>(1, (workers + kMaxWorkersPerPart - 1) / kMaxWorkersPerPart));
}

}  // namespace

std::optional<int> PartCountChooser::Choose(const PoolName& pool, size_t workers, absl::Time now) {
  WorkerObservation& observation =
      observations_.try_emplace(pool, WorkerObservation{workers, now, now}).first->second;
  if (observation.workers != workers) {
    observation.workers = workers;
    observation.since = now;
  }
  const bool stable = workers > 0 && now - observation.since >= kStableInterval;
  // Submissions to the pool are refused until the number of parts is known, so the wait is bounded.
  if (!stable && now - observation.first_seen < kMaxDiscoveryWait) {
    return std::nullopt;
  }
  return PartCountForWorkers(workers);
}

}  // namespace pomelotray
