#include "cell/placement/start_urgency.h"

#include <algorithm>

namespace pomelotray {
namespace {

// How long a task waits before the rule gives way.
absl::Duration WaitBeforeOverride(WithholdingRule rule, bool restart) {
  switch (rule) {
    case WithholdingRule::kOrder:
      return restart ? absl::Milliseconds(500) : absl::Seconds(1);
    case WithholdingRule::kReservation:
      return restart ? absl::Milliseconds(500) : absl::Seconds(2);
    case WithholdingRule::kIsolation:
    case WithholdingRule::kSuspicion:
      return restart ? absl::Seconds(1) : absl::Seconds(2);
    case WithholdingRule::kSuspicionAmongRecentStarts:
      return restart ? absl::Milliseconds(1500) : absl::Seconds(2);
  }
  return absl::InfiniteDuration();
}

}  // namespace

StartUrgency::StartUrgency(const StepSpec& step, const CellTask& task, absl::Time now)
    : waiting_since_(step.long_running && task.phase == TaskPhase::kWaiting
                         ? task.waiting_since
                         : absl::InfiniteFuture()),
      waited_(now - waiting_since_),
      restart_(task.last_run > RunNumber(0)),
      out_of_budget_(now - task.restart.ended() >= kRulesBudget) {}

bool StartUrgency::Overrides(WithholdingRule rule) const {
  return waited_ >= WaitBeforeOverride(rule, restart_) ||
         (out_of_budget_ && waited_ >= absl::ZeroDuration());
}

absl::Time UrgentSince(const StepSpec& step, const StepRun& run, absl::Time now) {
  absl::Time since = absl::InfiniteFuture();
  if (!step.long_running) {
    return since;
  }
  for (const CellTask& task : run.tasks) {
    // A task that was stopped to be moved takes the capacity that was held for it.
    if (task.phase == TaskPhase::kWaiting && !task.moving_to.empty()) {
      return absl::InfinitePast();
    }
    const StartUrgency urgency(step, task, now);
    if (urgency.Overrides(WithholdingRule::kOrder)) {
      since = std::min(since, urgency.waiting_since());
    }
  }
  return since;
}

}  // namespace pomelotray
