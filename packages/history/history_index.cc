#include "history/history_index.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <tuple>

namespace pomelotray {

const std::string& FieldOrEmpty(const Event& event, const char* name) {
  static const std::string* const kEmpty = new std::string();
  const auto it = event.fields.find(name);
  return it == event.fields.end() ? *kEmpty : it->second;
}

std::optional<Resources> ParseResources(const std::string& text) {
  int64_t cpu = 0;
  int64_t memory = 0;
  int64_t accelerators = 0;
  int64_t slots = 0;
  const int read = std::sscanf(
      text.c_str(),  // NOLINT(cert-err34-c): the number of parsed fields is checked.
      "{cpu %" SCNd64 "m, memory %" SCNd64 " MiB, accelerators %" SCNd64 ", slots %" SCNd64 "}",
      &cpu, &memory, &accelerators, &slots);
  if (read != 4) {
    return std::nullopt;
  }
  return Resources{MilliCores(cpu), MebiBytes(memory), AcceleratorCount(accelerators),
                   SlotCount(slots)};
}

bool IsFromWorker(const Event& event) {
  return !event.process.empty() && event.process == FieldOrEmpty(event, event_field::kWorker);
}

bool IsFromExecutor(const Event& event) {
  return !event.process.empty() && event.process == FieldOrEmpty(event, event_field::kExecutor);
}

HistoryIndex::HistoryIndex(std::vector<Event> events) : events_(std::move(events)) {
  for (const Event& event : events_) {
    if ((event.code == EventCode::kJobAccepted || event.code == EventCode::kJobRefused) &&
        !FieldOrEmpty(event, event_field::kCustomer).empty()) {
      customers_[FieldOrEmpty(event, event_field::kJob)] =
          FieldOrEmpty(event, event_field::kCustomer);
    }
  }
  CollectRuns();
  BoundRunEnds();
}

std::string HistoryIndex::CustomerOf(const std::string& job) const {
  const auto it = customers_.find(job);
  return it == customers_.end() ? "" : it->second;
}

void HistoryIndex::CollectRuns() {
  // Indexes of the runs that have not ended yet, by worker, boot and attempt.
  std::map<std::tuple<std::string, std::string, std::string>, size_t> open;
  for (const Event& event : events_) {
    const bool starts = event.code == EventCode::kTaskStarted;
    if (!IsFromWorker(event) || (!starts && event.code != EventCode::kTaskEnded)) {
      continue;
    }
    const std::tuple<std::string, std::string, std::string> key = {
        event.process, FieldOrEmpty(event, event_field::kBoot),
        FieldOrEmpty(event, event_field::kAttempt)};
    if (!starts) {
      const auto it = open.find(key);
      if (it != open.end()) {
        runs_[it->second].end = &event;
        open.erase(it);
      }
      continue;
    }
    TaskRun run;
    run.job = FieldOrEmpty(event, event_field::kJob);
    run.task = FieldOrEmpty(event, event_field::kTask);
    run.attempt = FieldOrEmpty(event, event_field::kAttempt);
    run.worker = event.process;
    run.boot = FieldOrEmpty(event, event_field::kBoot);
    run.repeatable = FieldOrEmpty(event, event_field::kRepeatable) != "false";
    run.reserved = ParseResources(FieldOrEmpty(event, event_field::kReserved));
    run.capacity = ParseResources(FieldOrEmpty(event, event_field::kCapacity));
    run.start = &event;
    open[key] = runs_.size();
    runs_.push_back(std::move(run));
  }
}

void HistoryIndex::BoundRunEnds() {
  std::map<Boot, HybridTime> last_event;
  // The process_started events of each worker, ordered by time.
  std::map<std::string, std::vector<const Event*>> boots;
  for (const Event& event : events_) {
    if (!IsFromWorker(event)) {
      continue;
    }
    const std::string& boot = FieldOrEmpty(event, event_field::kBoot);
    if (!boot.empty()) {
      last_event[Boot(event.process, boot)] = event.time;
    }
    if (event.code == EventCode::kProcessStarted) {
      boots[event.process].push_back(&event);
    }
  }
  for (TaskRun& run : runs_) {
    if (run.end != nullptr) {
      run.running_until = run.end->time;
      run.ended_by = run.end->time;
      continue;
    }
    run.running_until = std::max(run.start->time, last_event[Boot(run.worker, run.boot)]);
    for (const Event* boot : boots[run.worker]) {
      if (run.start->time < boot->time && FieldOrEmpty(*boot, event_field::kBoot) != run.boot) {
        run.ended_by = boot->time;
        break;
      }
    }
  }
}

}  // namespace pomelotray
