#ifndef POMELOTRAY_HISTORY_HISTORY_INDEX_H_
#define POMELOTRAY_HISTORY_HISTORY_INDEX_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/event.h"
#include "base/resources.h"

namespace pomelotray {

// One start of a task, as the worker itself recorded it.
struct TaskRun {
  std::string job;
  std::string task;
  std::string attempt;
  std::string worker;
  std::string boot;
  bool repeatable = true;
  std::optional<Resources> reserved;
  std::optional<Resources> capacity;
  const Event* start = nullptr;
  // Null when no end was recorded.
  const Event* end = nullptr;
  // The run certainly lasted until here: its end, or the last event of this boot of the worker.
  HybridTime running_until;
  // The run had certainly ended by here: its end, or the next boot of the worker.
  std::optional<HybridTime> ended_by;
};

// The field's value, or an empty string.
const std::string& FieldOf(const Event& event, const char* name);
// Reads the text form of resources, as printed by operator<<.
std::optional<Resources> ParseResources(const std::string& text);
// Whether the event is the worker's own (ground truth) and not an owner's view.
bool IsFromWorker(const Event& event);
// Whether the event is an executor's own.
bool IsFromExecutor(const Event& event);

// A merged timeline with its task runs. Keeps pointers into its own copy of the events.
class HistoryIndex {
 public:
  explicit HistoryIndex(std::vector<Event> events);
  HistoryIndex(const HistoryIndex&) = delete;
  HistoryIndex& operator=(const HistoryIndex&) = delete;

  const std::vector<Event>& events() const { return events_; }
  // By rising start.
  const std::vector<TaskRun>& runs() const { return runs_; }
  // Customer of a job, from its acceptance or refusal; empty when unknown.
  std::string CustomerOf(const std::string& job) const;

 private:
  using Boot = std::pair<std::string, std::string>;

  void CollectRuns();
  void CloseRuns();

  const std::vector<Event> events_;
  std::vector<TaskRun> runs_;
  std::map<std::string, std::string> customers_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_HISTORY_INDEX_H_
