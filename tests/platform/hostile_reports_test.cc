#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "platform/worker_client.h"
#include "tests/platform/hostile_texts.h"

namespace pomelotray::platform {
namespace {

Outcome<WorkerReport> Report(const std::string& text) {
  return Capture([&] { return DecodeReport(nlohmann::json::parse(text)); });
}

BOOST_AUTO_TEST_SUITE(HostileReportsTest)

// Guards against a report whose lists are of another type and that is decoded as the report of an
// idle worker, and against numbers that overflow later.
BOOST_AUTO_TEST_CASE(HostileReportsAreRejected) {
  std::vector<std::string> texts = {
      R"({"clock-ms":1,"running":{},"ended":[]})", R"({"clock-ms":1,"running":[],"ended":{}})",
      R"({"clock-ms":1,"running":[],"ended":""})", R"({"clock-ms":1,"running":[{}],"ended":[]})",
      R"({"clock-ms":1,"running":[["a.0.0.0"]],"ended":[]})"};
  for (const std::string& number : HostileNumbers()) {
    texts.push_back(absl::StrCat(R"({"running":[],"ended":[],"clock-ms":)", number, "}"));
    texts.push_back(absl::StrCat(R"({"running":[],"ended":[],"clock-ms":1,"born":)", number, "}"));
    texts.push_back(absl::StrCat(R"({"clock-ms":1,"running":[["a.0.0.0",)", number,
                                 R"(,"",1,1]],"ended":[]})"));
    texts.push_back(absl::StrCat(R"({"clock-ms":1,"running":[],"ended":[[1,"a.0.0.0",)", number,
                                 R"(,"done",""]]})"));
    texts.push_back(absl::StrCat(R"({"clock-ms":1,"running":[],"ended":[[)", number,
                                 R"(,"a.0.0.0",1,"done",""]]})"));
  }
  for (const std::string& text : texts) {
    BOOST_TEST_CONTEXT(text) { BOOST_TEST(!Report(text).ok()); }
  }
}

// Guards against a row that hides all other attempts of its worker because of a value that the
// scheduler can do without. An attempt whose name and number are readable must be kept: its task
// would otherwise be started a second time.
BOOST_AUTO_TEST_CASE(ReportRowsWithOddDetailsAreKept) {
  for (const std::string& odd : HostileNumbers()) {
    const Outcome<WorkerReport> report = Report(absl::StrCat(
        R"({"clock-ms":1,"running":[["a.0.0.0",1,"c",)", odd, ",", odd, R"(],["a.0.0.1",2,)", odd,
        R"(,41.7]],"ended":[[1,"a.0.0.2",1,)", odd, ",", odd, "]]}"));
    BOOST_TEST_CONTEXT(odd) {
      BOOST_REQUIRE(report.ok());
      BOOST_REQUIRE_EQUAL(report.value().running.size(), 2U);
      const RunningAttempt& first = report.value().running[0];
      BOOST_TEST((first.percent == 0 || first.percent == 100));
      BOOST_TEST(first.usage >= 0);
      BOOST_TEST(first.usage <= 1'000'000'000);
      BOOST_TEST(report.value().running[1].percent == 41);
      BOOST_REQUIRE_EQUAL(report.value().ended.size(), 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
