#include "history/job_rules.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "model/job.h"

namespace pomelotray {
namespace {

// Returns true when the event records the final state of a job.
bool IsFinalState(const Event& event) {
  return (event.code == EventCode::kJobFinished || event.code == EventCode::kJobCancelled) &&
         !FieldOrEmpty(event, event_field::kState).empty();
}

// Returns true when the event records that the job ended without having run.
bool ReportsNotRun(const Event& event) {
  return IsFinalState(event) &&
         (FieldOrEmpty(event, event_field::kState) == JobStateName(JobState::kExpired) ||
          FieldOrEmpty(event, event_field::kReason) == kNotRunReason);
}

// Returns true when `event` tells the caller that the job did not run and thereby contradicts
// `run`. A refused submission may be repeated and accepted (`last_acceptance`); a start after that
// acceptance does not contradict the refusal.
bool ContradictsRun(const Event& event, const TaskRun& run, const Event* last_acceptance) {
  if (ReportsNotRun(event)) {
    return true;
  }
  if (event.code != EventCode::kJobRefused) {
    return false;
  }
  const bool accepted_later = last_acceptance != nullptr && event.time < last_acceptance->time;
  return run.start->time < event.time || !accepted_later;
}

}  // namespace

void CheckFinalStates(const HistoryIndex& index, bool complete, HistoryReport* report) {
  std::map<std::string, const Event*> accepted;
  // The first event for each final state of each job.
  std::map<std::string, std::map<std::string, const Event*>> finals;
  for (const Event& event : index.events()) {
    const std::string& job = FieldOrEmpty(event, event_field::kJob);
    if (event.code == EventCode::kJobAccepted) {
      accepted.emplace(job, &event);
    } else if (IsFinalState(event)) {
      finals[job].emplace(FieldOrEmpty(event, event_field::kState), &event);
    }
  }
  for (const auto& [job, acceptance] : accepted) {
    const auto it = finals.find(job);
    if (it == finals.end() && !complete) {
      report->inconclusive.push_back(absl::StrCat("Job ", job, " has no final state yet."));
    } else if (it == finals.end()) {
      report->violations.push_back(
          {HistoryRule::kNotOneFinalState,
           absl::StrCat("Job ", job, " was accepted but has no final state."),
           {*acceptance}});
    } else if (it->second.size() > 1) {
      std::vector<Event> events = {*acceptance};
      for (const auto& [state, event] : it->second) {
        events.push_back(*event);
      }
      report->violations.push_back({HistoryRule::kNotOneFinalState,
                                    absl::StrCat("Job ", job, " has more than one final state."),
                                    std::move(events)});
    }
  }
}

void CheckNotRun(const HistoryIndex& index, HistoryReport* report) {
  std::map<std::string, const Event*> last_acceptance;
  std::map<std::string, std::vector<const Event*>> denials;
  for (const Event& event : index.events()) {
    const std::string& job = FieldOrEmpty(event, event_field::kJob);
    if (event.code == EventCode::kJobAccepted) {
      last_acceptance[job] = &event;
    } else if (event.code == EventCode::kJobRefused || ReportsNotRun(event)) {
      denials[job].push_back(&event);
    }
  }
  std::set<std::string> reported;
  for (const TaskRun& run : index.runs()) {
    for (const Event* event : denials[run.job]) {
      if (ContradictsRun(*event, run, last_acceptance[run.job]) &&
          reported.insert(run.job).second) {
        report->violations.push_back(
            {HistoryRule::kStartOfJobNotRun,
             absl::StrCat("Job ", run.job,
                          " was reported as not run, but one of its tasks was started."),
             {*run.start, *event}});
      }
    }
  }
}

}  // namespace pomelotray
