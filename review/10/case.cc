// An executor loses power, and the machine that owns its pool loses power one second later. A task
// that lasts was at work on that executor.

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

#include "review/world-2/deployment.h"

namespace review {
namespace {

constexpr int kWorkers = 7;
constexpr int kInstances = 3;
constexpr int64_t kCpu = 16000;
// Time from the loss of the executor to that of the machine, and how long that is down.
constexpr int kKillAfterMs = 1000;
constexpr int kDownMs = 3500;
// The rule: 6 s from the end of the last run, then 3 s, which with the 4 s before them are calm.
constexpr int kAfterRunMs = 6000;
constexpr int kIdleMs = 3000;
constexpr int kCalmBeforeMs = 4000;
constexpr int kPatienceMs = 16'000;
constexpr char kJob[] = "00000000000000e0";
constexpr char kClaim[] = "pomelotray/control/claims/desk.0.1";

int Run(const std::string& folder, Record* record) {
  Deployment deployment(folder, record);
  if (!deployment.StartStore()) {
    return kCouldNotRun;
  }
  std::vector<Worker*> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(
        deployment.AddWorker({"worker-" + std::to_string(i), "desk", {"a", "r1-1"}, kCpu}));
    if (workers.back() == nullptr) {
      return kCouldNotRun;
    }
  }
  deployment.Configure({{"watch", "desk", 1}});
  std::vector<Instance*> instances;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(deployment.AddInstance("front-" + std::to_string(i)));
    if (instances.back() == nullptr) {
      return kCouldNotRun;
    }
  }
  for (const Instance* instance : instances) {
    if (!deployment.WaitUntilReady(*instance, 10'000)) {
      return kCouldNotRun;
    }
  }
  SleepMs(2000);
  nlohmann::json job = SimpleJob(1, 1000, 400);
  job["spec"] = "lasts";
  job["steps"][0]["long-running"] = true;
  if (deployment.Submit({instances[0], instances[1]}, "watch", kJob, job).status != 200) {
    return kCouldNotRun;
  }
  SleepMs(4000);
  const std::vector<StartedRun> before = deployment.runs().All();
  const std::string claim = deployment.store()->Get(kClaim).value_or("{}");
  const std::string owner_name = nlohmann::json::parse(claim).value("instance", "");
  const auto owner = std::find_if(
      instances.begin(), instances.end(),
      [&owner_name](const Instance* instance) { return instance->name() == owner_name; });
  if (before.size() != 1 || before[0].ended_ms >= 0 || owner == instances.end()) {
    return kCouldNotRun;
  }
  const int64_t lost_at = record->NowMs();
  int64_t harmed_until = lost_at;
  if (HasTrouble()) {
    for (Worker* worker : workers) {
      if (worker->id() == before[0].worker) {
        worker->GoDark();
      }
    }
    SleepMs(kKillAfterMs);
    (*owner)->Signal(SIGKILL);
    (*owner)->WaitForEnd(1000);
    harmed_until = record->NowMs();
  }
  int64_t restarted_at = -1;
  bool owner_is_back = !HasTrouble();
  while (restarted_at < 0 && record->NowMs() < lost_at + kPatienceMs) {
    const std::vector<StartedRun> runs = deployment.runs().All();
    const auto running = std::find_if(runs.begin(), runs.end(),
                                      [](const StartedRun& run) { return run.ended_ms < 0; });
    restarted_at = running == runs.end() ? -1 : running->started_ms;
    if (!owner_is_back && record->NowMs() >= harmed_until + kDownMs) {
      owner_is_back = true;
      (*owner)->Start();
    }
    SleepMs(10);
  }
  const int64_t idle_until = restarted_at < 0 ? record->NowMs() : restarted_at;
  const int64_t counted_from = std::max(lost_at + kAfterRunMs, harmed_until + kCalmBeforeMs);
  const int64_t counted = std::max<int64_t>(0, idle_until - counted_from);
  deployment.Ask(*instances[owner == instances.begin() ? 1 : 0], "watch", kJob);
  record->Line("nothing of the task for " +
               std::to_string(std::max<int64_t>(0, idle_until - lost_at)) + " ms, of which count " +
               std::to_string(counted) + " ms; six executors are empty");
  return counted > kIdleMs ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kCouldNotRun;
  }
  review::Record record(argv[2]);
  return review::Run(argv[1], &record);
}
