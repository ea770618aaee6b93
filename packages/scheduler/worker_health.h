#ifndef POMELOTRAY_SCHEDULER_WORKER_HEALTH_H_
#define POMELOTRAY_SCHEDULER_WORKER_HEALTH_H_

#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/strong_id.h"

namespace pomelotray {

// Quarantines a worker when its last kFailuresToQuarantine task starts all failed and belong to at
// least two jobs. After an exponential backoff, a quarantined worker may be given one repeatable
// task as a probe; a successful start ends the quarantine. A start has succeeded when its attempt
// has ended with success or has run for kProvenRunTime. Thread-compatible.
class WorkerHealth {
 public:
  static constexpr size_t kFailuresToQuarantine = 3;
  static constexpr absl::Duration kFirstBackoff = absl::Seconds(30);
  static constexpr absl::Duration kMaxBackoff = absl::Minutes(30);
  // Another probe may be placed when the last one has had no outcome for this time.
  static constexpr absl::Duration kProbeTimeout = absl::Minutes(1);

  // An attempt that has run for this time counts as a successful start, whether it keeps running or
  // fails later: a service never ends, and its failure after days does not indicate a faulty
  // worker. Declared run times are off by a factor of up to 10, so a batch attempt declared with
  // RunTimeEstimator::kUnknownRunTime, one minute, still counts by its end.
  static constexpr absl::Duration kProvenRunTime = absl::Minutes(10);

  // At most 1/kQuarantineDivisor of the workers of the shard, but at least one, can be quarantined
  // at the same time. When more workers appear faulty, the jobs are the likely cause; without this
  // limit, a few failing jobs could stop the whole shard.
  static constexpr size_t kQuarantineDivisor = 4;

  // Records the outcome of a task start. `workers` is the number of workers in the shard.
  void RecordStart(const WorkerId& worker, const JobId& job, bool ok, absl::Time now,
                   size_t workers);
  // Records a placement. On a quarantined worker, the placed task is the probe.
  void RecordPlacement(const WorkerId& worker, absl::Time now);
  // Discards the recorded failures of the worker and ends its quarantine.
  void RemoveWorker(const WorkerId& worker);

  bool IsQuarantined(const WorkerId& worker) const;
  // A quarantined worker accepts only a repeatable task, once its next probe is due.
  bool MayPlace(const WorkerId& worker, bool repeatable, absl::Time now) const;
  size_t quarantined_count() const { return quarantined_count_; }

 private:
  struct Record {
    // The jobs of the last failed starts, at most kFailuresToQuarantine.
    std::deque<JobId> recent_failures;
    bool quarantined = false;
    absl::Duration backoff;
    absl::Time next_probe;
  };

  absl::flat_hash_map<WorkerId, Record> records_;
  size_t quarantined_count_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_WORKER_HEALTH_H_
