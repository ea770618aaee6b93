#include "base/event_log.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace pomelotray {
namespace {

bool Matches(const Event& event, const std::map<std::string, std::string>& filter) {
  return std::all_of(filter.begin(), filter.end(), [&event](const auto& wanted) {
    const auto it = event.fields.find(wanted.first);
    return it != event.fields.end() && it->second == wanted.second;
  });
}

}  // namespace

EventBuilder& EventBuilder::With(const char* field, std::string_view value) {
  event_.fields[field] = std::string(value);
  return *this;
}

EventBuilder& EventBuilder::With(const char* field, int64_t value) {
  return With(field, std::to_string(value));
}

EventBuilder& EventBuilder::At(const Epoch& epoch) {
  std::ostringstream text;
  text << epoch;
  return With(event_field::kEpoch, text.str());
}

void EventBuilder::Emit() { log_->Append(std::move(event_)); }

EventLog::EventLog(std::string process, HybridClock* clock, Sink sink, size_t capacity)
    : process_(std::move(process)), clock_(clock), sink_(std::move(sink)), capacity_(capacity) {}

std::vector<Event> EventLog::Select(const std::map<std::string, std::string>& filter) const {
  std::vector<Event> selected;
  absl::MutexLock lock(&mutex_);
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(selected),
               [&filter](const Event& event) { return Matches(event, filter); });
  return selected;
}

void EventLog::Append(Event event) {
  event.process = process_;
  {
    absl::MutexLock lock(&mutex_);
    event.time = clock_->Tick();
    event.sequence = next_sequence_++;
    events_.push_back(event);
    if (events_.size() > capacity_) {
      events_.pop_front();
    }
  }
  if (sink_) {
    sink_(event);
  }
}

}  // namespace pomelotray
