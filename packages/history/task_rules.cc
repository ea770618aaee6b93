#include "history/task_rules.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

using RunsByTask = std::map<std::string, std::vector<const TaskRun*>>;

RunsByTask GroupByTask(const HistoryIndex& index) {
  RunsByTask groups;
  for (const TaskRun& run : index.runs()) {
    groups[run.task].push_back(&run);
  }
  return groups;
}

std::vector<Event> EventsOf(const std::vector<const TaskRun*>& runs) {
  std::vector<Event> events;
  for (const TaskRun* run : runs) {
    events.push_back(*run->start);
    if (run->end != nullptr) {
      events.push_back(*run->end);
    }
  }
  std::sort(events.begin(), events.end(),
            [](const Event& a, const Event& b) { return a.time < b.time; });
  return events;
}

// A start (positive) or an end of what a task holds, at the time of `order`.
struct Step {
  HybridTime time;
  const TaskRun* run;
  bool is_start;
};

// Starts and certain ends of `runs` by rising time. An end goes before a start of the same time.
std::vector<Step> StepsOf(const std::vector<const TaskRun*>& runs) {
  std::vector<Step> steps;
  for (const TaskRun* run : runs) {
    steps.push_back(Step{run->start->time, run, true});
    steps.push_back(Step{run->running_until, run, false});
  }
  std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) {
    return std::make_pair(a.time.value(), a.is_start ? 1 : 0) <
           std::make_pair(b.time.value(), b.is_start ? 1 : 0);
  });
  return steps;
}

// Calls `check` after each start with the sum of what the running tasks hold.
template <typename Check>
void WalkStarts(const std::vector<const TaskRun*>& runs, Check check) {
  Resources held;
  std::set<const TaskRun*> running;
  for (const Step& step : StepsOf(runs)) {
    const Resources amount = step.run->reserved.value_or(Resources{});
    if (!step.is_start) {
      if (running.erase(step.run) > 0) {
        held -= amount;
      }
      continue;
    }
    // The last event of a killed worker can be the start itself: that run counts no time.
    if (step.run->running_until == step.run->start->time) {
      if (!check(*step.run, held + amount, running)) {
        return;
      }
      continue;
    }
    running.insert(step.run);
    held += amount;
    if (!check(*step.run, held, running)) {
      return;
    }
  }
}

std::vector<Event> EventsOf(const std::set<const TaskRun*>& running, const TaskRun& start) {
  std::vector<const TaskRun*> runs(running.begin(), running.end());
  if (running.count(&start) == 0) {
    runs.push_back(&start);
  }
  std::vector<Event> events;
  events.reserve(runs.size());
  for (const TaskRun* run : runs) {
    events.push_back(*run->start);
  }
  std::sort(events.begin(), events.end(),
            [](const Event& a, const Event& b) { return a.time < b.time; });
  return events;
}

// The largest amounts that were allowed at any moment of the settling time before `time`. False
// when no cap is known for that time.
bool AllowedAt(const std::vector<const CapInForce*>& caps, absl::Time time,
               absl::Duration settling_time, Resources* allowed) {
  bool known = false;
  for (size_t i = 0; i < caps.size() && caps[i]->from <= time; ++i) {
    const bool replaced = i + 1 < caps.size() && caps[i + 1]->from <= time - settling_time;
    if (!replaced) {
      *allowed = known ? Max(*allowed, caps[i]->hold) : caps[i]->hold;
      known = true;
    }
  }
  return known;
}

void CheckReservationEvents(const HistoryIndex& index, HistoryReport* report) {
  for (const Event& event : index.events()) {
    if (event.code != EventCode::kWorkerReservation || !IsFromWorker(event)) {
      continue;
    }
    const std::optional<Resources> reserved =
        ParseResources(FieldOf(event, event_field::kReserved));
    const std::optional<Resources> capacity =
        ParseResources(FieldOf(event, event_field::kCapacity));
    if (reserved && capacity && !reserved->FitsInto(*capacity)) {
      report->violations.push_back(
          {HistoryRule::kOverCapacity,
           absl::StrCat("Worker ", event.process, " has reserved more than its capacity."),
           {event}});
    }
  }
}

}  // namespace

void CheckStartedTwice(const HistoryIndex& index, HistoryReport* report) {
  for (const auto& [task, runs] : GroupByTask(index)) {
    const bool once =
        std::any_of(runs.begin(), runs.end(), [](const TaskRun* run) { return !run->repeatable; });
    if (once && runs.size() > 1) {
      report->violations.push_back(
          {HistoryRule::kStartedTwice,
           absl::StrCat("Task ", task, " may not be repeated and started ", runs.size(), " times."),
           EventsOf(runs)});
    }
  }
}

void CheckTwoPlaces(const HistoryIndex& index, HistoryReport* report) {
  for (const auto& [task, runs] : GroupByTask(index)) {
    for (size_t later = 1; later < runs.size(); ++later) {
      for (size_t earlier = 0; earlier < later; ++earlier) {
        const TaskRun& first = *runs[earlier];
        const TaskRun& second = *runs[later];
        if (second.start->time < first.running_until) {
          report->violations.push_back({HistoryRule::kTwoPlaces,
                                        absl::StrCat("Task ", task, " runs on ", first.worker,
                                                     " and ", second.worker, " at the same time."),
                                        EventsOf(std::vector<const TaskRun*>{&first, &second})});
        } else if (first.end == nullptr &&
                   (!first.ended_by || second.start->time < *first.ended_by)) {
          report->inconclusive.push_back(absl::StrCat("The end of attempt ", first.attempt,
                                                      " on worker ", first.worker,
                                                      " is unknown, and attempt ", second.attempt,
                                                      " started later on ", second.worker, "."));
        }
      }
    }
  }
}

void CheckCapacity(const HistoryIndex& index, HistoryReport* report) {
  CheckReservationEvents(index, report);
  std::map<std::pair<std::string, std::string>, std::vector<const TaskRun*>> by_boot;
  for (const TaskRun& run : index.runs()) {
    by_boot[{run.worker, run.boot}].push_back(&run);
  }
  for (const auto& [boot, runs] : by_boot) {
    WalkStarts(runs, [&](const TaskRun& run, const Resources& held,
                         const std::set<const TaskRun*>& running) {
      if (!run.capacity || held.FitsInto(*run.capacity)) {
        return true;
      }
      report->violations.push_back(
          {HistoryRule::kOverCapacity,
           absl::StrCat("The tasks running on worker ", run.worker, " exceed its capacity."),
           EventsOf(running, run)});
      return false;
    });
  }
}

void CheckCaps(const HistoryIndex& index, const std::vector<CapInForce>& caps,
               absl::Duration settling_time, HistoryReport* report) {
  std::map<std::string, std::vector<const CapInForce*>> caps_of;
  for (const CapInForce& cap : caps) {
    caps_of[cap.customer.value()].push_back(&cap);
  }
  std::map<std::string, std::vector<const TaskRun*>> runs_of;
  std::set<std::string> unknown_jobs;
  for (const TaskRun& run : index.runs()) {
    const std::string customer = index.CustomerOf(run.job);
    if (!customer.empty()) {
      runs_of[customer].push_back(&run);
    } else if (!caps.empty() && unknown_jobs.insert(run.job).second) {
      report->inconclusive.push_back(absl::StrCat("The customer of job ", run.job,
                                                  " is unknown; it is not counted against a cap."));
    }
  }
  for (auto& [customer, own_caps] : caps_of) {
    std::stable_sort(own_caps.begin(), own_caps.end(),
                     [](const CapInForce* a, const CapInForce* b) { return a->from < b->from; });
    WalkStarts(runs_of[customer],
               [&, name = customer, &own = own_caps](const TaskRun& run, const Resources& held,
                                                     const std::set<const TaskRun*>& running) {
                 Resources allowed;
                 if (!AllowedAt(own, WallTime(run.start->time), settling_time, &allowed) ||
                     held.FitsInto(allowed)) {
                   return true;
                 }
                 report->violations.push_back(
                     {HistoryRule::kCapExceeded,
                      absl::StrCat("The running tasks of customer ", name, " exceed its cap."),
                      EventsOf(running, run)});
                 return false;
               });
  }
}

void CheckLeaving(const HistoryIndex& index, absl::Duration grace, HistoryReport* report) {
  // By process and boot. An executor's events name its boot, too.
  std::map<std::pair<std::string, std::string>, const Event*> leaving;
  for (const Event& event : index.events()) {
    const std::pair<std::string, std::string> boot = {event.process,
                                                      FieldOf(event, event_field::kBoot)};
    if (event.code == EventCode::kWorkerLeaving && IsFromWorker(event)) {
      leaving.emplace(boot, &event);
      continue;
    }
    const bool starts = (event.code == EventCode::kTaskStarted && IsFromWorker(event)) ||
                        (event.code == EventCode::kRequestSent && IsFromExecutor(event));
    const auto it = leaving.find(boot);
    if (starts && it != leaving.end() &&
        WallTime(event.time) - WallTime(it->second->time) > grace) {
      report->violations.push_back(
          {HistoryRule::kStartAfterLeaving,
           absl::StrCat("VM ", event.process, " got new work more than ",
                        absl::FormatDuration(grace), " after it began leaving."),
           {*it->second, event}});
    }
  }
}

}  // namespace pomelotray
