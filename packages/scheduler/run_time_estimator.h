#ifndef POMELOTRAY_SCHEDULER_RUN_TIME_ESTIMATOR_H_
#define POMELOTRAY_SCHEDULER_RUN_TIME_ESTIMATOR_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/resources.h"
#include "base/strong_id.h"

namespace pomelotray {

// Estimates run time and resource use per customer and pool from the last kWindow finished tasks.
// Declared run times are often wrong by a factor of 10, so they are used only until kMinSamples
// tasks have been observed. Thread-compatible.
class RunTimeEstimator {
 public:
  static constexpr size_t kWindow = 64;
  static constexpr size_t kMinSamples = 5;
  static constexpr absl::Duration kUnknownRunTime = absl::Minutes(1);

  // Records a finished task.
  void Observe(const CustomerId& customer, const PoolName& pool, absl::Duration run_time,
               const Resources& used);

  // True when at least kMinSamples tasks have been observed.
  bool HasSamples(const CustomerId& customer, const PoolName& pool) const;
  // The median run time. Before kMinSamples tasks it is the declared run time, or kUnknownRunTime
  // if none is declared.
  absl::Duration MedianRunTime(const CustomerId& customer, const PoolName& pool,
                               absl::Duration declared) const;
  // The 90th percentile of the run time. Before kMinSamples tasks it is ten times the declared run
  // time, or ten times kUnknownRunTime if none is declared.
  absl::Duration P90RunTime(const CustomerId& customer, const PoolName& pool,
                            absl::Duration declared) const;
  // The mean measured resource use; zero until a task has been observed.
  Resources MeanUse(const CustomerId& customer, const PoolName& pool) const;

 private:
  using Key = std::pair<CustomerId, PoolName>;
  // Ring buffers of the last kWindow tasks; `next` is the index to overwrite once they are full.
  struct History {
    std::vector<absl::Duration> run_times;
    size_t next = 0;
    std::vector<Resources> used;
    absl::Duration median;
    absl::Duration p90;
  };

  // Null before kMinSamples tasks have been observed.
  const History* FindHistory(const CustomerId& customer, const PoolName& pool) const;

  absl::flat_hash_map<Key, History> histories_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_RUN_TIME_ESTIMATOR_H_
