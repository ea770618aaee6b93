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

// Learns run times and use per customer and pool from the last kWindow tasks. Declared run times
// are often wrong by a factor of 10, so they count only until kMinSamples tasks have been seen.
// Thread-compatible.
class RunTimeEstimator {
 public:
  static constexpr size_t kWindow = 64;
  static constexpr size_t kMinSamples = 5;
  static constexpr absl::Duration kUnknownRunTime = absl::Minutes(1);

  void Observe(const CustomerId& customer, const PoolName& pool, absl::Duration run_time,
               const Resources& used);

  bool HasLearned(const CustomerId& customer, const PoolName& pool) const;
  // Median run time; the declared one, or kUnknownRunTime, until learned.
  absl::Duration Typical(const CustomerId& customer, const PoolName& pool,
                         absl::Duration declared) const;
  // A run time that nine of ten tasks stay within; ten times the declared one until learned.
  absl::Duration Upper(const CustomerId& customer, const PoolName& pool,
                       absl::Duration declared) const;
  // Mean measured use; zero until a task was seen.
  Resources TypicalUse(const CustomerId& customer, const PoolName& pool) const;

 private:
  using Key = std::pair<CustomerId, PoolName>;
  struct History {
    std::vector<absl::Duration> run_times;
    size_t next = 0;
    std::vector<Resources> used;
    absl::Duration median;
    absl::Duration upper;
  };

  const History* Learned(const CustomerId& customer, const PoolName& pool) const;

  absl::flat_hash_map<Key, History> histories_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_RUN_TIME_ESTIMATOR_H_
