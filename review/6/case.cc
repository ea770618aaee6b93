// A machine is stopped for good while it takes over the parts of another one that was stopped
// before.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <string>
#include <vector>

#include "review/world-2/deployment.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int kServices = 6;
// 50 times the ordinary 4 ms.
constexpr int kSlowAnswerMs = 200;
constexpr int kSlowForMs = 4000;
// Pause between the two stops.
constexpr int kGapMs = 400;
constexpr int kGraceMs = 6000;
constexpr int kFinishMs = 14'000;
constexpr int kIdleMs = 3000;

std::string Queue(int number) { return "queue" + std::to_string(number); }

std::string JobId(int number, int service) {
  return "00000000000000" + std::to_string(number) + std::to_string(service);
}

// Hands in one job for each service. Returns false if one was not accepted.
bool SubmitToAll(Deployment* deployment, const std::vector<const Instance*>& instances,
                 int number) {
  bool accepted = true;
  for (int service = 0; service < kServices; ++service) {
    const Answer answer = deployment->Submit(instances, Queue(service), JobId(number, service),
                                             SimpleJob(1, 1000, 200));
    accepted = accepted && answer.status == 200;
  }
  return accepted;
}

// Number of jobs that have never begun.
int CountIdle(const Deployment& deployment, int number) {
  int idle = 0;
  for (int service = 0; service < kServices; ++service) {
    idle += deployment.runs().StartsOf(JobId(number, service)) == 0 ? 1 : 0;
  }
  return idle;
}

bool WaitUntilBegun(const Deployment& deployment, int number, int ms) {
  for (int waited = 0; waited < ms && CountIdle(deployment, number) > 0; waited += 50) {
    SleepMs(50);
  }
  return CountIdle(deployment, number) == 0;
}

int Run(const std::string& folder, Record* record) {
  Deployment deployment(folder, record);
  if (!deployment.StartStore()) {
    return kCouldNotRun;
  }
  std::vector<review::Queue> queues;
  for (int service = 0; service < kServices; ++service) {
    const std::string name = "service" + std::to_string(service);
    queues.push_back({Queue(service), name, 1});
    for (int i = 0; i < 2; ++i) {
      if (deployment.AddWorker({name + "-" + std::to_string(i), name, {"a", "r1-1"}, 16000}) ==
          nullptr) {
        return kCouldNotRun;
      }
    }
  }
  deployment.Configure(queues);
  Instance* const first = deployment.AddInstance("front-1");
  if (first == nullptr || !deployment.WaitUntilReady(*first, 10'000)) {
    return kCouldNotRun;
  }
  SleepMs(2000);
  if (!SubmitToAll(&deployment, {first}, 1) || !WaitUntilBegun(deployment, 1, 10'000)) {
    return kCouldNotRun;
  }
  Instance* const second = deployment.AddInstance("front-2");
  if (second == nullptr || !deployment.WaitUntilReady(*second, 10'000)) {
    return kCouldNotRun;
  }
  SleepMs(2000);
  if (!SubmitToAll(&deployment, {first, second}, 2) || !WaitUntilBegun(deployment, 2, 10'000)) {
    return kCouldNotRun;
  }
  SleepMs(1000);
  if (HasTrouble()) {
    record->Line("store: answers take " + std::to_string(kSlowAnswerMs) + " ms");
    deployment.store()->SetDelay(kSlowAnswerMs);
  }
  const int64_t slow_since = record->NowMs();
  SleepMs(500);
  // Both machines are taken away, one after the other, and new ones take their place.
  first->Signal(SIGTERM);
  SleepMs(kGapMs);
  second->Signal(SIGTERM);
  for (Instance* instance : {first, second}) {
    // The platform's stop: SIGKILL after the grace period.
    if (!instance->WaitForEnd(kGraceMs)) {
      instance->Signal(SIGKILL);
      instance->WaitForEnd(1000);
    }
  }
  SleepMs(std::max<int64_t>(0, slow_since + kSlowForMs - record->NowMs()));
  record->Line("store: answers are as quick as before");
  deployment.store()->SetDelay(0);
  Instance* const third = deployment.AddInstance("front-3");
  Instance* const fourth = deployment.AddInstance("front-4");
  if (third == nullptr || fourth == nullptr || !deployment.WaitUntilReady(*third, 10'000) ||
      !deployment.WaitUntilReady(*fourth, 10'000)) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  if (!SubmitToAll(&deployment, {third, fourth}, 3)) {
    return kCouldNotRun;
  }
  WaitUntilBegun(deployment, 3, kFinishMs + kIdleMs);
  for (int service = 0; service < kServices; ++service) {
    deployment.Ask(*third, Queue(service), JobId(3, service));
  }
  for (const std::string& key : deployment.store()->Keys("pomelotray/control/")) {
    record->Line("store: holds " + key + ": " + deployment.store()->Get(key).value_or(""));
  }
  const int idle = CountIdle(deployment, 3);
  record->Line("accepted jobs that nothing has begun after 17 s in an empty pool: " +
               std::to_string(idle));
  return idle == 0 ? kHeld : kBroken;
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
