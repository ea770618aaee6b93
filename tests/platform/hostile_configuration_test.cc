#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "platform/configuration_codec.h"
#include "tests/platform/hostile_texts.h"

namespace pomelotray::platform {
namespace {

constexpr char kGoodRoute[] = R"({"name":"r1","host":"a.example","prefix":"/p/","service":"s1"})";

std::string Route(const std::string& fields) {
  return absl::StrCat(R"({"name":"bad","host":"b.example","prefix":"/p/","service":"s1",)", fields,
                      "}");
}

// Returns a configuration with the JSON texts `routes` and `services`, and `fields` at its end.
std::string ConfigurationText(const std::string& routes, const std::string& services = "[]",
                              const std::string& fields = "") {
  return absl::StrCat(R"({"version":7,"routes":)", routes, R"(,"services":)", services, fields,
                      "}");
}

struct DecodedConfiguration {
  std::vector<std::string> skipped;
  Outcome<CellConfiguration> result;
};

DecodedConfiguration Configuration(const std::string& text) {
  DecodedConfiguration decoded{{}, CellConfiguration()};
  decoded.result = Capture([&] { return DecodeConfiguration(text, &decoded.skipped); });
  return decoded;
}

BOOST_AUTO_TEST_SUITE(HostileConfigurationTest)

// Guards against a single bad route that hides the other routes.
BOOST_AUTO_TEST_CASE(BadRoutesAreSkipped) {
  std::vector<std::string> bad = {"7",
                                  "null",
                                  "[]",
                                  "{}",
                                  "\"\"",
                                  R"({"name":"r"})",
                                  R"({"name":"r","host":7,"prefix":"/","service":"s"})",
                                  Route(R"("advice":{})"),
                                  R"({"name":"r","host":"h","prefix":"/","service":""})",
                                  R"({"name":"r","host":"h","prefix":"/","service":"a\nb"})"};
  for (const std::string& number : HostileNumbers()) {
    for (const char* field : {"priority", "max-attempts", "stretch", "target-latency-ms"}) {
      bad.push_back(Route(absl::StrCat("\"", field, "\":", number)));
    }
    bad.push_back(
        Route(absl::StrCat(R"("advice":{"each-ms":8,"valid-ms":2000,"decide-ms":)", number, "}")));
    bad.push_back(
        Route(absl::StrCat(R"("advice":{"decide-ms":8,"valid-ms":2000,"each-ms":)", number, "}")));
    bad.push_back(
        Route(absl::StrCat(R"("advice":{"decide-ms":8,"each-ms":8,"valid-ms":)", number, "}")));
  }
  for (const std::string& route : bad) {
    const DecodedConfiguration decoded =
        Configuration(ConfigurationText(absl::StrCat("[", route, ",", kGoodRoute, "]")));
    BOOST_TEST_CONTEXT(route) {
      BOOST_REQUIRE(decoded.result.ok());
      BOOST_REQUIRE_EQUAL(decoded.result.value().routes.size(), 1U);
      BOOST_TEST(decoded.result.value().routes[0].policy.name == "r1");
      BOOST_TEST(decoded.skipped.size() == 1U);
    }
  }
}

// Guards against a single bad service that hides the other services.
BOOST_AUTO_TEST_CASE(BadServicesAreSkipped) {
  const DecodedConfiguration decoded = Configuration(ConfigurationText(
      "[]", R"([7,null,{},{"name":7},{"name":""},{"name":"a\u0000"},{"name":"s1"}])"));
  BOOST_REQUIRE(decoded.result.ok());
  BOOST_REQUIRE_EQUAL(decoded.result.value().pools.size(), 1U);
  BOOST_TEST(decoded.result.value().pools[0].value() == "s1");
  BOOST_TEST(decoded.skipped.size() == 6U);
}

// Guards against limits that reject routes with unusual values.
BOOST_AUTO_TEST_CASE(UnusualRoutesAreAccepted) {
  const DecodedConfiguration decoded = Configuration(ConfigurationText(absl::StrCat(
      "[", Route(R"("priority":1000,"max-attempts":2.5,"stretch":0.5,"target-latency-ms":0.5,
                    "other":[[{}]],"advice":{"decide-ms":0,"each-ms":0.25,"valid-ms":1e9})"),
      ",", Route(R"("max-attempts":0,"advice":null)"), "]")));
  BOOST_REQUIRE(decoded.result.ok());
  BOOST_REQUIRE_EQUAL(decoded.result.value().routes.size(), 2U);
  const QueuePolicy& policy = decoded.result.value().routes[0].policy;
  BOOST_TEST(policy.max_attempts == 2);
  BOOST_TEST((policy.advice->per_worker == absl::Microseconds(250)));
}

// Guards against a document that cannot be read as a whole and replaces the one in use.
BOOST_AUTO_TEST_CASE(UnreadableConfigurationsAreRejected) {
  std::vector<std::string> texts = {
      "",
      "[]",
      "7",
      "null",
      "{}",
      "\xff",
      ConfigurationText("7"),
      ConfigurationText("{\"a\":{}}"),
      ConfigurationText("[]", "\"s1\""),
      NestedArrays(true),
      NestedArrays(false),
      ConfigurationText("[]", "[]", absl::StrCat(",\"unused\":", NestedArrays(true)))};
  for (const std::string& number : HostileNumbers()) {
    texts.push_back(absl::StrCat(R"({"routes":[],"services":[],"version":)", number, "}"));
  }
  for (const std::string& text : texts) {
    BOOST_TEST_CONTEXT(text.substr(0, 100)) { BOOST_TEST(!Configuration(text).result.ok()); }
  }
}

// Guards against limits of a wrong type or size that discard the whole document or refuse all jobs.
BOOST_AUTO_TEST_CASE(BadBodyLimitsLeaveTheDefault) {
  std::vector<std::string> limits = {"7", "null", "[]", R"({"max-body-bytes":0})"};
  for (const std::string& number : HostileNumbers()) {
    limits.push_back(absl::StrCat(R"({"max-body-bytes":)", number, "}"));
  }
  for (const std::string& value : limits) {
    const DecodedConfiguration decoded =
        Configuration(ConfigurationText("[]", "[]", absl::StrCat(",\"limits\":", value)));
    BOOST_TEST_CONTEXT(value) {
      BOOST_REQUIRE(decoded.result.ok());
      BOOST_TEST(decoded.result.value().max_body_bytes == CellConfiguration().max_body_bytes);
      BOOST_TEST(decoded.skipped.size() == (value == "null" ? 0U : 1U));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
