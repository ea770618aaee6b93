#include "state/budgeted_store.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

StoreBudgetOptions NoWaitOptions() {
  StoreBudgetOptions options;
  options.reads = {20, 10};
  options.writes = {5, 3};
  options.max_wait = absl::ZeroDuration();
  return options;
}

Outcome<std::optional<StoreEntry>> Read(BudgetedStore* store) {
  return Capture([&] { return store->Get("key"); });
}

BOOST_AUTO_TEST_SUITE(BudgetedStoreTest)

// Guards against an instance that exceeds its budget in some time window. Calls at random intervals
// and random outages must never pass more than burst + rate * window calls to the store.
BOOST_AUTO_TEST_CASE(NoWindowExceedsTheBudget) {
  BOOST_TEST(rc::check("budget", [] {
    StateFixture fixture;
    const StoreBudgetOptions options = NoWaitOptions();
    BudgetedStore store(fixture.Context(), options);
    std::vector<absl::Time> call_times;
    fixture.store.SetHook([&](const FakeStore::Call&) {
      call_times.push_back(fixture.clock.Now());
      return StoreFault::kNone;
    });
    const auto intervals = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (const int interval : intervals) {
      fixture.clock.Advance(absl::Milliseconds(interval));
      fixture.store.SetDown(interval % 7 == 0);
      Read(&store);
    }
    bool within_budget = true;
    for (size_t first = 0; first < call_times.size(); ++first) {
      for (size_t last = first; last < call_times.size(); ++last) {
        const double window = absl::ToDoubleSeconds(call_times[last] - call_times[first]);
        within_budget =
            within_budget && static_cast<double>(last - first + 1) <=
                                 options.reads.burst + options.reads.per_second * window + 1e-6;
      }
    }
    RC_ASSERT(within_budget);
  }));
}

// Guards against a burst of calls to a store that is down or has just recovered. During an outage
// only one probe may run at a time, and the budget must hold right after the recovery.
BOOST_AUTO_TEST_CASE(ProbesOneAtATimeDuringAnOutage) {
  StateFixture fixture;
  BudgetedStore store(fixture.Context(), NoWaitOptions());
  int calls_in_progress = 0;
  bool nested_passed = false;
  fixture.store.SetHook([&](const FakeStore::Call&) {
    ++calls_in_progress;
    if (calls_in_progress == 1 && !store.Available()) {
      nested_passed = nested_passed || Read(&store).ok() || calls_in_progress > 1;
    }
    --calls_in_progress;
    return StoreFault::kNone;
  });
  fixture.store.SetDown(true);
  BOOST_TEST(store.Available());
  const Outcome<std::optional<StoreEntry>> first = Read(&store);
  BOOST_TEST((first.error().kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST(!store.Available());
  const int64_t calls_at_outage_start = fixture.store.AllCalls();
  for (int i = 0; i < 6000; ++i) {
    fixture.clock.Advance(absl::Milliseconds(10));
    BOOST_TEST(!Read(&store).ok());
  }
  // The loop spans one minute: a few short intervals, then one probe every 1 to 2 s.
  BOOST_TEST(fixture.store.AllCalls() - calls_at_outage_start < 75);
  BOOST_TEST(fixture.store.AllCalls() - calls_at_outage_start > 25);
  fixture.store.SetDown(false);
  fixture.clock.Advance(absl::Seconds(2));
  BOOST_TEST(Read(&store).ok());
  BOOST_TEST(store.Available());
  BOOST_TEST(!nested_passed);
  const int64_t calls_at_recovery = store.CallCount(StoreCallKind::kRead);
  for (int i = 0; i < 1000; ++i) {
    Read(&store);
  }
  BOOST_TEST(store.CallCount(StoreCallKind::kRead) - calls_at_recovery <= 10);
}

// Guards against an exhausted write budget that blocks reads or counts as an outage.
BOOST_AUTO_TEST_CASE(KindsHaveSeparateBudgets) {
  StateFixture fixture;
  BudgetedStore store(fixture.Context(), NoWaitOptions());
  Outcome<Revision> write = Error{};
  for (int i = 0; i < 4; ++i) {
    write = Capture([&] { return store.CompareAndSwap("k" + std::to_string(i), Revision(0), ""); });
  }
  BOOST_TEST(!write.ok());
  BOOST_TEST((write.error().kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST((write.error().retry_after.value() > absl::ZeroDuration()));
  BOOST_TEST(store.RefusedCount(StoreCallKind::kWrite) == 1);
  BOOST_TEST(Read(&store).ok());
  BOOST_TEST(store.Available());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
