#include "cell/placement/worker_progress.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <vector>

namespace pomelotray {
namespace {

// A pace counts for this long after the end of its window. Windows of tasks of up to a minute are
// shorter.
constexpr absl::Duration kPaceValidity = absl::Seconds(4);
// A slow worker whose attempts no longer show its speed gets urgent work again after this time,
// which shows whether it has recovered.
constexpr absl::Duration kVerdictValidity = absl::Seconds(10);
// A single attempt decides about its worker only if its pace lasts for this many windows: one
// window may be a short pause.
constexpr int kWindowsOfSingleAttempt = 2;

}  // namespace

void WorkerProgress::Note(const AttemptKey& key, const ProgressReport& report,
                          absl::Time unbroken_since, const TypicalRunTimeSource& typical,
                          absl::Duration estimate) {
  AttemptProgress& attempt = attempts_[key];
  if (attempt.received() < unbroken_since) {
    attempt.Restart(report);
    return;
  }
  attempt.Note(report, typical, estimate);
  changed_ = changed_ || attempt.judged_at() == report.received;
}

void WorkerProgress::Update(const CellWorker& worker, absl::Time now) {
  normal_ = false;
  if (slow_ && now - confirmed_at_ > kVerdictValidity) {
    slow_ = false;
  }
  if (attempts_.size() > worker.attempts.size()) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      it = worker.attempts.count(it->first) > 0 ? std::next(it) : attempts_.erase(it);
    }
  }
  if (!changed_) {
    return;
  }
  changed_ = false;
  size_t judged = 0;
  size_t normal = 0;
  bool sure = false;
  std::vector<double> slowdowns;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.pace() == Pace::kUnknown || now - attempt.judged_at() > kPaceValidity ||
        worker.attempts.count(key) == 0) {
      continue;
    }
    ++judged;
    normal += attempt.pace() == Pace::kNormal ? 1 : 0;
    sure = sure || (attempt.pace() != Pace::kSlow && attempt.windows() >= kWindowsOfSingleAttempt);
    if (attempt.pace() == Pace::kSlow || attempt.pace() == Pace::kSlowed) {
      slowdowns.push_back(attempt.log_slowdown());
    }
  }
  // The run time of a single attempt may be an outlier, but not a change of its pace.
  if (2 * slowdowns.size() > judged && (slowdowns.size() > 1 || sure)) {
    const auto middle = slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2);
    std::nth_element(slowdowns.begin(), middle, slowdowns.end());
    slow_ = true;
    log_slowdown_ = std::clamp(*middle, kSlowLogSlowdown, kMaxLogSlowdown);
    confirmed_at_ = now;
  } else if (2 * normal > judged && (normal > 1 || sure)) {
    slow_ = false;
    normal_ = true;
  }
}

}  // namespace pomelotray
