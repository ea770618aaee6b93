#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/processes/deployment.h"

namespace pomelotray {
namespace {

constexpr int kRounds = 3;
constexpr int kExitConflict = 5;
// A change must be in force within 5 s; the test allows three times that for a loaded machine.
constexpr absl::Duration kInForceLimit = absl::Seconds(15);

const Event* FindEvent(const std::vector<Event>& events, EventCode code, const std::string& process,
                       int64_t revision) {
  for (const Event& event : events) {
    const auto field = event.fields.find(event_field::kRevision);
    if (event.code == code && (process.empty() || event.process == process) &&
        field != event.fields.end() && field->second == absl::StrCat(revision)) {
      return &event;
    }
  }
  return nullptr;
}

int64_t RevisionOn(const Deployment& deployment, const std::string& instance) {
  const ApiAnswer answer = deployment.Call(instance, "GET", "/v1/contracts/sign-shop");
  return answer.status == 200 ? answer.json.value("revision", int64_t{0}) : 0;
}

struct Change {
  int64_t revision = 0;
  // Time before the commands were run. The time of contract_applied is no lower bound: the instance
  // records it after the answer of the store, and a watch may report the change earlier.
  absl::Time started;
};

// Applies two different contracts in two regions at the same time, based on the same revision.
// Exactly one must be accepted. Returns the new revision.
Change ApplyConcurrently(Deployment* deployment, int round) {
  const int64_t base = RevisionOn(*deployment, "cuenca-1");
  std::vector<std::pair<std::string, std::vector<std::string>>> commands;
  for (const std::string instance : {"cuenca-1", "guayaquil-1"}) {
    nlohmann::json contract = deployment->contract();
    contract["weight"] = 10 + 2 * round + static_cast<int>(commands.size());
    const std::string file =
        deployment->WriteFile(absl::StrCat("race-", instance, ".json"), contract.dump());
    commands.emplace_back(
        instance, std::vector<std::string>{"contract", "apply",
                                           absl::StrCat("--expected-revision=", base), file});
  }
  const absl::Time started = absl::Now();
  const std::vector<CommandResult> results = deployment->RunCliConcurrently(commands);
  const std::multiset<int> codes = {results[0].code, results[1].code};
  BOOST_TEST((codes == std::multiset<int>{0, kExitConflict}),
             "exit codes " << results[0].code << " and " << results[1].code << ": "
                           << results[0].err << results[1].err);
  const int winner = results[0].code == 0 ? 0 : 1;
  const double weight = 10 + 2 * round + winner;
  for (const std::string& instance : Deployment::InstanceIds()) {
    const bool in_force = WaitUntil(kInForceLimit, [&] {
      const ApiAnswer answer = deployment->Call(instance, "GET", "/v1/contracts/sign-shop");
      return answer.status == 200 && answer.json["contract"].value("weight", 0.0) == weight;
    });
    BOOST_TEST(in_force, "the accepted contract is not in force on " << instance);
  }
  return {RevisionOn(*deployment, "cuenca-1"), started};
}

BOOST_AUTO_TEST_SUITE(ContractRaceTest)

// Guards against two concurrent changes of a contract that are both accepted, and against an
// instance that keeps the old contract or returns to it.
BOOST_AUTO_TEST_CASE(TwoOperators) {
  Deployment deployment;
  std::vector<Change> changes;
  changes.reserve(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    changes.push_back(ApplyConcurrently(&deployment, round));
  }
  const std::vector<Event> events = deployment.Events();
  for (const auto& [revision, started] : changes) {
    const Event* const applied = FindEvent(events, EventCode::kContractApplied, "", revision);
    BOOST_REQUIRE(applied != nullptr);
    for (const std::string& instance : Deployment::InstanceIds()) {
      const Event* const in_force =
          FindEvent(events, EventCode::kContractInForce, instance, revision);
      BOOST_TEST_REQUIRE(in_force != nullptr, "no contract_in_force event from " << instance);
      BOOST_TEST((WallTime(in_force->time) > started),
                 "in force on " << instance << " before the operators' commands");
      BOOST_TEST((WallTime(in_force->time) - started < kInForceLimit));
    }
  }
  for (const Violation& violation : deployment.Check().violations) {
    BOOST_ERROR(violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
