#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "base/event_log.h"
#include "base/manual_clock.h"
#include "platform/store_client.h"
#include "tests/platform/hostile_texts.h"
#include "tests/platform/scripted_server.h"

namespace pomelotray::platform {
namespace {

BOOST_AUTO_TEST_SUITE(HostileResponsesTest)

// Guards against a response whose copy overflows the stack. It counts as one that is not JSON.
BOOST_AUTO_TEST_CASE(DeeplyNestedResponsesAreNotJson) {
  for (const std::string& body :
       {NestedArrays(true), NestedArrays(false),
        absl::StrCat(R"({"as-of":5,"items":[],"unused":)", NestedArrays(true), "}")}) {
    HttpResponseParser parser;
    BOOST_REQUIRE(Capture([&] { return parser.Feed(LastResponse(body)); }).value());
    const HttpResponse response = parser.Response();
    const HttpResponse copy(response);
    BOOST_TEST(copy.body.is_discarded());
    ScriptedServer server(ServeInTurn({body, body}));
    ManualClock clock;
    HybridClock hybrid_clock(&clock);
    EventLog events("test", &hybrid_clock);
    StoreClient store(server.address(), &events, kPatientTimeout);
    BOOST_TEST(!Capture([&] { return store.ListAll("a/"); }).ok());
    BOOST_TEST(
        !Capture([&] { return store.Watch("a/", Revision(1), absl::Milliseconds(1)); }).ok());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
