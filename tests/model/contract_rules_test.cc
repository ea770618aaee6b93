#include "model/contract_rules.h"

#include <string>

#include "boost/test/unit_test.hpp"
#include "tests/model/model_generators.h"

namespace pomelotray {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'000'000);

std::string Refusal(const JobSpec& spec, const Contract& contract) {
  const Outcome<void> outcome = Capture([&] { return CheckAgainstContract(spec, contract, kNow); });
  return outcome.ok()
             ? ""
             : std::string(ErrorKindName(outcome.error().kind)) + ": " + outcome.error().message;
}

BOOST_AUTO_TEST_SUITE(ContractRulesTest)

// Guards against work outside of the contract, and against a refusal without its reason.
BOOST_AUTO_TEST_CASE(ExcludedKindPoolAndPriorityAreRefused) {
  JobSpec spec = ExampleJob();
  BOOST_TEST(Refusal(spec, ExampleContract()) == "");
  spec.kind = JobKind::kService;
  spec.pool = PoolName("labels");
  spec.priority = Priority::kUrgent;
  BOOST_TEST(Refusal(spec, ExampleContract()) ==
             "permission_denied: The contract of sign-shop does not allow the job: kind "
             "\"service\" is not in its kinds: submit an allowed kind or amend kinds; pool "
             "\"labels\" is not in its pools: use an allowed pool or amend pools; priority "
             "\"urgent\" is not allowed: use \"normal\" or amend allow_urgent.");
}

// Guards against a gang that waits for ever because its contract can never hold it, and against
// refusing a batch job whose tasks can run one after another.
BOOST_AUTO_TEST_CASE(GangBeyondHoldIsOverLimit) {
  JobSpec spec = ExampleJob();
  spec.task_count = 9;
  BOOST_TEST(Refusal(spec, ExampleContract()) == "");
  spec.kind = JobKind::kGang;
  BOOST_TEST(Refusal(spec, ExampleContract()) ==
             "over_limit: The contract of sign-shop does not allow the job: the job needs 9 "
             "accelerators at once and hold allows 8: ask for less or amend hold.");
  spec.task_count = 8;
  BOOST_TEST(Refusal(spec, ExampleContract()) == "");
}

// Guards against deadlines that are over or beyond the contract.
BOOST_AUTO_TEST_CASE(DeadlinesOutsideBoundsAreRefused) {
  JobSpec spec = ExampleJob();
  spec.deadline = kNow + absl::Hours(24);
  BOOST_TEST(Refusal(spec, ExampleContract()) == "");
  spec.deadline = kNow + absl::Hours(25);
  BOOST_TEST(Refusal(spec, ExampleContract()) ==
             "invalid_argument: The contract of sign-shop does not allow the job: deadline "
             "1970-01-13T14:46:40+00:00 is more than max_deadline_ms 86400000 away: use an "
             "earlier deadline or amend max_deadline_ms.");
  spec.deadline = kNow;
  BOOST_TEST(Refusal(spec, ExampleContract()) ==
             "deadline_unmeetable: The contract of sign-shop does not allow the job: deadline "
             "1970-01-12T13:46:40+00:00 has passed: submit again with a later one.");
}

// Guards against a job that would never expire.
BOOST_AUTO_TEST_CASE(DefaultDeadlineIsSetExceptForServices) {
  JobSpec spec = ExampleJob();
  BOOST_TEST(
      (WithContractDefaults(spec, ExampleContract(), kNow).deadline == kNow + absl::Minutes(10)));
  spec.kind = JobKind::kService;
  BOOST_TEST(!WithContractDefaults(spec, ExampleContract(), kNow).deadline.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
