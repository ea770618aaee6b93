#include "cell/placement/attempt_progress.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

// Progress that a window should contain at the expected rate, in percentage points. Progress is
// reported in whole points, so a rate is exact to a quarter then.
constexpr double kWindowPoints = 5;
// Shortest window. A message takes up to 20 ms, which is a twentieth of it.
constexpr absl::Duration kMinWindow = absl::Milliseconds(400);
// Progress of a window in which none was reported, in percentage points.
constexpr double kNoProgress = 0.5;
// Number of finished runs elsewhere from which on an attempt is compared with them. A single run
// may be an exceptionally short one.
constexpr int kMinTypicalRuns = 2;
// An attempt is slow from this slowdown on (a factor of 1.8 compared with other runs, of 1.6
// compared with its own earlier pace): a change from 9 to 4.5 points a second is reported as one to
// 5 points in every second window.
constexpr double kSlowPace = kSlowLogSlowdown - 0.1;
constexpr double kSlowedPace = kSlowLogSlowdown - 0.2;
// Estimates of submitters are up to 90% off, so a run may take 1.9 times its estimate on a typical
// worker: only from 3.4 times the estimate on is its worker slow.
constexpr double kEstimateMargin = 1.9;

// Returns the time between two reports. A late report seems to end a long window by the owner's
// clock, a correction of the worker's clock by the other; the shorter time avoids false alarms.
absl::Duration Between(const ProgressReport& from, const ProgressReport& to) {
  const absl::Duration received = to.received - from.received;
  const absl::Duration reported = to.worker_time - from.worker_time;
  return reported > absl::ZeroDuration() ? std::min(received, reported) : received;
}

}  // namespace

void AttemptProgress::Restart(const ProgressReport& report) {
  window_start_ = report;
  last_received_ = report.received;
}

void AttemptProgress::Note(const ProgressReport& report, const TypicalRunTimeSource& typical,
                           absl::Duration estimate) {
  last_received_ = report.received;
  if (!window_start_.has_value() || report.percent < window_start_->percent) {
    window_start_ = report;
    return;
  }
  const absl::Duration longest_usual = std::max(estimate, kMinWindow) * kEstimateMargin;
  const double seconds = absl::ToDoubleSeconds(Between(*window_start_, report));
  const double points = report.percent - window_start_->percent;
  const double expected_rate =
      best_rate_ > 0 ? best_rate_ : 100 / absl::ToDoubleSeconds(longest_usual);
  if (seconds < absl::ToDoubleSeconds(kMinWindow) ||
      std::max(points, expected_rate * seconds) < kWindowPoints) {
    return;
  }
  window_start_ = report;
  judged_at_ = report.received;
  Judge(std::max(points, kNoProgress) / seconds, typical(), longest_usual);
}

void AttemptProgress::Judge(double rate, const std::optional<TypicalRunTime>& typical,
                            absl::Duration longest_usual) {
  const double log_drop = best_rate_ > 0 ? std::log(best_rate_ / rate) : 0;
  best_rate_ = std::max(best_rate_, rate);
  if (log_drop >= kSlowedPace) {
    slowed_ = true;
    SetPace(Pace::kSlowed, log_drop);
    return;
  }
  const double log_seconds = std::log(100 / rate);
  if (typical.has_value() && typical->runs >= kMinTypicalRuns) {
    const double log_slowdown = log_seconds - typical->log_seconds;
    if (log_slowdown >= kSlowPace) {
      SetPace(Pace::kSlow, log_slowdown);
    } else if (log_slowdown < kRecoveredLogSlowdown) {
      SetPace(Pace::kNormal, log_slowdown);
    } else {
      SetPace(Pace::kSteady, log_slowdown);
    }
    return;
  }
  if (slowed_ && log_drop < kRecoveredLogSlowdown) {
    SetPace(Pace::kNormal, log_drop);
    return;
  }
  const double log_excess = log_seconds - std::log(absl::ToDoubleSeconds(longest_usual));
  if (log_excess >= kSlowPace) {
    SetPace(Pace::kSlow, log_excess);
  } else {
    SetPace(Pace::kSteady, 0);
  }
}

void AttemptProgress::SetPace(Pace pace, double log_slowdown) {
  windows_ = pace == pace_ ? windows_ + 1 : 1;
  pace_ = pace;
  log_slowdown_ = log_slowdown;
}

}  // namespace pomelotray
