#ifndef POMELOTRAY_SCHEDULER_WORKER_HEALTH_H_
#define POMELOTRAY_SCHEDULER_WORKER_HEALTH_H_

#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/strong_id.h"

namespace pomelotray {

// Quarantines workers whose last kFailuresToQuarantine starts all failed, over at least two jobs.
// A quarantined worker is offered one repeatable task after an exponential backoff; a success
// restores it. Thread-compatible.
class WorkerHealth {
 public:
  static constexpr size_t kFailuresToQuarantine = 3;
  static constexpr absl::Duration kFirstBackoff = absl::Seconds(30);
  static constexpr absl::Duration kMaxBackoff = absl::Minutes(30);
  // A probe without an outcome after this time may be sent again.
  static constexpr absl::Duration kProbeTimeout = absl::Minutes(1);

  // At most this part of the shard's workers, but at least one, is quarantined at a time: when more
  // of them seem faulty, the jobs are. Otherwise a few failing jobs could stop a whole shard.
  static constexpr size_t kQuarantineDivisor = 4;

  // `workers`: number of workers in the shard.
  void RecordStart(const WorkerId& worker, const JobId& job, bool ok, absl::Time now,
                   size_t workers);
  // A placement on a quarantined worker is its probe.
  void RecordPlacement(const WorkerId& worker, absl::Time now);
  void Forget(const WorkerId& worker);

  bool IsQuarantined(const WorkerId& worker) const;
  bool MayPlace(const WorkerId& worker, bool repeatable, absl::Time now) const;
  size_t quarantined_count() const { return quarantined_count_; }

 private:
  struct Record {
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
