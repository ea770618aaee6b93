#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "platform/configuration_codec.h"
#include "platform/node_settings.h"
#include "platform/worker_client.h"
#include "platform/worker_directory.h"

namespace pomelotray::platform {
namespace {

constexpr char kSettings[] =
    "node-name=front-a-1\nip=10.1.0.30\nzone=a\nlisten-addrs.front=10.1.0.30:8149\n"
    "listen-addrs.ready=10.1.0.30:8141\nport-range=7380,7395\nplatform.address=10.200.1.7:8142\n"
    "advice=10.200.1.9:8142\nbounds.max-hold-ms=10000\nsome.new.field=1\n";

constexpr char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/p/","service":"s1","priority":1,"max-attempts":2,
   "stretch":2.2,"target-latency-ms":1200,
   "advice":{"decide-ms":560.0,"each-ms":8.0,"valid-ms":2000}},
  {"name":"r2","host":"a.example","prefix":"/p/long/","service":"s2"}],
  "services":[{"name":"s1"},{"name":"s2"}],"limits":{"max-body-bytes":1000}})";

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(SettingsAreReadAndUnknownNamesIgnored) {
  const Outcome<NodeSettings> settings = Capture([] { return ParseNodeSettings(kSettings); });
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST(settings.value().id.value() == "front-a-1");
  BOOST_TEST(settings.value().caller_address.ToString() == "10.1.0.30:8149");
  BOOST_TEST(settings.value().peer_address.ToString() == "10.1.0.30:7380");
  BOOST_TEST(absl::ToInt64Milliseconds(settings.value().max_task_lease) == 10'000);
}

// Guards against a process that starts with incomplete settings. The error must name the missing
// one.
BOOST_AUTO_TEST_CASE(MissingSettingIsNamed) {
  const Outcome<NodeSettings> settings =
      Capture([] { return ParseNodeSettings("node-name=a\nip=10.0.0.1\nzone=z\n"); });
  BOOST_REQUIRE(!settings.ok());
  BOOST_TEST(settings.error().message.find("listen-addrs.front") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(LongestPrefixSelectsTheQueue) {
  std::vector<std::string> skipped;
  const Outcome<CellConfiguration> configuration =
      Capture([&] { return DecodeConfiguration(kConfiguration, &skipped); });
  BOOST_REQUIRE(configuration.ok());
  BOOST_TEST(skipped.empty());
  const CellConfiguration& value = configuration.value();
  BOOST_TEST(value.FindRoute("A.example", "/p/x")->policy.name == "r1");
  BOOST_TEST(value.FindRoute("a.example", "/p/long/x")->policy.name == "r2");
  BOOST_TEST(value.FindRoute("b.example", "/p/x") == nullptr);
  BOOST_TEST(value.routes[0].policy.advice.has_value());
  BOOST_TEST(!value.routes[1].policy.advice.has_value());
}

// Guards against malformed jobs that crash the process or exhaust its memory. Each must be rejected
// with kInvalidArgument.
BOOST_AUTO_TEST_CASE(MalformedJobsAreRejected) {
  for (const std::string text :
       {"", "[]", "{}", "{\"steps\":7}", "{\"spec\":3,\"steps\":[]}",
        "{\"steps\":[{\"count\":-1}]}", "{\"steps\":[{\"count\":1e300}]}",
        "{\"steps\":[{\"count\":\"many\"}]}", "{\"steps\":[{\"count\":1,\"cpu\":99999999999999}]}",
        "{\"steps\":[{\"count\":1,\"after\":\"x\"}]}", "{\"steps\":[{\"count\":1,\"gang\":3}]}"}) {
    const Outcome<WorkflowSpec> spec = Capture([&] { return DecodeWorkflow(text); });
    BOOST_TEST_CONTEXT(text) {
      BOOST_REQUIRE(!spec.ok());
      BOOST_TEST((spec.error().kind == ErrorKind::kInvalidArgument));
    }
  }
}

BOOST_AUTO_TEST_CASE(JobsKeepAllTheirFields) {
  const Outcome<WorkflowSpec> spec = Capture([] {
    return DecodeWorkflow(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,
            "affinity":"r1-3"},{"count":2,"gpu":1,"after":[0],"checkpoints":true,"gang":true,
            "anti-affinity":1,"may-miss":2,"target-ms":30,"long-running":true,"fills":true}],
            "repeat-count":3,"start-time-ms":1000,"interval-ms":500})");
  });
  BOOST_REQUIRE(spec.ok());
  const WorkflowSpec& value = spec.value();
  BOOST_TEST(value.steps[0].preferred_rack == "r1-3");
  BOOST_TEST(value.steps[1].gang);
  BOOST_TEST(value.steps[1].long_running);
  BOOST_TEST(value.steps[1].max_per_worker == 1);
  BOOST_TEST(value.steps[1].disruption_budget == 2);
  BOOST_TEST(value.occurrences == 3);
  BOOST_TEST(absl::ToUnixMillis(value.first_due) == 1000);
}

// Guards against malformed worker entries, for example from other programs, that are taken for a
// worker or crash the process.
BOOST_AUTO_TEST_CASE(InvalidWorkerEntriesAreRejected) {
  constexpr char kValidEntry[] =
      R"({"service":"s1","address":"10.0.0.9:80","zone":"a","state":"ready",
          "capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"sequence":4})";
  BOOST_TEST(Capture([&] { return DecodeWorker("i-1", kValidEntry); }).ok());
  nlohmann::json with_start = nlohmann::json::parse(kValidEntry);
  with_start["born"] = 1'700'000'000'123;
  BOOST_TEST((Capture([&] { return DecodeWorker("i-1", with_start.dump()); }).value().started_at ==
              absl::FromUnixMillis(1'700'000'000'123)));
  for (const std::string field : {"service", "address", "zone", "state", "capacity", "labels"}) {
    nlohmann::json value = nlohmann::json::parse(kValidEntry);
    value.erase(field);
    BOOST_TEST(!Capture([&] { return DecodeWorker("i-1", value.dump()); }).ok());
    value[field] = 7;
    BOOST_TEST(!Capture([&] { return DecodeWorker("i-1", value.dump()); }).ok());
  }
  nlohmann::json value = nlohmann::json::parse(kValidEntry);
  value["state"] = "resting";
  BOOST_TEST(!Capture([&] { return DecodeWorker("i-1", value.dump()); }).ok());
  BOOST_TEST(!Capture([&] { return DecodeWorker("i-1", "\xff"); }).ok());
}

// Guards against a refusal that is decoded as an accepted order, and against a malformed report
// that is decoded as the report of an idle worker.
BOOST_AUTO_TEST_CASE(WorkerAnswersAreDecoded) {
  const auto decode = [](int status, const char* body) {
    return Capture([&] {
      return DecodeOrderAnswer(HttpResponse{status, nlohmann::json::parse(body)});
    });
  };
  BOOST_TEST((decode(200, "{}").value() == OrderAnswer::kAccepted));
  BOOST_TEST((decode(409, R"({"reason":"fence"})").value() == OrderAnswer::kFenced));
  BOOST_TEST((decode(409, R"({"reason":"old"})").value() == OrderAnswer::kSuperseded));
  for (const char* malformed : {"[]", "7", "null", R"({"reason":7})", R"({"reason":null})"}) {
    BOOST_TEST((decode(409, malformed).value() == OrderAnswer::kNoRoom));
  }
  BOOST_TEST((decode(409, R"({"reason":"ticket"})").value() == OrderAnswer::kTicketRefused));
  BOOST_TEST((decode(421, "{}").value() == OrderAnswer::kWrongWorker));
  BOOST_TEST((decode(503, "{}").value() == OrderAnswer::kUnhealthy));
  BOOST_TEST(!decode(500, "{}").ok());
  const Outcome<WorkerReport> report = Capture([] {
    return DecodeReport(nlohmann::json::parse(
        R"({"clock-ms":5,"born":9,"running":[["a.0.0.1",2,"c",41,7]],
            "ended":[[58,"a.0.0.2",1,"broken",""]]})"));
  });
  BOOST_REQUIRE(report.ok());
  BOOST_TEST(report.value().running[0].usage == 7);
  BOOST_TEST((report.value().ended[0].end == AttemptEnd::kGangBroken));
  for (const char* malformed : {"[]", "{}", R"({"clock-ms":1,"running":[["x"]],"ended":[]})",
                                R"({"clock-ms":"x","running":[],"ended":[]})"}) {
    BOOST_TEST(!Capture([&] { return DecodeReport(nlohmann::json::parse(malformed)); }).ok());
  }
}

// Guards against reports that are taken for complete although the worker lists the oldest ended
// attempts only: the tasks of the others would run again.
BOOST_AUTO_TEST_CASE(LongListOfEndsCountsAsCut) {
  constexpr int kPlatformLimit = 500;
  nlohmann::json body = {{"clock-ms", 5}, {"running", nlohmann::json::array()}, {"ended", {}}};
  const auto may_omit_ends = [&body] {
    return Capture([&] { return DecodeReport(body); }).value().may_omit_ends;
  };
  body["ended"] = nlohmann::json::array();
  BOOST_TEST(!may_omit_ends());
  for (int i = 1; i <= kPlatformLimit; ++i) {
    body["ended"].push_back({i, absl::StrCat("a.0.0.", i), 1, "done", ""});
  }
  BOOST_TEST(may_omit_ends());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
