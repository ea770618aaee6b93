#include <rapidcheck.h>

#include <fstream>
#include <limits>
#include <sstream>
#include <string>

#include "base/json_text.h"
#include "boost/test/unit_test.hpp"
#include "model/contract_codec.h"
#include "model/field_reader.h"
#include "model/job_codec.h"
#include "tests/model/model_generators.h"

namespace pomelotray {
namespace {

using nlohmann::json;

std::string JobError(const json& value) {
  const Outcome<JobSpec> outcome = Capture([&] { return JobSpecFromJson(value); });
  return outcome.ok() ? "" : outcome.error().message;
}

std::string ContractError(const json& value) {
  const Outcome<Contract> outcome = Capture([&] { return ContractFromJson(value); });
  return outcome.ok() ? "" : outcome.error().message;
}

json With(json value, const std::string& pointer, const json& replacement) {
  value[json::json_pointer(pointer)] = replacement;
  return value;
}

BOOST_AUTO_TEST_SUITE(CodecTest)

// Guards against a record that changes on its way through the journal, a peer or the API.
BOOST_AUTO_TEST_CASE(JobRecordSurvivesJsonText) {
  BOOST_TEST(rc::check("job record round trip", [] {
    const JobRecord record = *GenJobRecord();
    const std::string text = DumpJson(JobRecordToJson(record));
    const Outcome<JobRecord> decoded = Capture([&]() -> Result<JobRecord> {
      BOOST_LEAF_AUTO(parsed, ParseJson(text, "record"));
      return JobRecordFromJson(parsed);
    });
    RC_ASSERT(decoded.ok());
    RC_ASSERT(DumpJson(JobRecordToJson(decoded.value())) == text);
    RC_ASSERT(decoded.value().accepted_at == record.accepted_at);
    RC_ASSERT(decoded.value().spec.deadline == record.spec.deadline);
    RC_ASSERT(decoded.value().spec.demand == record.spec.demand);
    RC_ASSERT(decoded.value().spec.payload == record.spec.payload);
    RC_ASSERT(decoded.value().tasks.size() == record.tasks.size());
  }));
}

// Guards against a limit that differs between the instance that stored it and one that reads it.
BOOST_AUTO_TEST_CASE(ContractSurvivesJsonText) {
  BOOST_TEST(rc::check("contract round trip", [] {
    const Contract contract = *GenContract();
    const std::string text = DumpJson(ContractToJson(contract));
    const Outcome<Contract> decoded = Capture([&]() -> Result<Contract> {
      BOOST_LEAF_AUTO(parsed, ParseJson(text, "contract"));
      return ContractFromJson(parsed);
    });
    RC_ASSERT(decoded.ok());
    RC_ASSERT(DumpJson(ContractToJson(decoded.value())) == text);
    RC_ASSERT(decoded.value().weight == contract.weight);
    RC_ASSERT(decoded.value().rate_per_second == contract.rate_per_second);
    RC_ASSERT(decoded.value().hold == contract.hold);
    RC_ASSERT(decoded.value().home_domains == contract.home_domains);
  }));
}

// Guards against a caller who has to mend one fault per submission.
BOOST_AUTO_TEST_CASE(JobFaultsAreListedTogether) {
  const json job = json::parse(R"({"customer": "a/b", "key": "", "kind": "cron", "task_count": -1,
      "demand": {"cpu_millicores": 1.5, "gpu": 1}, "priority": 3, "repeatable": "no",
      "deadline": "tomorrow", "expected_run_ms": 18446744073709551615, "colour": "red"})");
  BOOST_TEST(JobError(job) ==
             "The job is invalid: "
             "customer is \"a/b\": use 1 to 64 letters, digits, '-' and '_'; "
             "kind is \"cron\": use \"batch\", \"gang\" or \"service\"; "
             "pool is missing: use 1 to 64 letters, digits, '-' and '_'; "
             "task_count is -1: use a whole number from 1 to 512; "
             "demand.cpu_millicores is 1.5: use a whole number from 0 to 1000000000000; "
             "demand.gpu is an unknown field: remove it or correct its spelling; "
             "priority is 3: use \"normal\" or \"urgent\"; "
             "repeatable is \"no\": use true or false; "
             "deadline is \"tomorrow\": use an RFC 3339 time such as \"2026-12-04T03:00:00Z\"; "
             "expected_run_ms is 18446744073709551615: use a whole number from 0 to 316224000000; "
             "demand is zero: ask for cpu, memory or accelerators; "
             "key is \"\": use 1 to 128 printable ASCII characters; "
             "colour is an unknown field: remove it or correct its spelling.");
}

// Guards against jobs that no owner could run sensibly.
BOOST_AUTO_TEST_CASE(SenselessJobsAreRefused) {
  const json job = JobSpecToJson(ExampleJob());
  BOOST_TEST(JobError(job) == "");
  BOOST_TEST(JobError(With(job, "/kind", "gang")) ==
             "The job is invalid: task_count is 1: a gang starts at least 2 tasks together; use "
             "kind \"batch\" for one task.");
  const json service = With(job, "/kind", "service");
  BOOST_TEST(JobError(With(service, "/repeatable", false)) ==
             "The job is invalid: repeatable is false: a service is started again after failures; "
             "set it to true.");
  BOOST_TEST(JobError(With(service, "/deadline", "2026-12-04T03:00:00Z")) ==
             "The job is invalid: deadline is \"2026-12-04T03:00:00+00:00\": a service has no "
             "deadline; remove it.");
  BOOST_TEST(JobError(With(job, "/task_count", kMaxTasksPerJob + 1)) ==
             "The job is invalid: task_count is 513: use a whole number from 1 to 512.");
  BOOST_TEST(JobError(With(job, "/payload", std::string(kMaxPayloadBytes, 'x'))) == "");
  BOOST_TEST(JobError(With(job, "/payload", std::string(kMaxPayloadBytes + 1, 'x'))) ==
             "The job is invalid: payload has 65537 bytes: use at most 65536 bytes and pass larger "
             "data by reference.");
  BOOST_TEST(JobError(With(job, "/payload", "\xff")) ==
             "The job is invalid: payload is not UTF-8: encode binary data as text, for example "
             "in Base64.");
  BOOST_TEST(JobError(With(job, "/customer", std::string(65, 'x'))) != "");
  BOOST_TEST(JobError(With(job, "/key", std::string(129, 'x'))) != "");
  BOOST_TEST(JobError(With(job, "/demand/cpu_millicores", 1e300)) != "");
  BOOST_TEST(JobError(json::array()) ==
             "The job is an array of 0; send a JSON object with the documented fields.");
}

// Guards against contracts that would stop a customer's work or make shares meaningless.
BOOST_AUTO_TEST_CASE(SenselessContractsAreRefused) {
  const json contract = ContractToJson(ExampleContract());
  BOOST_TEST(ContractError(contract) == "");
  json bad = contract;
  bad["weight"] = 0;
  bad["home_domains"] = json::array();
  bad["burst"] = 0;
  bad["kinds"] = {"batch", "cron"};
  bad["pools"] = {"a", "a"};
  bad["default_deadline_ms"] = 90'000'000;
  bad["caller_token_sha256"] = "my-secret-token";
  bad.erase("hold");
  BOOST_TEST(ContractError(bad) ==
             "The contract is invalid: "
             "caller_token_sha256 is not a SHA-256: use the 64 lower-case hex digits that "
             "`sha256sum` prints for the token; "
             "hold is missing: use an object; "
             "burst is 0 with a rate_per_second of 50: set both above 0, or both to 0 to admit "
             "nothing; "
             "weight is not above 0: use a number above 0, such as 1; "
             "default_deadline_ms is 90000000, above max_deadline_ms 86400000: lower it or raise "
             "max_deadline_ms; "
             "kinds contains \"cron\": use \"batch\", \"gang\" or \"service\"; "
             "pools contains \"a\" twice: name each entry once; "
             "home_domains names no valid entry: name at least one.");
  BOOST_TEST(ContractError(With(contract, "/weight", -1)) != "");
  BOOST_TEST(ContractError(With(contract, "/rate_per_second", 1e300)) != "");
}

// Guards against an input that exhausts the stack when it is copied or printed.
BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  const Outcome<json> outcome = Capture([] { return ParseJson(std::string(500'000, '['), "job"); });
  BOOST_TEST(!outcome.ok());
  BOOST_TEST(outcome.error().message ==
             "The job nests JSON deeper than 16 levels; send the documented form.");
}

// Guards against a codec that crashes on input of any other shape.
BOOST_AUTO_TEST_CASE(MutatedRecordsAreDecodedOrRefused) {
  BOOST_TEST(rc::check("mutated job records", [] {
    json value = JobRecordToJson(*GenJobRecord()).flatten();
    const std::vector<json> replacements = {nullptr, -1, 1e308, "", "x", true, UINT64_MAX};
    for (auto it = value.begin(); it != value.end(); ++it) {
      if (*rc::gen::inRange(0, 8) == 0) {
        *it = *rc::gen::elementOf(replacements);
      }
    }
    const json mutated = value.unflatten();
    const Outcome<JobRecord> outcome = Capture([&] { return JobRecordFromJson(mutated); });
    if (!outcome.ok()) {
      RC_ASSERT(outcome.error().kind == ErrorKind::kInvalidArgument);
    }
  }));
}

// Guards against a documented example that the program refuses.
BOOST_AUTO_TEST_CASE(DocumentedContractIsValid) {
  std::ifstream file(std::string(__FILE__).substr(0, std::string(__FILE__).rfind("tests/")) +
                     "docs/contracts.md");
  std::ostringstream text;
  text << file.rdbuf();
  const size_t begin = text.str().find("```json\n") + 8;
  const size_t end = text.str().find("```", begin);
  BOOST_REQUIRE(end != std::string::npos);
  BOOST_TEST(ContractError(json::parse(text.str().substr(begin, end - begin))) == "");
}

// Guards against a job whose worker returned bytes that are not UTF-8: other instances could not
// read the job's record, and no caller could list jobs.
BOOST_AUTO_TEST_CASE(BinaryResultsReachOtherInstances) {
  JobRecord record;
  record.id = JobId("cuenca.rendering.1");
  record.spec = ExampleJob();
  record.accepted_at = absl::UnixEpoch();
  record.tasks.resize(1);
  record.tasks[0].task = MakeTaskId(record.id, 0);
  record.tasks[0].result = "ok\xff";
  const Outcome<JobRecord> decoded =
      Capture([&] { return JobRecordFromJson(JobRecordToJson(record)); });
  BOOST_TEST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded.value().tasks[0].result == "ok\xef\xbf\xbd");
}

// Guards against numbers that overflow when they are converted, multiplied by the number of tasks
// or added to a time.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreRefused) {
  static_assert(kMaxAmount <= std::numeric_limits<int64_t>::max() / kMaxTasksPerJob);
  const json job = JobSpecToJson(ExampleJob());
  const json contract = ContractToJson(ExampleContract());
  BOOST_TEST(JobError(job) == "");
  BOOST_TEST(ContractError(contract) == "");
  for (const json& number :
       {json(std::numeric_limits<int64_t>::max()), json(std::numeric_limits<int64_t>::min()),
        json(std::numeric_limits<uint64_t>::max()), json(1e300), json(-1), json("7"), json({7}),
        json(std::numeric_limits<double>::quiet_NaN()),
        json(std::numeric_limits<double>::infinity())}) {
    BOOST_TEST_CONTEXT(number) {
      for (const char* pointer : {"/task_count", "/demand/cpu_millicores", "/demand/memory_mib",
                                  "/demand/accelerators", "/expected_run_ms", "/deadline"}) {
        BOOST_TEST_CONTEXT(pointer) { BOOST_TEST(JobError(With(job, pointer, number)) != ""); }
      }
      for (const char* pointer :
           {"/hold/cpu_millicores", "/hold/slots", "/rate_per_second", "/burst", "/weight",
            "/max_jobs", "/default_deadline_ms", "/max_deadline_ms"}) {
        BOOST_TEST_CONTEXT(pointer) {
          BOOST_TEST(ContractError(With(contract, pointer, number)) != "");
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
