#include "scheduler/executor_pool.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

// Gains of the moving averages: an executor's own service time follows about its last 10 answers,
// the shard's mean its last 50.
constexpr double kExecutorGain = 0.1;
constexpr double kMeanGain = 0.02;
// Requests take a slot only when the mean plus this many mean deviations fits the deadline.
constexpr double kUpperDeviations = 2;
// An executor that fails everything is still tried now and then, as the last choice.
constexpr double kMaxFailureRate = 0.98;
// An executor without an answer yet is expected to be somewhat faster than the mean, so that it is
// tried early. A fixed small time instead made executors that fail everything look fast.
constexpr double kUnlearnedPartOfMean = 0.5;
constexpr double kMinServiceSeconds = 1e-6;

void Follow(double* average, double sample, double gain) {
  *average = *average == 0 ? sample : *average + gain * (sample - *average);
}

}  // namespace

int64_t ExecutorPool::Executor::Usable() const { return known && available ? slots : 0; }

int64_t ExecutorPool::Executor::FreeSlots() const {
  if (!known || !available) {
    return 0;
  }
  return std::max<int64_t>(0, std::min(slots - busy, max_connections) - assigned);
}

template <typename F>
void ExecutorPool::Change(const ExecutorId& executor, F&& change) {
  Executor& entry = executors_[executor];
  usable_slots_ -= entry.Usable();
  free_slots_ -= entry.FreeSlots();
  change(&entry);
  usable_slots_ += entry.Usable();
  free_slots_ += entry.FreeSlots();
  if (!entry.known && entry.assigned == 0) {
    executors_.erase(executor);
  }
}

void ExecutorPool::Upsert(const ExecutorId& executor, int64_t slots, int64_t max_connections) {
  Change(executor, [&](Executor* entry) {
    entry->slots = slots;
    entry->max_connections = max_connections;
    entry->known = true;
  });
}

void ExecutorPool::SetAvailable(const ExecutorId& executor, bool available) {
  Change(executor, [&](Executor* entry) { entry->available = available; });
}

void ExecutorPool::Remove(const ExecutorId& executor) {
  Change(executor, [](Executor* entry) { entry->known = false; });
}

void ExecutorPool::SetBusy(const ExecutorId& executor, int64_t busy_slots) {
  Change(executor, [&](Executor* entry) { entry->busy = std::max<int64_t>(0, busy_slots); });
}

double ExecutorPool::ExpectedSeconds(const Executor& executor) const {
  const double service = std::max(kMinServiceSeconds, executor.service_seconds > 0
                                                          ? executor.service_seconds
                                                          : kUnlearnedPartOfMean * mean_seconds_);
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
  Change(executor, [](Executor* entry) { ++entry->assigned; });
}

void ExecutorPool::Free(const ExecutorId& executor) {
  Change(executor, [](Executor* entry) { --entry->assigned; });
}

void ExecutorPool::Observe(const ExecutorId& executor, absl::Duration service_time, bool ok) {
  const auto it = executors_.find(executor);
  if (it == executors_.end()) {
    return;
  }
  it->second.failure_rate += kExecutorGain * ((ok ? 0.0 : 1.0) - it->second.failure_rate);
  // Failures are often faster than answers and would attract more requests.
  if (!ok) {
    return;
  }
  const double seconds = absl::ToDoubleSeconds(service_time);
  Follow(&it->second.service_seconds, seconds, kExecutorGain);
  if (mean_seconds_ > 0) {
    Follow(&deviation_seconds_, std::abs(seconds - mean_seconds_), kMeanGain);
  }
  Follow(&mean_seconds_, seconds, kMeanGain);
}

int64_t ExecutorPool::SlotsInUse(const ExecutorId& executor) const {
  const auto it = executors_.find(executor);
  return it != executors_.end() ? it->second.assigned + it->second.busy : 0;
}

absl::Duration ExecutorPool::UpperServiceTime() const {
  return absl::Seconds(mean_seconds_ + kUpperDeviations * deviation_seconds_);
}

}  // namespace pomelotray
