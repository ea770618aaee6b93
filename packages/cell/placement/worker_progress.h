#ifndef POMELOTRAY_CELL_PLACEMENT_WORKER_PROGRESS_H_
#define POMELOTRAY_CELL_PLACEMENT_WORKER_PROGRESS_H_

#include <map>

#include "absl/time/time.h"
#include "cell/placement/attempt_progress.h"
#include "cell/workers/cell_worker.h"

namespace pomelotray {

// Judges by the progress of a worker's running attempts whether the worker has become slow, before
// any of them ends. Not thread-safe.
class WorkerProgress {
 public:
  // Takes note of a report about one attempt; see AttemptProgress::Note(). `unbroken_since` is when
  // the reports of the worker resumed after the last gap.
  void Note(const AttemptKey& key, const ProgressReport& report, absl::Time unbroken_since,
            const TypicalRunTimeSource& typical, absl::Duration estimate);
  // Updates the verdict and drops what is known of attempts that have ended.
  void Update(const CellWorker& worker, absl::Time now);

  // Whether most running attempts run at half their speed or less.
  bool slow() const { return slow_; }
  // Slowdown of a slow worker as a logarithm.
  double log_slowdown() const { return log_slowdown_; }
  // Whether the last update has found most attempts to run at normal speed.
  bool normal() const { return normal_; }

 private:
  std::map<AttemptKey, AttemptProgress> attempts_;
  bool changed_ = false;
  bool slow_ = false;
  bool normal_ = false;
  double log_slowdown_ = 0;
  // When the worker was last found to be slow.
  absl::Time confirmed_at_ = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_WORKER_PROGRESS_H_
