#ifndef POMELOTRAY_SCHEDULER_FAILED_SHAPES_H_
#define POMELOTRAY_SCHEDULER_FAILED_SHAPES_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/resources.h"

namespace pomelotray {

// Properties of a job that decide whether its tasks can be placed.
struct TaskShape {
  Resources demand;
  // Number of tasks that must be placed together.
  int64_t count = 1;
  bool urgent = false;
  bool repeatable = true;
  absl::Duration run_time;
};

// Remembers shapes that could not be placed, so that the scheduler does not retry tasks that are at
// least as hard to place before capacity has become free.
class FailedShapes {
 public:
  // All entries are dropped after this time, because a quarantined worker that becomes due for a
  // probe and an earmark (see PreemptionPlanner) that expires make capacity available without a
  // release.
  static constexpr absl::Duration kLifetime = absl::Seconds(1);

  void Add(const TaskShape& shape);
  // Returns true if a remembered shape is at most as hard to place as `shape`.
  bool Covers(const TaskShape& shape) const;
  void Clear() { shapes_.clear(); }
  void ClearIfOld(absl::Time now);

 private:
  // Comparing with more entries than this costs more than a failing search for a worker.
  static constexpr size_t kMaxShapes = 32;

  std::vector<TaskShape> shapes_;
  // Entry that is overwritten next once the list is full.
  size_t next_ = 0;
  absl::Time cleared_at_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_FAILED_SHAPES_H_
