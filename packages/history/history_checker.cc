#include "history/history_checker.h"

#include <utility>

#include "history/history_index.h"
#include "history/job_rules.h"
#include "history/merge_timelines.h"
#include "history/request_rules.h"
#include "history/task_rules.h"

namespace pomelotray {

std::string_view HistoryRuleName(HistoryRule rule) {
  switch (rule) {
    case HistoryRule::kStartedTwice:
      return "started_twice";
    case HistoryRule::kTwoPlaces:
      return "two_places";
    case HistoryRule::kOverCapacity:
      return "over_capacity";
    case HistoryRule::kCapExceeded:
      return "cap_exceeded";
    case HistoryRule::kForeignAnswer:
      return "foreign_answer";
    case HistoryRule::kSecondAnswer:
      return "second_answer";
    case HistoryRule::kRevisionWentBack:
      return "revision_went_back";
    case HistoryRule::kNotOneFinalState:
      return "not_one_final_state";
    case HistoryRule::kStartOfJobNotRun:
      return "start_of_job_not_run";
    case HistoryRule::kStartAfterLeaving:
      return "start_after_leaving";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, const Violation& violation) {
  out << HistoryRuleName(violation.rule) << ": " << violation.message << "\n";
  for (const Event& event : violation.events) {
    out << "  " << RenderEvent(event) << "\n";
  }
  return out;
}

HistoryReport HistoryChecker::Check(std::vector<Event> events) const {
  const HistoryIndex index(MergeTimelines({std::move(events)}));
  HistoryReport report;
  CheckStartedTwice(index, &report);
  CheckTwoPlaces(index, &report);
  CheckCapacity(index, &report);
  CheckCaps(index, settings_.caps_, settings_.settling_time_, &report);
  CheckLeaving(index, settings_.leaving_grace_, &report);
  CheckAnswers(index, &report);
  CheckRevisions(index, &report);
  CheckFinalStates(index, settings_.complete_, &report);
  CheckNotRun(index, &report);
  return report;
}

}  // namespace pomelotray
