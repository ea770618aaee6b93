#ifndef POMELOTRAY_CELL_PLACEMENT_STEP_RUN_TIMES_H_
#define POMELOTRAY_CELL_PLACEMENT_STEP_RUN_TIMES_H_

#include <deque>
#include <memory>
#include <optional>

#include "absl/time/time.h"
#include "cell/placement/speed_estimate.h"

namespace pomelotray {

// What the tasks of a step take on a typical worker.
struct TypicalRunTime {
  // Logarithm of the run time in seconds.
  double log_seconds = 0;
  // Number of runs that this is known from.
  int runs = 0;
};

// The last run times of one step's tasks. Estimates the work of a task and the speeds of the
// workers jointly, by alternating least squares: the tasks of a step often share one or two
// workers, so a mean over the step would contain the speeds of these workers. Not thread-safe.
class StepRunTimes {
 public:
  // Adds a run on the worker that `worker` is the estimate of, and updates the estimates of all
  // workers that ran tasks of the step.
  void Add(std::shared_ptr<SpeedEstimate> worker, double log_seconds, absl::Time now);
  // Returns the median over the runs on workers other than `worker`, each corrected by the speed of
  // its worker, or no value if there are none.
  std::optional<TypicalRunTime> TypicalElsewhere(const SpeedEstimate* worker, absl::Time now) const;

 private:
  struct Run {
    // Shared, because a run stays comparable after the process of its worker has ended.
    std::shared_ptr<SpeedEstimate> worker;
    double log_seconds = 0;
    // What the run currently contributes to the estimate.
    SpeedSample sample;
  };

  std::deque<Run> runs_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_STEP_RUN_TIMES_H_
