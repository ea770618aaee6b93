#ifndef POMELOTRAY_HISTORY_MERGE_TIMELINES_H_
#define POMELOTRAY_HISTORY_MERGE_TIMELINES_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "base/event.h"

namespace pomelotray {

// Merges the events of many processes into one timeline, ordered by hybrid time, process and
// sequence. An event that occurs in several inputs is kept once.
std::vector<Event> MergeTimelines(const std::vector<std::vector<Event>>& timelines);

// The events whose fields equal all of `filter`.
std::vector<Event> FilterEvents(const std::vector<Event>& events,
                                const std::map<std::string, std::string>& filter);

// One line an event: wall time, process, sequence, name, fields.
std::string RenderTimeline(const std::vector<Event>& events);
std::string RenderEvent(const Event& event);

struct ReadEventsResult {
  std::vector<Event> events;
  // Lines that are no events, such as the last line of a process that was killed while it wrote.
  int64_t skipped_lines = 0;
};

// Reads JSON lines as written by MakeLogSink.
ReadEventsResult ReadEvents(std::istream* input);

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_MERGE_TIMELINES_H_
