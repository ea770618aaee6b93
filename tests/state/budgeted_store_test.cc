#include "state/budgeted_store.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

StoreBudgetOptions ImpatientOptions() {
  StoreBudgetOptions options;
  options.reads = {20, 10};
  options.writes = {5, 3};
  options.patience = absl::ZeroDuration();
  return options;
}

Outcome<std::optional<StoreEntry>> Read(BudgetedStore* store) {
  return Capture([&] { return store->Get("key"); });
}

BOOST_AUTO_TEST_SUITE(BudgetedStoreTest)

// Guards against an instance that exceeds the platform's rates, whatever the pattern of its calls
// and outages.
BOOST_AUTO_TEST_CASE(NoWindowExceedsTheBudget) {
  BOOST_TEST(rc::check("budget", [] {
    StateFixture fixture;
    const StoreBudgetOptions options = ImpatientOptions();
    BudgetedStore store(fixture.Context(), options);
    std::vector<absl::Time> passed;
    fixture.store.SetHook([&](const FakeStore::Call&) {
      passed.push_back(fixture.clock.Now());
      return StoreFault::kNone;
    });
    const auto gaps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (const int gap : gaps) {
      fixture.clock.Advance(absl::Milliseconds(gap));
      fixture.store.SetDown(gap % 7 == 0);
      Read(&store);
    }
    bool within = true;
    for (size_t first = 0; first < passed.size(); ++first) {
      for (size_t last = first; last < passed.size(); ++last) {
        const double window = absl::ToDoubleSeconds(passed[last] - passed[first]);
        within = within && static_cast<double>(last - first + 1) <=
                               options.reads.burst + options.reads.per_second * window + 1e-6;
      }
    }
    RC_ASSERT(within);
  }));
}

// Guards against a storm of calls on a store that is down or has just come back.
BOOST_AUTO_TEST_CASE(ProbesOneAtATimeDuringAnOutage) {
  StateFixture fixture;
  BudgetedStore store(fixture.Context(), ImpatientOptions());
  int inside = 0;
  bool nested_passed = false;
  fixture.store.SetHook([&](const FakeStore::Call&) {
    ++inside;
    if (inside == 1 && !store.Available()) {
      nested_passed = nested_passed || Read(&store).ok() || inside > 1;
    }
    --inside;
    return StoreFault::kNone;
  });
  fixture.store.SetDown(true);
  BOOST_TEST(store.Available());
  const Outcome<std::optional<StoreEntry>> first = Read(&store);
  BOOST_TEST((first.error().kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST(!store.Available());
  const int64_t before = fixture.store.AllCalls();
  for (int i = 0; i < 6000; ++i) {
    fixture.clock.Advance(absl::Milliseconds(10));
    BOOST_TEST(!Read(&store).ok());
  }
  // One minute at a probe each 1 to 2 s, after a few shorter intervals.
  BOOST_TEST(fixture.store.AllCalls() - before < 75);
  BOOST_TEST(fixture.store.AllCalls() - before > 25);
  fixture.store.SetDown(false);
  fixture.clock.Advance(absl::Seconds(2));
  BOOST_TEST(Read(&store).ok());
  BOOST_TEST(store.Available());
  BOOST_TEST(!nested_passed);
  const int64_t back = store.CallCount(StoreCallKind::kRead);
  for (int i = 0; i < 1000; ++i) {
    Read(&store);
  }
  BOOST_TEST(store.CallCount(StoreCallKind::kRead) - back <= 10);
}

// Guards against an exhausted kind of call that blocks another kind.
BOOST_AUTO_TEST_CASE(KindsHaveSeparateBudgets) {
  StateFixture fixture;
  BudgetedStore store(fixture.Context(), ImpatientOptions());
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
