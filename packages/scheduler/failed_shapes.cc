#include "scheduler/failed_shapes.h"

#include <algorithm>

namespace pomelotray {

void FailedShapes::Add(const TaskShape& shape) {
  if (shapes_.size() < kMaxShapes) {
    shapes_.push_back(shape);
    return;
  }
  shapes_[next_] = shape;
  next_ = (next_ + 1) % kMaxShapes;
}

bool FailedShapes::Covers(const TaskShape& shape) const {
  return std::any_of(shapes_.begin(), shapes_.end(), [&shape](const TaskShape& failed) {
    return failed.demand.FitsInto(shape.demand) && failed.count <= shape.count &&
           (failed.urgent || !shape.urgent) && (failed.repeatable || !shape.repeatable) &&
           failed.run_time <= shape.run_time;
  });
}

void FailedShapes::ClearIfOld(absl::Time now) {
  if (now - cleared_at_ >= kLifetime) {
    cleared_at_ = now;
    Clear();
  }
}

}  // namespace pomelotray
