#include "history/merge_timelines.h"

#include <sstream>
#include <string>

#include "boost/test/unit_test.hpp"
#include "tests/history/history_fixture.h"

namespace pomelotray {
namespace {

BOOST_FIXTURE_TEST_SUITE(MergeTimelinesTest, HistoryFixture)

// Guards against an order that differs between runs, and against duplicate events.
BOOST_AUTO_TEST_CASE(OrdersByTimeProcessAndSequence) {
  Add(2, "b", EventCode::kProcessReady, {});
  Add(2, "a", EventCode::kProcessReady, {{"x", "two words"}});
  Add(1, "b", EventCode::kProcessStarted, {});
  const std::vector<Event> merged = MergeTimelines({events(), events()});
  BOOST_TEST(RenderTimeline(merged) ==
             "2027-01-15T08:00:00.001000Z b #2 process_started\n"
             "2027-01-15T08:00:00.002000Z a #1 process_ready x=\"two words\"\n"
             "2027-01-15T08:00:00.002000Z b #1 process_ready\n");
}

// Guards against a filter that selects events of which only some fields match.
BOOST_AUTO_TEST_CASE(FilterNeedsAllFields) {
  Start(1, "w1", "j/0#1");
  Start(2, "w2", "j/0#2");
  const std::vector<Event> selected = FilterEvents(events(), {{"job", "j"}, {"worker", "w2"}});
  BOOST_TEST_REQUIRE(selected.size() == 1U);
  BOOST_TEST(selected[0].fields.at("attempt") == "j/0#2");
}

// Guards against rejecting a whole file because its last line is incomplete.
BOOST_AUTO_TEST_CASE(ReadsUpToACutOffLine) {
  Start(1, "w1", "j/0#1");
  const std::string line = nlohmann::json(events()[0]).dump();
  std::istringstream input(line + "\n" + line.substr(0, line.size() / 2));
  const ReadEventsResult result = ReadEvents(&input);
  BOOST_TEST_REQUIRE(result.events.size() == 1U);
  BOOST_TEST((result.events[0].fields == events()[0].fields));
  BOOST_TEST((result.events[0].time == events()[0].time));
  BOOST_TEST(result.skipped_lines == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
