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
  std::deque<std::shared_ptr<const PackedEvent>> events;
  {
    absl::MutexLock lock(&mutex_);
    events = events_;
  }
  // Unpacked without the lock, because a request waits until its events are recorded.
  std::vector<Event> selected;
  for (const std::shared_ptr<const PackedEvent>& packed : events) {
    Event event = Unpack(*packed);
    if (Matches(event, filter)) {
      selected.push_back(std::move(event));
    }
  }
  return selected;
}

Event EventLog::Unpack(const PackedEvent& packed) const {
  Event event;
  event.time = packed.time;
  event.process = process_;
  event.sequence = packed.sequence;
  event.code = packed.code;
  const nlohmann::json fields = nlohmann::json::from_msgpack(packed.fields, /*strict=*/true,
                                                             /*allow_exceptions=*/false);
  for (auto it = fields.begin(); it != fields.end(); ++it) {
    event.fields[it.key()] = it->get_ref<const std::string&>();
  }
  return event;
}

void EventLog::Append(Event event) {
  event.process = process_;
  std::shared_ptr<PackedEvent> packed;
  if (capacity_ > 0) {
    packed = std::make_shared<PackedEvent>();
    packed->code = event.code;
    packed->fields = nlohmann::json::to_msgpack(nlohmann::json(event.fields));
    packed->fields.shrink_to_fit();
  }
  {
    absl::MutexLock lock(&mutex_);
    event.time = clock_->Tick();
    event.sequence = next_sequence_++;
    if (packed != nullptr) {
      packed->time = event.time;
      packed->sequence = event.sequence;
      events_.push_back(std::move(packed));
    }
    if (events_.size() > capacity_) {
      events_.pop_front();
    }
  }
  if (sink_) {
    sink_(event);
  }
}

}  // namespace pomelotray
