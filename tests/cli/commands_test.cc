#include <string>

#include "absl/strings/match.h"
#include "base/json_text.h"
#include "boost/test/unit_test.hpp"
#include "model/contract_codec.h"
#include "tests/cli/cli_fixture.h"

namespace pomelotray {
namespace {

void Expect(const CliResult& result, int code, const std::string& out, const std::string& err) {
  BOOST_TEST(result.code == code);
  BOOST_TEST(result.out == out);
  BOOST_TEST(result.err == err);
}

JobId IdOf(const std::string& customer, const std::string& key) {
  return MakeJobId({FailureDomainId("cuenca"), PoolName("rendering")}, CustomerId(customer),
                   IdempotencyKey(key));
}

std::string JobLines(const JobId& id, const std::string& state, const std::string& reason) {
  return "job:       " + id.value() +
         "\n"
         "customer:  sign-shop\n"
         "kind:      batch\n"
         "state:     " +
         state +
         "\n"
         "reason:    " +
         reason +
         "\n"
         "tasks:     2 queued\n"
         "accepted:  1970-01-12T13:46:40+00:00\n"
         "started:   -\n"
         "finished:  -\n"
         "deadline:  -\n";
}

const std::vector<std::string> kSubmit = {"submit", "--customer=sign-shop", "--key=order-1",
                                          "--pool=rendering", "--tasks=2"};
constexpr char kQueuedReason[] = "The job waits for a free accelerator.";

BOOST_AUTO_TEST_SUITE(CommandsTest)

// Guards against a submitted job that differs from its options and a status without its reason.
BOOST_AUTO_TEST_CASE(SubmitStatusCancelAndWait) {
  CliFixture cli;
  const JobId id = IdOf("sign-shop", "order-1");
  Expect(cli.Run(kSubmit), 0, JobLines(id, "queued", kQueuedReason), "");
  Expect(cli.Run({"status", id.value()}), 0, JobLines(id, "queued", kQueuedReason), "");
  Expect(cli.Run({"wait", "--timeout=20ms", id.value()}), 1, JobLines(id, "queued", kQueuedReason),
         "The job is not final yet; wait again or raise --timeout.\n");
  cli.service.SetJobState(id, JobState::kSucceeded, "All tasks succeeded.");
  Expect(cli.Run({"wait", id.value()}), 0, JobLines(id, "succeeded", "All tasks succeeded."), "");
  cli.service.SetJobState(id, JobState::kUnknown, "The job may have run.");
  Expect(cli.Run({"wait", id.value()}), 6, JobLines(id, "unknown", "The job may have run."), "");
  Expect(cli.Run({"cancel", id.value()}), 0, JobLines(id, "cancelled", "The job was cancelled."),
         "");
  Expect(cli.Run({"wait", id.value()}), 1, JobLines(id, "cancelled", "The job was cancelled."), "");
}

// Guards against altering a job file before submission and against invalid JSON output.
BOOST_AUTO_TEST_CASE(SubmitReadsAJobFromStandardInput) {
  CliFixture cli;
  const CliResult result =
      cli.Run({"--output=json", "submit", "-"},
              R"({"customer": "sign-shop", "key": "k", "kind": "gang", "pool": "rendering",
                  "task_count": 3, "demand": {"accelerators": 2}, "repeatable": false})");
  BOOST_TEST(result.code == 0);
  const nlohmann::json job = nlohmann::json::parse(result.out);
  BOOST_TEST(job["spec"]["kind"] == "gang");
  BOOST_TEST(job["spec"]["repeatable"] == false);
  BOOST_TEST(job["spec"]["demand"]["accelerators"] == 2);
  BOOST_TEST(job["tasks"].size() == 3U);
  Expect(cli.Run({"submit", "-"}, "{"), 1, "",
         "error: invalid_argument: The job is not valid JSON; check it for syntax errors, numbers "
         "beyond the range of a double and bytes that are not UTF-8.\n");
  Expect(cli.Run({"submit", "no/such/file"}), 2, "",
         "error: invalid_argument: File \"no/such/file\" cannot be read; check its name and "
         "permissions.\n");
}

// Guards against missing jobs and misaligned columns in lists.
BOOST_AUTO_TEST_CASE(JobsAndQueue) {
  CliFixture cli;
  const JobId first = IdOf("sign-shop", "order-1");
  const JobId second = IdOf("sign-shop", "order-2");
  cli.Run(kSubmit);
  cli.Run({"submit", "--customer=sign-shop", "--key=order-2", "--pool=rendering", "--urgent"});
  cli.service.SetJobState(first, JobState::kRunning, "");
  const std::string blanks(first.value().size() - 3, ' ');
  const bool first_sorts_first = first < second;
  const std::string running = first.value() + "  sign-shop  batch  running  2      -\n";
  const std::string queued =
      second.value() + "  sign-shop  batch  queued   1      " + kQueuedReason + "\n";
  Expect(cli.Run({"jobs"}), 0,
         "JOB" + blanks + "  CUSTOMER   KIND   STATE    TASKS  REASON\n" +
             (first_sorts_first ? running + queued : queued + running),
         "");
  Expect(cli.Run({"queue", "--customer=sign-shop"}), 0,
         "ACCEPTED                   JOB" + blanks +
             "  CUSTOMER   PRIORITY  REASON\n"
             "1970-01-12T13:46:40+00:00  " +
             second.value() + "  sign-shop  urgent    " + kQueuedReason + "\n",
         "");
  Expect(cli.Run({"jobs", "--customer=market"}), 0, "JOB  CUSTOMER  KIND  STATE  TASKS  REASON\n",
         "");
}

// Guards against instance, worker and timeline tables that omit columns or rows.
BOOST_AUTO_TEST_CASE(NodesWorkersDrainAndTimeline) {
  CliFixture cli;
  Expect(cli.Run({"nodes"}), 0,
         "INSTANCE  REGION  DOMAIN  STATE  ADDRESS         REVISION  SHARDS\n"
         "entry-1   sierra  cuenca  live   127.0.0.1:7071  7         cuenca/rendering\n",
         "");
  Expect(cli.Run({"workers"}), 0,
         "WORKER    SHARD             RACK    STATE   CPU_M       MEMORY_MIB  ACCELERATORS  "
         "RUNNING\n"
         "worker-1  cuenca/rendering  rack-1  usable  4000/64000  0/0         0/0           1\n",
         "");
  Expect(cli.Run({"drain", "worker-1"}), 0, "VM worker-1 gets no new work.\n", "");
  BOOST_REQUIRE(!cli.service.drained().empty());
  BOOST_TEST(cli.service.drained().front().value() == "worker-1");
  Expect(cli.Run({"timeline", "--job=j 1"}), 0,
         "TIME                              PROCESS  CODE  EVENT         FIELDS\n"
         "1970-01-12T13:46:40+00:00         entry-1  400   job_accepted  job=j 1\n"
         "1970-01-12T13:46:40.000001+00:00  entry-2  406   task_started  job=j 1\n",
         "");
}

// Guards against altering a binary request body or response body.
BOOST_AUTO_TEST_CASE(RequestPrintsTheRawAnswer) {
  CliFixture cli;
  Expect(cli.Run({"request", "--customer=a", "--timeout=2s", "--once", "--file=-", "counter"},
                 std::string("a\0b\n", 4)),
         0, std::string("answer to a\0b\n", 14), "");
  BOOST_TEST(!cli.service.last_request().repeatable);
  BOOST_TEST((cli.service.last_request().timeout == absl::Seconds(2)));
  Expect(
      cli.Run({"request", "--timeout=2s", "counter"}), 1, "",
      "error: invalid_argument: The request is invalid: Pomelotray-Customer is missing: name the "
      "customer for whom an operator sends the request.\n");
}

// Guards against lost updates by concurrent operators and against amending the wrong field.
BOOST_AUTO_TEST_CASE(ContractsAreAppliedAmendedAndCompared) {
  CliFixture cli;
  const std::string file = DumpJson(ContractToJson(GenerousContract("sign-shop", "")));
  Expect(cli.Run({"contract", "apply", "-"}, file), 0,
         "Contract of sign-shop is stored as revision 1.\n", "");
  Expect(cli.Run({"contract", "apply", "-"}, file), 5, "",
         "error: conflict: The contract has revision 1; read it again and repeat the change.\n");
  Expect(cli.Run({"contract", "apply", "--expected-revision=1", "-"}, file), 0,
         "Contract of sign-shop is stored as revision 2.\n", "");
  Expect(cli.Run({"contract", "diff", "-"}, file), 0, "", "Stored revision 2.\n");
  Expect(
      cli.Run({"contract", "amend", "--set=weight=2", "--set=hold.accelerators=16", "sign-shop"}),
      0, "Contract of sign-shop is stored as revision 3.\n", "");
  Expect(
      cli.Run({"contract", "diff", "-"}, file), 1,
      "hold: {\"accelerators\":16,\"cpu_millicores\":64000,\"memory_mib\":262144,\"slots\":16} -> "
      "{\"accelerators\":8,\"cpu_millicores\":64000,\"memory_mib\":262144,\"slots\":16}\n"
      "weight: 2.0 -> 1.0\n",
      "Stored revision 3.\n");
  Expect(cli.Run({"contract", "list"}), 0,
         "CUSTOMER   REVISION  WEIGHT  RATE  MAX_JOBS\n"
         "sign-shop  3         2.0     50.0  200\n",
         "");
  const CliResult got = cli.Run({"contract", "get", "sign-shop"});
  BOOST_TEST(got.code == 0);
  BOOST_TEST(nlohmann::json::parse(got.out)["weight"] == 2.0);
  BOOST_TEST(got.err == "Revision 3.\n");
  Expect(cli.Run({"contract", "amend", "--set=weight=0", "sign-shop"}), 1, "",
         "error: invalid_argument: The contract is invalid: weight is not above 0: use a number "
         "above 0, such as 1.\n");
  Expect(cli.Run({"contract", "amend", "--set=wieght=2", "sign-shop"}), 1, "",
         "error: invalid_argument: Field \"wieght\" cannot be set; docs/contracts.md lists the "
         "fields.\n");
  Expect(cli.Run({"contract", "amend", "--set=customer=b", "sign-shop"}), 1, "",
         "error: invalid_argument: Field \"customer\" cannot be set; docs/contracts.md lists the "
         "fields.\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
