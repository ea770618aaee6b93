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

// Whether the event states how a job ended.
bool IsFinalState(const Event& event) {
  return (event.code == EventCode::kJobFinished || event.code == EventCode::kJobCancelled) &&
         !FieldOf(event, event_field::kState).empty();
}

// Whether the event states that the job ended without having run.
bool SaysNotRun(const Event& event) {
  return IsFinalState(event) &&
         (FieldOf(event, event_field::kState) == JobStateName(JobState::kExpired) ||
          FieldOf(event, event_field::kReason) == kNotRunReason);
}

// Whether `event` says that the job of `run` did not run. A submission that was refused may be
// repeated and accepted (`last_acceptance`); a start after that is no fault.
bool Denies(const Event& event, const TaskRun& run, const Event* last_acceptance) {
  if (SaysNotRun(event)) {
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
  // Final events of each job, one for each state.
  std::map<std::string, std::map<std::string, const Event*>> finals;
  for (const Event& event : index.events()) {
    const std::string& job = FieldOf(event, event_field::kJob);
    if (event.code == EventCode::kJobAccepted) {
      accepted.emplace(job, &event);
    } else if (IsFinalState(event)) {
      finals[job].emplace(FieldOf(event, event_field::kState), &event);
    }
  }
  for (const auto& [job, acceptance] : accepted) {
    const auto it = finals.find(job);
    if (it == finals.end() && !complete) {
      report->inconclusive.push_back(absl::StrCat("Job ", job, " has no final state yet."));
    } else if (it == finals.end()) {
      report->violations.push_back(
          {HistoryRule::kNotOneFinalState,
           absl::StrCat("Job ", job, " was accepted and has no final state."),
           {*acceptance}});
    } else if (it->second.size() > 1) {
      std::vector<Event> events = {*acceptance};
      for (const auto& [state, event] : it->second) {
        events.push_back(*event);
      }
      report->violations.push_back({HistoryRule::kNotOneFinalState,
                                    absl::StrCat("Job ", job, " has several final states."),
                                    std::move(events)});
    }
  }
}

void CheckNotRun(const HistoryIndex& index, HistoryReport* report) {
  std::map<std::string, const Event*> last_acceptance;
  std::map<std::string, std::vector<const Event*>> denials;
  for (const Event& event : index.events()) {
    const std::string& job = FieldOf(event, event_field::kJob);
    if (event.code == EventCode::kJobAccepted) {
      last_acceptance[job] = &event;
    } else if (event.code == EventCode::kJobRefused || SaysNotRun(event)) {
      denials[job].push_back(&event);
    }
  }
  std::set<std::string> reported;
  for (const TaskRun& run : index.runs()) {
    for (const Event* event : denials[run.job]) {
      if (Denies(*event, run, last_acceptance[run.job]) && reported.insert(run.job).second) {
        report->violations.push_back(
            {HistoryRule::kStartOfJobNotRun,
             absl::StrCat("Job ", run.job, " was reported as not run and has a start."),
             {*run.start, *event}});
      }
    }
  }
}

}  // namespace pomelotray
