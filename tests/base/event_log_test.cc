#include "base/event_log.h"

#include <malloc.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "base/manual_clock.h"

namespace pomelotray {
namespace {

struct Fixture {
  ManualClock clock;
  HybridClock hybrid_clock{&clock};
};

void RecordRequest(EventLog* log, int number) {
  const std::string id = absl::StrCat("request-of-a-caller-", number);
  log->Record(EventCode::kRequestSent)
      .Request(RequestId(id))
      .Attempt(AttemptId(id + ".1"))
      .Executor(ExecutorId("executor-guayaquil-2"))
      .Customer(CustomerId("market-association"))
      .With(event_field::kBoot, "boot-0123456789abcdef")
      .With(event_field::kKind, "forwarded")
      .Emit();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(event_log, Fixture)

// Guards against fields that are lost or altered between the record and the timeline.
BOOST_AUTO_TEST_CASE(selects_the_events_as_they_were_recorded) {
  std::vector<Event> seen;
  EventLog log("cuenca-1", &hybrid_clock, [&seen](const Event& event) { seen.push_back(event); });
  RecordRequest(&log, 1);
  log.Record(EventCode::kProcessReady).Emit();
  log.Record(EventCode::kRequestRefused).With(event_field::kReason, "\xff not UTF-8, \"\n").Emit();
  const std::vector<Event> events = log.Select({});
  BOOST_REQUIRE_EQUAL(events.size(), seen.size());
  for (size_t i = 0; i < events.size(); ++i) {
    BOOST_TEST(events[i].time.value() == seen[i].time.value());
    BOOST_TEST(events[i].process == "cuenca-1");
    BOOST_TEST(events[i].sequence == i + 1);
    BOOST_TEST((events[i].code == seen[i].code));
    BOOST_TEST((events[i].fields == seen[i].fields));
  }
  BOOST_TEST(log.Select({{"request", "request-of-a-caller-1"}}).size() == 1U);
  BOOST_TEST(log.Select({{"request", "request-of-a-caller-2"}}).empty());
}

// Guards against a timeline that grows without bound.
BOOST_AUTO_TEST_CASE(keeps_the_latest_events) {
  EventLog log("cuenca-1", &hybrid_clock, nullptr, 2);
  for (int number = 0; number < 5; ++number) {
    RecordRequest(&log, number);
  }
  const std::vector<Event> events = log.Select({});
  BOOST_REQUIRE_EQUAL(events.size(), 2U);
  BOOST_TEST(events[0].sequence == 4U);
  BOOST_TEST(events[1].sequence == 5U);
}

// Guards against a full timeline that takes a third of the memory which a node may use for control.
BOOST_AUTO_TEST_CASE(a_full_timeline_takes_at_most_6_mb) {
  constexpr size_t kBytes = 6'000'000;
  EventLog log("cuenca-1", &hybrid_clock);
  const size_t before = mallinfo2().uordblks;
  for (int number = 0; number < 20'000; ++number) {
    RecordRequest(&log, number);
  }
  BOOST_TEST(mallinfo2().uordblks - before < kBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace pomelotray
