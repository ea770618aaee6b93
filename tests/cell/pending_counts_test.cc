#include "cell/intake/pending_counts.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

#include "base/manual_clock.h"

namespace pomelotray {
namespace {

const PartName kPresent("rendering.0.1");
const PartName kOther("labels.0.1");

// Owners of two parts, the first of which is of the queue's present pool.
struct PendingFixture {
  // Returns the number of waiting jobs of the queue, or -1 after an error.
  int64_t Count(const std::string& queue = "q") {
    const Outcome<int64_t> count = Capture([&] {
      return pending.Count(queue, {kPresent}, {kPresent, kOther},
                           [this](const PartName& part) { return Ask(part); });
    });
    return count.ok() ? count.value() : -1;
  }

  ManualClock clock;
  PendingCounts pending{&clock};
  std::map<PartName, PendingCounts::ByQueue> answers = {{kPresent, {{"q", 2}}},
                                                        {kOther, {{"q", 3}, {"other", 7}}}};
  std::set<PartName> failing;
  std::map<PartName, int> calls;

 private:
  Result<PendingCounts::ByQueue> Ask(const PartName& part) {
    ++calls[part];
    if (failing.count(part) > 0) {
      return Fail(ErrorKind::kOwnerUnavailable, "The owner does not answer; ask again later.");
    }
    return answers[part];
  }
};

BOOST_FIXTURE_TEST_SUITE(PendingCountsTest, PendingFixture)

// Guards against waiting jobs that are not counted because the queue has another pool now.
BOOST_AUTO_TEST_CASE(JobsInAllPoolsAreCounted) {
  BOOST_TEST(Count() == 5);
  BOOST_TEST(Count("other") == 7);
  BOOST_TEST(Count("none") == 0);
}

// Load: counts of several queues are asked for at a high rate. Guards against one call to each
// owner for each of them, and against a count that is older than callers may get.
BOOST_AUTO_TEST_CASE(OwnersAreAskedAtABoundedRate) {
  for (int i = 0; i < 100; ++i) {
    Count(i % 2 == 0 ? "q" : "other");
    clock.Advance(absl::Milliseconds(20));
  }
  BOOST_TEST(calls[kPresent] <= 5);
  BOOST_TEST(calls[kOther] <= 5);
  answers[kPresent]["q"] = 4;
  clock.Advance(absl::Milliseconds(600));
  BOOST_TEST(Count() == 7);
}

// Guards against a count that leaves out the queue's own pool, or is older than 2 s.
BOOST_AUTO_TEST_CASE(CountNeedsTheOwnersOfThePresentPool) {
  failing = {kPresent};
  BOOST_TEST(Count() == -1);
  failing.clear();
  BOOST_TEST(Count() == 5);
  failing = {kPresent};
  clock.Advance(absl::Milliseconds(1400));
  BOOST_TEST(Count() == 5);
  clock.Advance(absl::Milliseconds(600));
  BOOST_TEST(Count() == -1);
}

// Guards against counts that fail, or take the time-out of a call each, while the owner of a pool
// without jobs of the queue is replaced; and against a count that leaves out a pool which has not
// answered for long.
BOOST_AUTO_TEST_CASE(OwnerOfAnotherPoolMayBeReplacedMeanwhile) {
  failing = {kOther};
  BOOST_TEST(Count() == -1);
  failing.clear();
  clock.Advance(absl::Seconds(1));
  BOOST_TEST(Count() == 5);
  failing = {kOther};
  calls.clear();
  for (int i = 0; i < 100; ++i) {
    clock.Advance(absl::Milliseconds(100));
    BOOST_TEST(Count() == 5);
  }
  BOOST_TEST(calls[kOther] <= 21);
  clock.Advance(absl::Seconds(21));
  BOOST_TEST(Count() == -1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
