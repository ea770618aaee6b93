#include "scheduler/run_time_estimator.h"

#include <algorithm>

namespace pomelotray {
namespace {

// Declared run times are often wrong by this factor.
constexpr int kDeclaredErrorFactor = 10;

absl::Duration Quantile(const std::vector<absl::Duration>& sorted, size_t percent) {
  return sorted[std::min(sorted.size() - 1, sorted.size() * percent / 100)];
}

absl::Duration DeclaredOrUnknown(absl::Duration declared) {
  return declared > absl::ZeroDuration() ? declared : RunTimeEstimator::kUnknownRunTime;
}

}  // namespace

void RunTimeEstimator::Observe(const CustomerId& customer, const PoolName& pool,
                               absl::Duration run_time, const Resources& used) {
  History& history = histories_[Key(customer, pool)];
  if (history.run_times.size() < kWindow) {
    history.run_times.push_back(run_time);
    history.used.push_back(used);
  } else {
    history.run_times[history.next] = run_time;
    history.used[history.next] = used;
  }
  history.next = (history.next + 1) % kWindow;
  std::vector<absl::Duration> sorted = history.run_times;
  std::sort(sorted.begin(), sorted.end());
  history.median = Quantile(sorted, 50);
  history.p90 = Quantile(sorted, 90);
}

const RunTimeEstimator::History* RunTimeEstimator::FindHistory(const CustomerId& customer,
                                                               const PoolName& pool) const {
  const auto it = histories_.find(Key(customer, pool));
  const bool enough = it != histories_.end() && it->second.run_times.size() >= kMinSamples;
  return enough ? &it->second : nullptr;
}

bool RunTimeEstimator::HasSamples(const CustomerId& customer, const PoolName& pool) const {
  return FindHistory(customer, pool) != nullptr;
}

absl::Duration RunTimeEstimator::MedianRunTime(const CustomerId& customer, const PoolName& pool,
                                               absl::Duration declared) const {
  const History* history = FindHistory(customer, pool);
  return history != nullptr ? history->median : DeclaredOrUnknown(declared);
}

absl::Duration RunTimeEstimator::P90RunTime(const CustomerId& customer, const PoolName& pool,
                                            absl::Duration declared) const {
  const History* history = FindHistory(customer, pool);
  return history != nullptr ? history->p90 : kDeclaredErrorFactor * DeclaredOrUnknown(declared);
}

Resources RunTimeEstimator::MeanUse(const CustomerId& customer, const PoolName& pool) const {
  const auto it = histories_.find(Key(customer, pool));
  if (it == histories_.end()) {
    return {};
  }
  Resources sum;
  for (const Resources& used : it->second.used) {
    sum += used;
  }
  const int64_t count = static_cast<int64_t>(it->second.used.size());
  return {MilliCores(sum.cpu.value() / count), MebiBytes(sum.memory.value() / count),
          AcceleratorCount(sum.accelerators.value() / count), SlotCount(sum.slots.value() / count)};
}

}  // namespace pomelotray
