#include "cell/worker_loss.h"

#include <algorithm>

namespace pomelotray {
namespace {

// Two run times are similar if they differ by at most this factor and this time, by which the loss
// of a worker may be noticed late.
constexpr absl::Duration kNoticeDelay = absl::Milliseconds(250);
constexpr double kSimilarFactor = 1.25;
// Number of similar losses after which a task is given up, the last of them on a worker of its own.
// Fewer are needed if the workers were lost at the start, since a loss for another cause rarely
// falls into that time.
constexpr int kLossesToGiveUp = 3;
constexpr int kLossesAtStartToGiveUp = 2;
constexpr absl::Duration kStartTime = absl::Milliseconds(100);
// A task is suspected after this many losses, even if none happened at its start and no two are
// similar.
constexpr size_t kLossesToSuspect = 3;
// A clearing attempt must run longer than the lost ones by this factor and time.
constexpr double kProbationFactor = 2;
constexpr absl::Duration kProbationMargin = absl::Milliseconds(500);

bool AreSimilar(const LostAttempt& a, const LostAttempt& b) {
  const auto [shorter, longer] = std::minmax(a.ran_for, b.ran_for);
  return longer < absl::InfiniteDuration() && longer <= shorter * kSimilarFactor + kNoticeDelay;
}

// Whether the losses are similar as far as is known.
bool MayBeSimilar(const LostAttempt& a, const LostAttempt& b) {
  return AreSimilar(a, b) || std::max(a.ran_for, b.ran_for) == absl::InfiniteDuration();
}

bool IsAtStart(const LostAttempt& attempt) {
  return attempt.started_last && attempt.ran_for <= kStartTime;
}

}  // namespace

const char* WorkerLossCauseName(WorkerLossCause cause) {
  switch (cause) {
    case WorkerLossCause::kCrashed:
      return "crashed";
    case WorkerLossCause::kVanished:
      return "vanished";
    case WorkerLossCause::kCutOff:
      return "cut off";
    case WorkerLossCause::kLeft:
      return "left";
  }
  return "unknown";
}

bool MayBeCausedByTask(WorkerLossCause cause) {
  return cause == WorkerLossCause::kCrashed || cause == WorkerLossCause::kVanished;
}

bool WorkerLossHistory::Add(const LostAttempt& attempt) {
  if (Contains(attempt.run)) {
    return false;
  }
  attempts_.push_back(attempt);
  return true;
}

bool WorkerLossHistory::Remove(RunNumber run) {
  const auto it = std::find_if(attempts_.begin(), attempts_.end(),
                               [run](const LostAttempt& attempt) { return attempt.run == run; });
  if (it == attempts_.end()) {
    return false;
  }
  attempts_.erase(it);
  return true;
}

bool WorkerLossHistory::Contains(RunNumber run) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [run](const LostAttempt& attempt) { return attempt.run == run; });
}

int WorkerLossHistory::CountSimilarToLast() const {
  return static_cast<int>(std::count_if(
      attempts_.begin(), attempts_.end(),
      [this](const LostAttempt& attempt) { return AreSimilar(attempt, attempts_.back()); }));
}

int WorkerLossHistory::CountAtStart() const {
  return static_cast<int>(std::count_if(attempts_.begin(), attempts_.end(), IsAtStart));
}

bool WorkerLossHistory::IsLongRunningTaskSuspected() const {
  return CountAtStart() > 0 || attempts_.size() >= kLossesToSuspect;
}

bool WorkerLossHistory::IsSuspected() const {
  return IsLongRunningTaskSuspected() ||
         (attempts_.size() > 1 && MayBeSimilar(attempts_.front(), attempts_.back()));
}

bool WorkerLossHistory::CrashesWorkers() const {
  if (attempts_.empty() || !attempts_.back().alone) {
    return false;
  }
  return CountSimilarToLast() >= kLossesToGiveUp ||
         (IsAtStart(attempts_.back()) && CountAtStart() >= kLossesAtStartToGiveUp);
}

absl::Duration WorkerLossHistory::Probation() const {
  absl::Duration longest;
  for (const LostAttempt& attempt : attempts_) {
    if (attempt.ran_for < absl::InfiniteDuration()) {
      longest = std::max(longest, attempt.ran_for);
    }
  }
  return longest * kProbationFactor + kProbationMargin;
}

}  // namespace pomelotray
