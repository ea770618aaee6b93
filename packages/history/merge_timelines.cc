#include "history/merge_timelines.h"

#include <algorithm>
#include <sstream>
#include <tuple>

#include "absl/time/time.h"

namespace pomelotray {
namespace {

std::tuple<int64_t, const std::string&, uint64_t> SortKey(const Event& event) {
  return {event.time.value(), event.process, event.sequence};
}

bool HasFields(const Event& event, const std::map<std::string, std::string>& filter) {
  return std::all_of(filter.begin(), filter.end(), [&event](const auto& wanted) {
    const auto it = event.fields.find(wanted.first);
    return it != event.fields.end() && it->second == wanted.second;
  });
}

}  // namespace

std::vector<Event> MergeTimelines(const std::vector<std::vector<Event>>& timelines) {
  std::vector<Event> merged;
  for (const std::vector<Event>& timeline : timelines) {
    merged.insert(merged.end(), timeline.begin(), timeline.end());
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const Event& a, const Event& b) { return SortKey(a) < SortKey(b); });
  merged.erase(std::unique(merged.begin(), merged.end(),
                           [](const Event& a, const Event& b) { return SortKey(a) == SortKey(b); }),
               merged.end());
  return merged;
}

std::vector<Event> FilterEvents(const std::vector<Event>& events,
                                const std::map<std::string, std::string>& filter) {
  std::vector<Event> selected;
  std::copy_if(events.begin(), events.end(), std::back_inserter(selected),
               [&filter](const Event& event) { return HasFields(event, filter); });
  return selected;
}

std::string RenderEvent(const Event& event) {
  std::ostringstream line;
  line << absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", WallTime(event.time), absl::UTCTimeZone()) << " "
       << event.process << " #" << event.sequence << " " << DescribeEvent(event.code).name;
  for (const auto& [name, value] : event.fields) {
    // Values are quoted and escaped as JSON, so that line breaks in a value do not split the line.
    line << " " << name << "="
         << nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return line.str();
}

std::string RenderTimeline(const std::vector<Event>& events) {
  std::string text;
  for (const Event& event : events) {
    text += RenderEvent(event) + "\n";
  }
  return text;
}

ReadEventsResult ReadEvents(std::istream* input) {
  ReadEventsResult result;
  std::string line;
  while (std::getline(*input, line)) {
    Event event;
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (ParseEvent(json, &event)) {
      result.events.push_back(std::move(event));
    } else {
      ++result.skipped_lines;
    }
  }
  return result;
}

}  // namespace pomelotray
