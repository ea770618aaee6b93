#include "bench/event_loop.h"

#include <algorithm>
#include <utility>

namespace pomelotray {

void EventLoop::At(absl::Time time, std::function<void()> action) {
  events_.push(Event{std::max(time, Now()), next_sequence_++, std::move(action)});
}

void EventLoop::After(absl::Duration delay, std::function<void()> action) {
  At(Now() + delay, std::move(action));
}

void EventLoop::RunUntil(absl::Time end) {
  while (!events_.empty() && events_.top().time <= end) {
    // priority_queue::top() is const. Moving from it is safe, because the event is popped next and
    // moving `action` does not change the order.
    Event event = std::move(const_cast<Event&>(events_.top()));  // NOLINT
    events_.pop();
    clock_.Advance(event.time - Now());
    event.action();
  }
  clock_.Advance(end - Now());
}

}  // namespace pomelotray
