#include "load/cluster_setup.h"

#include <functional>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "adapters/wire_json.h"
#include "load/load_client.h"
#include "load/request_target.h"

namespace pomelotray {
namespace {

constexpr int kStatusOk = 200;
constexpr absl::Duration kReadyTimeout = absl::Seconds(30);
constexpr absl::Duration kPollInterval = absl::Milliseconds(200);
// Exceeds the needs of every load, so that no contract limit affects the measurements.
constexpr int64_t kUnlimited = 1'000'000;
// Long enough to admit all queued jobs: with a deadline of 600 s, most of 1,000 queued jobs of
// unknown run time were refused.
constexpr int64_t kDeadlineMs = int64_t{100} * 24 * 3600 * 1000;

bool WaitFor(const std::function<bool()>& condition) {
  const absl::Time end = absl::Now() + kReadyTimeout;
  while (!condition()) {
    if (absl::Now() >= end) {
      return false;
    }
    absl::SleepFor(kPollInterval);
  }
  return true;
}

nlohmann::json LoadContract(const Deployment& deployment) {
  return {{"customer", kLoadCustomer},
          {"hold",
           {{"cpu_millicores", kUnlimited * 1000},
            {"memory_mib", kUnlimited * 1000},
            {"accelerators", 0},
            {"slots", kUnlimited}}},
          {"rate_per_second", kUnlimited},
          {"burst", kUnlimited},
          {"max_jobs", kUnlimited},
          {"default_deadline_ms", kDeadlineMs},
          {"max_deadline_ms", kDeadlineMs},
          {"allow_requests", true},
          {"kinds", {"batch"}},
          {"pools", {kJobPool, kRequestPool}},
          {"home_domains", deployment.domains}};
}

size_t UsableWorkers(LoadClient* client) {
  const nlohmann::json answer = client->Get("/v1/workers").Json();
  const auto workers = answer.find("workers");
  if (!answer.is_object() || workers == answer.end() || !workers->is_array()) {
    return 0;
  }
  size_t usable = 0;
  for (const nlohmann::json& worker : *workers) {
    // The list also contains executors, which do not run tasks.
    const std::string shard = wire::ReadString(worker, "shard").value_or("");
    const bool runs_tasks = absl::EndsWith(shard, absl::StrCat("/", kJobPool));
    usable += runs_tasks && wire::ReadString(worker, "state") == "usable" ? 1 : 0;
  }
  return usable;
}

}  // namespace

Result<void> PrepareCluster(const Deployment& deployment) {
  for (const InstanceProcess& instance : deployment.instances) {
    LoadClient client(instance.address, deployment.operator_token);
    if (!WaitFor([&client] { return client.Get("/readyz").status == kStatusOk; })) {
      return Fail(ErrorKind::kNotReady,
                  absl::StrCat("Instance ", instance.id, " did not become ready; see its log."));
    }
  }
  LoadClient client(deployment.instances.front().address, deployment.operator_token);
  size_t usable = 0;
  if (!WaitFor([&] { return (usable = UsableWorkers(&client)) == deployment.WorkerCount(); })) {
    return Fail(ErrorKind::kNotReady,
                absl::StrCat(usable, " of ", deployment.WorkerCount(),
                             " workers became usable; see the logs of the instances."));
  }
  if (client.Get(absl::StrCat("/v1/contracts/", kLoadCustomer)).status == kStatusOk) {
    return {};
  }
  const LoadAnswer stored =
      client.Put(absl::StrCat("/v1/contracts/", kLoadCustomer, "?expected_revision=0"),
                 LoadContract(deployment).dump());
  if (stored.status != kStatusOk) {
    return Fail(ErrorKind::kInternal,
                absl::StrCat("The contract of the load test was refused: ", stored.body));
  }
  // Wait until every instance has the contract.
  for (const InstanceProcess& instance : deployment.instances) {
    LoadClient other(instance.address, deployment.operator_token);
    if (!WaitFor([&other] {
          return other.Get(absl::StrCat("/v1/contracts/", kLoadCustomer)).status == kStatusOk;
        })) {
      return Fail(ErrorKind::kNotReady,
                  absl::StrCat("Instance ", instance.id,
                               " did not receive the contract of the load test; see its log."));
    }
  }
  return {};
}

}  // namespace pomelotray
