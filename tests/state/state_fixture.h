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

// Provides a manually advanced clock, an in-memory store and an event log.
struct StateFixture {
  ManualClock clock;
  HybridClock hybrid{&clock};
  EventLog events{"test", &hybrid};
  FakeStore store{&clock};

  StateContext Context() { return StateContext{&store, &clock, &events}; }

  // Advances the clock in small steps until `done` returns true. Returns false if that takes longer
  // than `limit` on the test's clock.
  bool AdvanceUntil(const std::function<bool()>& done, absl::Duration limit = absl::Seconds(30));
  // Advances the clock by `duration` in small steps, so that background threads run in between.
  void AdvanceBy(absl::Duration duration);
};

// A sequence of store faults derived from a list of numbers, one per call. No faults follow the end
// of the list.
class StoreFaultSequence {
 public:
  explicit StoreFaultSequence(std::vector<int> numbers) : numbers_(std::move(numbers)) {}

  // Returns the next fault. With random numbers, two thirds of the calls return kNone.
  StoreFault Next();

 private:
  std::vector<int> numbers_;
  size_t next_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_STATE_STATE_FIXTURE_H_
