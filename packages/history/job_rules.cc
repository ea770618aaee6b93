#include "history/job_rules.h"

#include <map>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "model/job.h"

namespace pomelotray {
namespace {

constexpr char kNotRunReason[] = "not_run";

bool SaysNotRun(const Event& event) {
  return event.code == EventCode::kJobFinished &&
         (FieldOf(event, event_field::kState) == JobStateName(JobState::kExpired) ||
          FieldOf(event, event_field::kReason) == kNotRunReason);
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
    } else if (event.code == EventCode::kJobFinished) {
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
  std::map<std::string, const TaskRun*> started;
  for (const TaskRun& run : index.runs()) {
    started.emplace(run.job, &run);
  }
  std::set<std::string> accepted;
  for (const Event& event : index.events()) {
    if (event.code == EventCode::kJobAccepted) {
      accepted.insert(FieldOf(event, event_field::kJob));
    }
  }
  std::set<std::string> reported;
  for (const Event& event : index.events()) {
    const std::string& job = FieldOf(event, event_field::kJob);
    const auto run = started.find(job);
    // A refused submission may be repeated with the same key and then be accepted.
    const bool refused = event.code == EventCode::kJobRefused && accepted.count(job) == 0;
    if (run == started.end() || (!refused && !SaysNotRun(event)) || !reported.insert(job).second) {
      continue;
    }
    report->violations.push_back(
        {HistoryRule::kStartOfJobNotRun,
         absl::StrCat("Job ", job, " was reported as not run and has a start."),
         {*run->second->start, event}});
  }
}

}  // namespace pomelotray
