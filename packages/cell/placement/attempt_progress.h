#ifndef POMELOTRAY_CELL_PLACEMENT_ATTEMPT_PROGRESS_H_
#define POMELOTRAY_CELL_PLACEMENT_ATTEMPT_PROGRESS_H_

#include <functional>
#include <optional>

#include "absl/time/time.h"
#include "cell/placement/step_run_times.h"

namespace pomelotray {

// How fast an attempt has progressed lately.
enum class Pace {
  // Nothing follows from the progress so far.
  kUnknown,
  // As fast as the attempt was before. It may have started on a slow worker.
  kSteady,
  // As fast as on a typical worker, or as before the attempt became slow.
  kNormal,
  // About half as fast as on a typical worker, or slower.
  kSlow,
  // About half as fast as the same attempt was before, or slower.
  kSlowed,
};

using TypicalRunTimeSource = std::function<std::optional<TypicalRunTime>()>;

// A report of an attempt's progress.
struct ProgressReport {
  // Percentage of the work that is done.
  int percent = 0;
  // Time of the report by the worker's clock, since an arbitrary time, and by the owner's.
  absl::Duration worker_time;
  absl::Time received;
};

// Judges the pace of one attempt by its reported progress, in consecutive windows that are long
// enough for the resolution of the reports. Not thread-safe.
class AttemptProgress {
 public:
  // `typical` returns what the attempt's step takes on a typical worker, if that is known; it is
  // called only at the end of a window. `estimate` is the run time that the submitter expects.
  void Note(const ProgressReport& report, const TypicalRunTimeSource& typical,
            absl::Duration estimate);
  // Begins a new window: a report was missed, so the worker may have been paused.
  void Restart(const ProgressReport& report);

  Pace pace() const { return pace_; }
  // Slowdown in the last window, as a logarithm; only if the pace is kSlow, kSlowed or kNormal.
  double log_slowdown() const { return log_slowdown_; }
  // Number of consecutive windows with the present pace.
  int windows() const { return windows_; }
  // End of the last window; infinite past if there was none.
  absl::Time judged_at() const { return judged_at_; }
  absl::Time received() const { return last_received_; }

 private:
  // `rate` is in percent per second; `longest_usual` is the longest run time on a typical worker
  // that the estimate allows for.
  void Judge(double rate, const std::optional<TypicalRunTime>& typical,
             absl::Duration longest_usual);
  void SetPace(Pace pace, double log_slowdown);

  std::optional<ProgressReport> window_start_;
  absl::Time last_received_ = absl::InfinitePast();
  // Highest rate of any window, in percent per second; 0 before the end of the first window.
  double best_rate_ = 0;
  // The attempt has had the pace kSlowed.
  bool slowed_ = false;
  Pace pace_ = Pace::kUnknown;
  double log_slowdown_ = 0;
  int windows_ = 0;
  absl::Time judged_at_ = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_ATTEMPT_PROGRESS_H_
