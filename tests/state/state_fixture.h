#ifndef POMELOTRAY_TESTS_STATE_STATE_FIXTURE_H_
#define POMELOTRAY_TESTS_STATE_STATE_FIXTURE_H_

#include <functional>
#include <string>
#include <vector>

#include "base/hybrid_clock.h"
#include "base/manual_clock.h"
#include "state/state_context.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {

// A paused clock, an in-memory store and an event log.
struct StateFixture {
  ManualClock clock;
  HybridClock hybrid{&clock};
  EventLog events{"test", &hybrid};
  FakeStore store{&clock};

  StateContext Context() { return StateContext{&store, &clock, &events}; }

  // Advances the clock in small steps until `done`; false when it took more than `limit`.
  bool AdvanceUntil(const std::function<bool()>& done, absl::Duration limit = absl::Seconds(30));
  // Lets background threads run while the clock moves on.
  void Run(absl::Duration duration);
};

// Faults that follow a fixed list, one element per call, and then end.
class FaultScript {
 public:
  explicit FaultScript(std::vector<int> numbers) : numbers_(std::move(numbers)) {}

  // About two thirds of the calls succeed.
  StoreFault Next();

 private:
  std::vector<int> numbers_;
  size_t next_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_STATE_STATE_FIXTURE_H_
