#include "cell/placement/step_run_times.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace pomelotray {
namespace {

// Older runs keep their last contribution to the estimates. Bounds the memory and the time of an
// update, which is quadratic in this number.
constexpr size_t kMaxRuns = 16;

// Largest deviation of one run from the estimate of its worker that counts, as a logarithm (a
// factor of 2). Run times are heavy-tailed, and one extreme run must not outweigh the others.
constexpr double kMaxDeviation = 0.6931471805599453;

double Median(std::vector<double>* values) {
  const size_t middle = values->size() / 2;
  const auto upper = values->begin() + static_cast<std::ptrdiff_t>(middle);
  std::nth_element(values->begin(), upper, values->end());
  return values->size() % 2 == 1 ? *upper
                                 : (*upper + *std::max_element(values->begin(), upper)) / 2;
}

}  // namespace

std::optional<TypicalRunTime> StepRunTimes::TypicalElsewhere(const SpeedEstimate* worker,
                                                             absl::Time now) const {
  std::vector<double> corrected;
  corrected.reserve(runs_.size());
  for (const Run& run : runs_) {
    if (run.worker.get() != worker) {
      corrected.push_back(run.log_seconds - run.worker->LogSlowdown(now));
    }
  }
  if (corrected.empty()) {
    return std::nullopt;
  }
  return TypicalRunTime{Median(&corrected), static_cast<int>(corrected.size())};
}

void StepRunTimes::Add(std::shared_ptr<SpeedEstimate> worker, double log_seconds, absl::Time now) {
  if (runs_.size() == kMaxRuns) {
    runs_.pop_front();
  }
  Run added{std::move(worker), log_seconds, SpeedSample()};
  added.sample.at = now;
  runs_.push_back(std::move(added));
  std::vector<const SpeedEstimate*> updated;
  for (const Run& first : runs_) {
    const SpeedEstimate* const estimate = first.worker.get();
    if (std::find(updated.begin(), updated.end(), estimate) != updated.end()) {
      continue;
    }
    updated.push_back(estimate);
    const std::optional<TypicalRunTime> typical = TypicalElsewhere(estimate, now);
    if (!typical.has_value()) {
      return;  // All runs are on this worker.
    }
    const double current = estimate->LogSlowdown(now);
    // The weight follows from the variance of the difference between the means of the worker's
    // `runs_.size() - typical->runs` runs and of the other runs.
    const double weight = static_cast<double>(typical->runs) / static_cast<double>(runs_.size());
    for (Run& run : runs_) {
      if (run.worker.get() != estimate) {
        continue;
      }
      const SpeedSample previous = run.sample;
      run.sample.runs = weight;
      run.sample.log_slowdown = std::clamp(
          std::clamp(run.log_seconds - typical->log_seconds, -kMaxLogSlowdown, kMaxLogSlowdown),
          current - kMaxDeviation, current + kMaxDeviation);
      run.worker->Replace(previous, run.sample, now);
    }
  }
}

}  // namespace pomelotray
