// An executor loses power as jobs are started on it, while the others are busy.

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "review/world-2/deployment.h"

namespace review {
namespace {

constexpr int kWorkers = 7;
constexpr int kJobs = 4;
constexpr int kBusyMs = 16'000;
// visible_ms and 2 s, and 2 s that a count may be old.
constexpr int kCountedAfterMs = 7000;
constexpr char kBusyJob[] = "00000000000000b0";

std::string JobId(int number) { return "00000000000000c" + std::to_string(number); }

int Run(const std::string& folder, Record* record) {
  Deployment deployment(folder, record);
  if (!deployment.StartStore()) {
    return kCouldNotRun;
  }
  std::vector<Worker*> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(
        deployment.AddWorker({"worker-" + std::to_string(i), "desk", {"a", "r1-1"}, 16000}));
    if (workers.back() == nullptr) {
      return kCouldNotRun;
    }
  }
  deployment.Configure({{"sheets", "desk", 1}, {"tags", "desk", 1}});
  Instance* const first = deployment.AddInstance("front-1");
  Instance* const second = deployment.AddInstance("front-2");
  if (first == nullptr || second == nullptr || !deployment.WaitUntilReady(*first, 10'000) ||
      !deployment.WaitUntilReady(*second, 10'000)) {
    return kCouldNotRun;
  }
  SleepMs(2000);
  // All executors but one are full.
  if (deployment.Submit({first}, "sheets", kBusyJob, SimpleJob(kWorkers - 1, 16000, kBusyMs))
          .status != 200) {
    return kCouldNotRun;
  }
  SleepMs(1500);
  const std::vector<StartedRun> busy = deployment.runs().All();
  if (busy.size() != kWorkers - 1) {
    return kCouldNotRun;
  }
  const auto free = std::find_if(workers.begin(), workers.end(), [&busy](const Worker* worker) {
    return std::none_of(busy.begin(), busy.end(),
                        [worker](const StartedRun& run) { return run.worker == worker->id(); });
  });
  if (HasTrouble()) {
    (*free)->GoDark();
  }
  for (int i = 0; i < kJobs; ++i) {
    if (deployment.Submit({first, second}, "tags", JobId(i), SimpleJob(1, 2000, 500)).status !=
        200) {
      return kCouldNotRun;
    }
  }
  SleepMs(kCountedAfterMs);
  int not_begun = 0;
  for (int i = 0; i < kJobs; ++i) {
    not_begun += deployment.runs().StartsOf(JobId(i)) == 0 ? 1 : 0;
    deployment.Ask(*first, "tags", JobId(i));
  }
  bool broken = false;
  for (const Instance* instance : {first, second}) {
    const Answer answer = instance->Call("GET", "/tags/", "");
    if (answer.status != 200) {
      continue;
    }
    const int64_t pending = nlohmann::json::parse(answer.body).at("pending").get<int64_t>();
    record->Line("jobs without a start: " + std::to_string(not_begun) +
                 ", pending: " + std::to_string(pending));
    broken = broken || pending * 2 < not_begun;
  }
  return broken ? kBroken : kHeld;
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
