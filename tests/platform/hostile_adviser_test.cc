#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "base/event_log.h"
#include "base/manual_clock.h"
#include "platform/adviser_client.h"
#include "tests/platform/hostile_texts.h"
#include "tests/platform/scripted_server.h"

namespace pomelotray::platform {
namespace {

BOOST_AUTO_TEST_SUITE(HostileAdviserTest)

// Guards against a row of the adviser that hides the tickets of all other workers, and against a
// validity that never ends.
BOOST_AUTO_TEST_CASE(AdviserAnswersSkipUnreadableRows) {
  const auto ask = [](const std::string& body) {
    ScriptedServer server(ServeInTurn({body}));
    ManualClock clock;
    HybridClock hybrid_clock(&clock);
    EventLog events("test", &hybrid_clock);
    AdviserClient adviser(server.address(), &events);
    return Capture([&] { return adviser.RequestAdvice(AdviceQuestion(), kPatientTimeout); });
  };
  for (const char* row : {"7", "null", "[]", "{}", "[7,\"t\"]", "[\"w\"]", "[\"w\",7]"}) {
    const Outcome<Advice> advice =
        ask(absl::StrCat(R"({"valid-ms":1000.5,"good":[)", row, R"(,["w1","t1"]]})"));
    BOOST_TEST_CONTEXT(row) {
      BOOST_REQUIRE(advice.ok());
      BOOST_REQUIRE_EQUAL(advice.value().tickets.size(), 1U);
      BOOST_TEST(advice.value().tickets.at(WorkerId("w1")) == "t1");
      BOOST_TEST((advice.value().validity == absl::Microseconds(1'000'500)));
    }
    BOOST_TEST(!ask(absl::StrCat(R"({"valid-ms":1000,"good":[)", row, "]}")).ok());
  }
  for (const std::string& number : HostileNumbers()) {
    BOOST_TEST(!ask(absl::StrCat(R"({"good":[["w1","t1"]],"valid-ms":)", number, "}")).ok());
  }
  for (const std::string& good :
       {std::string("7"), std::string("{}"), std::string("{\"a\":[\"w\",\"t\"]}"),
        std::string("\"\""), NestedArrays(true)}) {
    BOOST_TEST(!ask(absl::StrCat(R"({"valid-ms":1000,"good":)", good, "}")).ok());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
