#ifndef POMELOTRAY_HISTORY_MERGE_TIMELINES_H_
#define POMELOTRAY_HISTORY_MERGE_TIMELINES_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "base/event.h"

namespace pomelotray {

// Merges the events of several processes into one timeline, ordered by hybrid time, process and
// sequence number. Duplicate events are removed.
std::vector<Event> MergeTimelines(const std::vector<std::vector<Event>>& timelines);

// Returns the events that have all fields of `filter` with equal values.
std::vector<Event> FilterEvents(const std::vector<Event>& events,
                                const std::map<std::string, std::string>& filter);

// Formats each event as one line with wall time, process, sequence number, name and fields.
std::string RenderTimeline(const std::vector<Event>& events);
std::string RenderEvent(const Event& event);

struct ReadEventsResult {
  std::vector<Event> events;
  // Number of lines that are not valid events, such as a last line that is incomplete because the
  // process was killed while it wrote.
  int64_t skipped_lines = 0;
};

// Reads events from JSON lines as written by MakeLogSink.
ReadEventsResult ReadEvents(std::istream* input);

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_MERGE_TIMELINES_H_
