#ifndef POMELOTRAY_BENCH_EVENT_LOOP_H_
#define POMELOTRAY_BENCH_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "absl/time/time.h"
#include "base/manual_clock.h"

namespace pomelotray {

// A discrete-event loop with a simulated clock. Events run in order of time, events of the same
// time in the order of their insertion, and the clock advances from one event to the next.
class EventLoop {
 public:
  ManualClock* clock() { return &clock_; }
  absl::Time Now() const { return clock_.Now(); }

  // Runs `action` at `time`, or at the current time if `time` is in the past.
  void At(absl::Time time, std::function<void()> action);
  void After(absl::Duration delay, std::function<void()> action);
  // Runs all events up to and including `end`, then advances the clock to `end`.
  void RunUntil(absl::Time end);

 private:
  struct Event {
    absl::Time time;
    uint64_t sequence = 0;
    std::function<void()> action;

    friend bool operator>(const Event& a, const Event& b) {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  ManualClock clock_;
  uint64_t next_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_EVENT_LOOP_H_
