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

// One run of a task, as recorded by the worker that ran it.
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
  // Null when the worker did not record an end.
  const Event* end = nullptr;
  // The run lasted at least until this time: its end, or the last event of this boot of the worker.
  HybridTime running_until;
  // The run had ended at the latest at this time: its end, or the start of the worker's next boot.
  // Unset when neither was recorded.
  std::optional<HybridTime> ended_by;
};

// Returns the value of the field, or an empty string when the event does not have it.
const std::string& FieldOrEmpty(const Event& event, const char* name);
// Parses the text form of Resources that operator<< prints.
std::optional<Resources> ParseResources(const std::string& text);
// Returns true when the event was recorded by the worker itself and not by a shard owner.
bool IsFromWorker(const Event& event);
// Returns true when the event was recorded by the executor itself.
bool IsFromExecutor(const Event& event);

// Holds a merged timeline and the task runs extracted from it. The runs point to events that the
// index owns, so the index is not copyable.
class HistoryIndex {
 public:
  explicit HistoryIndex(std::vector<Event> events);
  HistoryIndex(const HistoryIndex&) = delete;
  HistoryIndex& operator=(const HistoryIndex&) = delete;

  const std::vector<Event>& events() const { return events_; }
  // The task runs, ordered by start time.
  const std::vector<TaskRun>& runs() const { return runs_; }
  // Returns the customer that the acceptance or refusal of the job names, or an empty string when
  // the customer is unknown.
  std::string CustomerOf(const std::string& job) const;

 private:
  using Boot = std::pair<std::string, std::string>;

  // Creates a run for each task_started event of a worker and finds its task_ended event.
  void CollectRuns();
  // Sets the bounds on the end of each run.
  void BoundRunEnds();

  const std::vector<Event> events_;
  std::vector<TaskRun> runs_;
  std::map<std::string, std::string> customers_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_HISTORY_INDEX_H_
