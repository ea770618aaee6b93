#ifndef POMELOTRAY_CELL_WORKERS_RESTART_TIMES_H_
#define POMELOTRAY_CELL_WORKERS_RESTART_TIMES_H_

#include "absl/time/time.h"
#include "base/event_log.h"

namespace pomelotray {

// The times of one restart of a long-running task, from the end of its last run to the confirmation
// of the next one.
class RestartTimes {
 public:
  // Whether the task has run and does not run now.
  bool active() const { return ended_ < absl::InfiniteFuture(); }
  // Whether this owner has ordered the task to start again.
  bool WasOrdered() const { return active() && orders_ > 0; }
  // When the last run ended; the infinite future if the task does not have to be restarted.
  absl::Time ended() const { return ended_; }
  // The last run ended at `ended`, or earlier, and the owner is sure of that from `known` on. Does
  // nothing if the restart has begun already.
  void Begin(absl::Time ended, absl::Time known);
  // A start order was decided. `asked` and `received` are the times of the question to the adviser
  // that the order's ticket came from; infinite past without an adviser.
  void Ordered(absl::Time now, absl::Time asked, absl::Time received);
  // The task runs again.
  void End() { *this = RestartTimes(); }
  // Adds the parts of the restart, in milliseconds, to the event of a start that was confirmed at
  // `confirmed`.
  void Describe(EventBuilder* event, absl::Time confirmed) const;

 private:
  absl::Time ended_ = absl::InfiniteFuture();
  absl::Time known_;
  absl::Time first_ordered_ = absl::InfinitePast();
  // Part of the time before the first order in which the adviser had a question.
  absl::Duration advice_;
  int orders_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKERS_RESTART_TIMES_H_
