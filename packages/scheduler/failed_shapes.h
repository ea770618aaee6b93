#ifndef POMELOTRAY_SCHEDULER_FAILED_SHAPES_H_
#define POMELOTRAY_SCHEDULER_FAILED_SHAPES_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/resources.h"

namespace pomelotray {

// What decides whether tasks find room.
struct TaskShape {
  Resources demand;
  // Tasks that must be placed together.
  int64_t count = 1;
  bool urgent = false;
  bool repeatable = true;
  absl::Duration run_time;
};

// Remembers shapes that found no room, so that tasks that are at least as hard to place are not
// tried again until room is freed.
class FailedShapes {
 public:
  // Forgets everything after this time, because probes of quarantined workers and expired
  // earmarks open room without a release.
  static constexpr absl::Duration kLifetime = absl::Seconds(1);

  void Add(const TaskShape& shape);
  bool Covers(const TaskShape& shape) const;
  void Clear() { shapes_.clear(); }
  void ClearIfOld(absl::Time now);

 private:
  // More entries cost more to compare than a search that fails.
  static constexpr size_t kMaxShapes = 32;

  std::vector<TaskShape> shapes_;
  size_t next_ = 0;
  absl::Time cleared_at_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_FAILED_SHAPES_H_
