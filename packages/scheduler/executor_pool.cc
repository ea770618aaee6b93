#include "scheduler/executor_pool.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

// Gains of the exponential moving averages: the service time of an executor reflects about its last
// 10 requests, the mean of the shard about its last 50.
constexpr double kExecutorGain = 0.1;
constexpr double kMeanGain = 0.02;
// A request counts as able to meet its deadline when the mean service time plus this many mean
// deviations fits into the remaining time.
constexpr double kUpperDeviations = 2;
// Keeps the expected response time finite, so that an executor whose requests all fail can still be
// chosen when no better one has a free slot.
constexpr double kMaxFailureRate = 0.98;
// The service time assumed for an executor without a successful request, as a fraction of the mean.
// It is below the mean so that a new executor is tried early. A small fixed time made executors
// whose requests all fail look fast.
constexpr double kInitialMeanFraction = 0.5;
constexpr double kMinServiceSeconds = 1e-6;

void UpdateAverage(double* average, double sample, double gain) {
  *average = *average == 0 ? sample : *average + gain * (sample - *average);
}

}  // namespace

int64_t ExecutorPool::Executor::UsableSlots() const { return known && available ? slots : 0; }

int64_t ExecutorPool::Executor::FreeSlots() const {
  if (!known || !available) {
    return 0;
  }
  return std::max<int64_t>(0, std::min(slots - busy, max_connections) - assigned);
}

template <typename F>
void ExecutorPool::UpdateEntry(const ExecutorId& executor, F&& update) {
  Executor& entry = executors_[executor];
  usable_slots_ -= entry.UsableSlots();
  free_slots_ -= entry.FreeSlots();
  update(&entry);
  usable_slots_ += entry.UsableSlots();
  free_slots_ += entry.FreeSlots();
  if (!entry.known && entry.assigned == 0) {
    executors_.erase(executor);
  }
}

void ExecutorPool::Upsert(const ExecutorId& executor, int64_t slots, int64_t max_connections) {
  UpdateEntry(executor, [&](Executor* entry) {
    entry->slots = slots;
    entry->max_connections = max_connections;
    entry->known = true;
  });
}

void ExecutorPool::SetAvailable(const ExecutorId& executor, bool available) {
  UpdateEntry(executor, [&](Executor* entry) { entry->available = available; });
}

void ExecutorPool::Remove(const ExecutorId& executor) {
  UpdateEntry(executor, [](Executor* entry) { entry->known = false; });
}

void ExecutorPool::SetBusySlots(const ExecutorId& executor, int64_t busy_slots) {
  UpdateEntry(executor, [&](Executor* entry) { entry->busy = std::max<int64_t>(0, busy_slots); });
}

double ExecutorPool::ExpectedSeconds(const Executor& executor) const {
  const double service = std::max(kMinServiceSeconds, executor.service_seconds > 0
                                                          ? executor.service_seconds
                                                          : kInitialMeanFraction * mean_seconds_);
  const double load = static_cast<double>(executor.assigned + executor.busy) /
                      static_cast<double>(std::max<int64_t>(1, executor.slots));
  return service * (1 + load) / (1 - std::min(executor.failure_rate, kMaxFailureRate));
}

std::optional<ExecutorId> ExecutorPool::Choose() const {
  std::optional<ExecutorId> best;
  double best_seconds = 0;
  for (const auto& [id, executor] : executors_) {
    if (executor.FreeSlots() == 0) {
      continue;
    }
    const double seconds = ExpectedSeconds(executor);
    if (!best.has_value() || seconds < best_seconds) {
      best = id;
      best_seconds = seconds;
    }
  }
  return best;
}

void ExecutorPool::Assign(const ExecutorId& executor) {
  UpdateEntry(executor, [](Executor* entry) { ++entry->assigned; });
}

void ExecutorPool::Unassign(const ExecutorId& executor) {
  UpdateEntry(executor, [](Executor* entry) { --entry->assigned; });
}

void ExecutorPool::Observe(const ExecutorId& executor, absl::Duration service_time, bool ok) {
  const auto it = executors_.find(executor);
  if (it == executors_.end()) {
    return;
  }
  it->second.failure_rate += kExecutorGain * ((ok ? 0.0 : 1.0) - it->second.failure_rate);
  // Failed requests often end sooner than successful ones. Counting them would lower the expected
  // service time and attract more requests to a failing executor.
  if (!ok) {
    return;
  }
  const double seconds = absl::ToDoubleSeconds(service_time);
  UpdateAverage(&it->second.service_seconds, seconds, kExecutorGain);
  if (mean_seconds_ > 0) {
    UpdateAverage(&deviation_seconds_, std::abs(seconds - mean_seconds_), kMeanGain);
  }
  UpdateAverage(&mean_seconds_, seconds, kMeanGain);
}

int64_t ExecutorPool::SlotsInUse(const ExecutorId& executor) const {
  const auto it = executors_.find(executor);
  return it != executors_.end() ? it->second.assigned + it->second.busy : 0;
}

absl::Duration ExecutorPool::UpperServiceTime() const {
  return absl::Seconds(mean_seconds_ + kUpperDeviations * deviation_seconds_);
}

}  // namespace pomelotray
