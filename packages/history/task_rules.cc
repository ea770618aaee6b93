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

std::vector<Event> CollectEvents(const std::vector<const TaskRun*>& runs) {
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

// The start or end of a run, at which the resources in use change.
struct UsageChange {
  HybridTime time;
  const TaskRun* run;
  bool is_start;
};

// Returns the starts of `runs` and the times until which they ran at least, in order of time. An
// end precedes a start at the same time.
std::vector<UsageChange> SortedUsageChanges(const std::vector<const TaskRun*>& runs) {
  std::vector<UsageChange> changes;
  for (const TaskRun* run : runs) {
    changes.push_back(UsageChange{run->start->time, run, true});
    changes.push_back(UsageChange{run->running_until, run, false});
  }
  std::stable_sort(changes.begin(), changes.end(), [](const UsageChange& a, const UsageChange& b) {
    return std::make_pair(a.time.value(), a.is_start ? 1 : 0) <
           std::make_pair(b.time.value(), b.is_start ? 1 : 0);
  });
  return changes;
}

// Calls `check` for each start with the run, the resources in use including that run, and the set
// of running tasks. Stops when `check` returns false.
template <typename Check>
void ForEachStart(const std::vector<const TaskRun*>& runs, Check check) {
  Resources held;
  std::set<const TaskRun*> running;
  for (const UsageChange& change : SortedUsageChanges(runs)) {
    const Resources amount = change.run->reserved.value_or(Resources{});
    if (!change.is_start) {
      if (running.erase(change.run) > 0) {
        held -= amount;
      }
      continue;
    }
    // The start can be the last event of a killed worker. Such a run has no known duration, so it
    // is checked but not added to the running tasks.
    if (change.run->running_until == change.run->start->time) {
      if (!check(*change.run, held + amount, running)) {
        return;
      }
      continue;
    }
    running.insert(change.run);
    held += amount;
    if (!check(*change.run, held, running)) {
      return;
    }
  }
}

std::vector<Event> CollectEvents(const std::set<const TaskRun*>& running, const TaskRun& start) {
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

// Computes the largest amounts that were allowed at any moment of the settling time before `time`.
// Returns false when no cap was in force by then.
bool FindLargestCap(const std::vector<const CapInForce*>& caps, absl::Time time,
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
        ParseResources(FieldOrEmpty(event, event_field::kReserved));
    const std::optional<Resources> capacity =
        ParseResources(FieldOrEmpty(event, event_field::kCapacity));
    if (reserved && capacity && !reserved->FitsInto(*capacity)) {
      report->violations.push_back(
          {HistoryRule::kOverCapacity,
           absl::StrCat("Worker ", event.process, " reserved more than its capacity."),
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
           absl::StrCat("Task ", task, " may not be repeated, but started ", runs.size(),
                        " times."),
           CollectEvents(runs)});
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
          report->violations.push_back(
              {HistoryRule::kTwoPlaces,
               absl::StrCat("Task ", task, " ran on ", first.worker, " and ", second.worker,
                            " at the same time."),
               CollectEvents(std::vector<const TaskRun*>{&first, &second})});
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
    ForEachStart(runs, [&](const TaskRun& run, const Resources& held,
                           const std::set<const TaskRun*>& running) {
      if (!run.capacity || held.FitsInto(*run.capacity)) {
        return true;
      }
      report->violations.push_back(
          {HistoryRule::kOverCapacity,
           absl::StrCat("The running tasks on worker ", run.worker, " exceed its capacity."),
           CollectEvents(running, run)});
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
      report->inconclusive.push_back(absl::StrCat(
          "The customer of job ", run.job, " is unknown; the job is not counted against a cap."));
    }
  }
  for (auto& [customer, own_caps] : caps_of) {
    std::stable_sort(own_caps.begin(), own_caps.end(),
                     [](const CapInForce* a, const CapInForce* b) { return a->from < b->from; });
    ForEachStart(runs_of[customer], [&, name = customer, &own = own_caps](
                                        const TaskRun& run, const Resources& held,
                                        const std::set<const TaskRun*>& running) {
      Resources allowed;
      if (!FindLargestCap(own, WallTime(run.start->time), settling_time, &allowed) ||
          held.FitsInto(allowed)) {
        return true;
      }
      report->violations.push_back(
          {HistoryRule::kCapExceeded,
           absl::StrCat("The running tasks of customer ", name, " exceed the customer's cap."),
           CollectEvents(running, run)});
      return false;
    });
  }
}

void CheckLeaving(const HistoryIndex& index, absl::Duration grace, HistoryReport* report) {
  // The leaving announcements by process and boot. Events of executors also have a boot.
  std::map<std::pair<std::string, std::string>, const Event*> leaving;
  for (const Event& event : index.events()) {
    const std::pair<std::string, std::string> boot = {event.process,
                                                      FieldOrEmpty(event, event_field::kBoot)};
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
           absl::StrCat("VM ", event.process, " received new work more than ",
                        absl::FormatDuration(grace), " after it began leaving."),
           {*it->second, event}});
    }
  }
}

}  // namespace pomelotray
