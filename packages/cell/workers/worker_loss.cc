#include "cell/workers/worker_loss.h"

#include <algorithm>
#include <iterator>

namespace pomelotray {
namespace {

// Two run times are similar if they differ by at most this factor and this time, by which the loss
// of a worker may be noticed late.
constexpr absl::Duration kNoticeDelay = absl::Milliseconds(250);
constexpr double kSimilarFactor = 1.25;
// Number of similar losses after which a task is given up, the last of them on a worker of its own.
// Fewer are needed if the workers were lost at the start, since a loss for another cause rarely
// falls into that time, and more if they were lost late: run times of more than a second are
// similar if they differ by half a second and more, and three ordinary crashes, 4.5 s apart, hit a
// task after 2.5 s of each run. Five keep the number of starts of a task that does crash its
// workers at what it is allowed: two after the third crash.
constexpr int kLateLossesToGiveUp = 5;
constexpr int kLossesToGiveUp = 3;
constexpr absl::Duration kEarlyTime = absl::Seconds(1);
constexpr int kLossesAtStartToGiveUp = 2;
constexpr absl::Duration kStartTime = absl::Milliseconds(100);
// The same for losses in the first second on workers that ran other jobs, too, started before.
constexpr int kLossesApartToGiveUp = 3;
// A task is suspected after this many losses, even if none happened at its start and no two are
// similar.
constexpr size_t kLossesToSuspect = 3;
// A clearing attempt must run longer than the lost ones by this factor and time.
constexpr double kProbationFactor = 2;
constexpr absl::Duration kProbationMargin = absl::Milliseconds(500);
// A loss is in a wave if at least this share of the other workers, and at least this number of
// them, were lost while the attempt ran.
constexpr double kWaveShare = 0.125;
constexpr size_t kMinWaveLosses = 3;

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

int CountAtStart(const std::vector<LostAttempt>& losses) {
  return static_cast<int>(std::count_if(losses.begin(), losses.end(), IsAtStart));
}

// Whether the loss followed the start closely.
bool IsEarly(const LostAttempt& attempt) {
  return attempt.ran_for <= kEarlyTime && attempt.started_last;
}

// Whether no start of another job explains the loss as well.
bool IsApart(const LostAttempt& attempt) { return attempt.started_apart || attempt.alone; }

// Number of early losses similar to the last one. Those that another start explains as well count
// half, rounded down.
int CountEarlySimilarToLast(const std::vector<LostAttempt>& losses) {
  int halves = 0;
  for (const LostAttempt& attempt : losses) {
    if (IsEarly(attempt) && AreSimilar(attempt, losses.back())) {
      halves += IsApart(attempt) ? 2 : 1;
    }
  }
  return halves / 2;
}

int LossesToGiveUp(const LostAttempt& last) {
  return last.ran_for <= kEarlyTime ? kLossesToGiveUp : kLateLossesToGiveUp;
}

// Number of losses after about the same run time as the last one, which is among them.
int CountSimilarToLast(const std::vector<LostAttempt>& losses) {
  return static_cast<int>(std::count_if(
      losses.begin(), losses.end(),
      [&losses](const LostAttempt& attempt) { return AreSimilar(attempt, losses.back()); }));
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

bool IsInWave(absl::Duration ran_for, absl::Time lost_at,
              const std::vector<absl::Time>& losses_of_others, size_t workers) {
  // Two losses at the same moment may be noticed at times that differ by kNoticeDelay.
  const absl::Time begin = lost_at - std::min(ran_for, kSettleTime) - kNoticeDelay;
  const absl::Time end = lost_at + kNoticeDelay;
  const auto lost = static_cast<size_t>(
      std::count_if(losses_of_others.begin(), losses_of_others.end(),
                    [begin, end](absl::Time at) { return begin <= at && at <= end; }));
  const size_t others = std::max<size_t>(workers, 1) - 1;
  return lost >= kMinWaveLosses &&
         static_cast<double>(lost) >= kWaveShare * static_cast<double>(others);
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

bool WorkerLossHistory::SetInWave(RunNumber run, bool in_wave) {
  const auto it = std::find_if(attempts_.begin(), attempts_.end(),
                               [run](const LostAttempt& attempt) { return attempt.run == run; });
  if (it == attempts_.end() || it->in_wave == in_wave) {
    return false;
  }
  it->in_wave = in_wave;
  return true;
}

std::vector<LostAttempt> WorkerLossHistory::Evidence() const {
  std::vector<LostAttempt> evidence;
  std::copy_if(attempts_.begin(), attempts_.end(), std::back_inserter(evidence),
               [](const LostAttempt& attempt) { return !attempt.in_wave; });
  return evidence;
}

bool WorkerLossHistory::IsLongRunningTaskSuspected() const {
  if (attempts_.empty()) {
    return false;
  }
  const std::vector<LostAttempt> evidence = Evidence();
  const auto known = std::count_if(
      evidence.begin(), evidence.end(),
      [](const LostAttempt& attempt) { return attempt.ran_for < absl::InfiniteDuration(); });
  return CountAtStart(evidence) > 0 || static_cast<size_t>(known) >= kLossesToSuspect;
}

bool WorkerLossHistory::IsSuspected() const {
  if (attempts_.empty()) {
    return false;
  }
  const std::vector<LostAttempt> evidence = Evidence();
  return CountAtStart(evidence) > 0 || evidence.size() >= kLossesToSuspect ||
         (evidence.size() > 1 && MayBeSimilar(evidence.front(), evidence.back()));
}

bool WorkerLossHistory::CrashesWorkers() const {
  if (attempts_.empty() || attempts_.back().in_wave) {
    return false;
  }
  const std::vector<LostAttempt> evidence = Evidence();
  const LostAttempt& last = evidence.back();
  if (IsEarly(last) && IsApart(last) && CountEarlySimilarToLast(evidence) >= kLossesApartToGiveUp) {
    return true;
  }
  return last.alone && (CountSimilarToLast(evidence) >= LossesToGiveUp(last) ||
                        (IsAtStart(last) && CountAtStart(evidence) >= kLossesAtStartToGiveUp));
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

absl::Duration WorkerLossHistory::LongRunningTaskProbation() const {
  return std::min(Probation(), kSettleTime);
}

}  // namespace pomelotray
