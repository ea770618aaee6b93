#include "review/world/cases.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr int64_t kReadyMs = 15'000;
constexpr int64_t kSubmitMs = 6000;
constexpr size_t kMaxShownBreaks = 10;

// Writes the breaks of rule TWICE to the record. Returns the result of the case.
int JudgeRunsTwice(Cluster* cluster) {
  const std::vector<std::string> breaks = FindRunsTwice(cluster->record().events());
  cluster->record().Line(std::to_string(breaks.size()) + " breaks of rule TWICE");
  for (const std::string& line : breaks) {
    cluster->record().Line("TWICE: " + line);
  }
  for (size_t i = 0; i < breaks.size() && i < kMaxShownBreaks; ++i) {
    std::cout << "TWICE: " << breaks[i] << "\n";
  }
  return breaks.empty() ? kHeld : kBroken;
}

// Sends a small job every 100 ms.
class Traffic {
 public:
  explicit Traffic(Cluster* cluster)
      : thread_([this, cluster] {
          for (int number = 1000; !stopping_; ++number) {
            cluster->Submit(JobId(number), OneStepJob(1, 500, 256, 300), kSubmitMs);
            SleepMs(100);
          }
        }) {}
  ~Traffic() {
    stopping_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

bool WritesTo(const HttpRequest& request, const std::string& prefix) {
  if (request.path != "/pomelotray/kv-txn") {
    return false;
  }
  const nlohmann::json& writes = request.body.at("writes");
  return std::any_of(writes.begin(), writes.end(), [&prefix](const nlohmann::json& write) {
    return write.at("key").get<std::string>().rfind(prefix, 0) == 0;
  });
}

}  // namespace

int PlayManyEnds(Cluster* cluster, bool trouble) {
  constexpr int kJobs = 60;
  constexpr int kTasks = 12;
  constexpr int64_t kTaskMs = 1500;
  WorkerSettings settings;
  settings.id = "executor-1";
  Worker* const first = cluster->AddWorker(settings);
  settings.id = "executor-2";
  Worker* const second = cluster->AddWorker(settings);
  cluster->Configure(/*max_attempts=*/3);
  cluster->StartInstances(3);
  if (!cluster->WaitUntilReady(kReadyMs)) {
    return kNotRun;
  }
  SleepMs(2000);
  for (int i = 0; i < kJobs; ++i) {
    if (cluster->Submit(JobId(i), OneStepJob(kTasks, 50, 64, kTaskMs), kSubmitMs) != 200) {
      return kNotRun;
    }
  }
  const auto started = [&] { return first->StartCount() + second->StartCount(); };
  WaitFor(kTaskMs - 300, [&] { return started() >= kJobs * kTasks; });
  cluster->record().Line(std::to_string(started()) + " tasks were started");
  if (trouble) {
    cluster->KillInstance(cluster->Owner());
  }
  for (int i = 0; i < kJobs; ++i) {
    cluster->WaitForEnd(JobId(i), 30'000);
  }
  SleepMs(1000);
  return JudgeRunsTwice(cluster);
}

int PlayLastingDone(Cluster* cluster, bool trouble) {
  // RULES.md, LOST: from 6 s after the last run of a task that lasts, for 3 s.
  constexpr int64_t kLostAfterMs = 6000 + 3000;
  constexpr int64_t kTaskMs = 3000;
  constexpr int kTasks = 3;
  WorkerSettings settings;
  std::vector<Worker*> workers;
  for (int i = 1; i <= 3; ++i) {
    settings.id = "executor-" + std::to_string(i);
    workers.push_back(cluster->AddWorker(settings));
  }
  cluster->Configure(/*max_attempts=*/3);
  cluster->StartInstances(3);
  if (!cluster->WaitUntilReady(kReadyMs)) {
    return kNotRun;
  }
  SleepMs(2000);
  nlohmann::json job = OneStepJob(kTasks, 4000, 4096, kTaskMs);
  job["steps"][0]["long-running"] = true;
  // Without the disruption the tasks end as well, but as failed.
  job["spec"] = std::to_string(kTaskMs) + (trouble ? " done" : " failed") + " lasting";
  const std::string id = JobId(1);
  if (cluster->Submit(id, job, kSubmitMs) != 200) {
    return kNotRun;
  }
  const auto count = [&](RunEvent::Kind kind) {
    const std::vector<RunEvent> events = cluster->record().events();
    return std::count_if(events.begin(), events.end(),
                         [kind](const RunEvent& event) { return event.kind == kind; });
  };
  if (!WaitFor(10'000, [&] { return count(RunEvent::Kind::kEnd) >= kTasks; })) {
    cluster->record().Line("the job's tasks did not start or did not end");
    return kNotRun;
  }
  // The job was not cancelled, the workers are empty, and nothing is disturbed.
  const int64_t ended = NowMs();
  const bool again =
      WaitFor(kLostAfterMs, [&] { return count(RunEvent::Kind::kStart) >= 2 * kTasks; });
  cluster->record().Line(again ? "the job's tasks run again" : "nothing of the job runs for 9 s");
  const std::string state = cluster->State(id);
  cluster->record().Line("client: GET " + id + " shows " + state);
  std::cout << (again ? "The tasks ran again after " : "LOST: nothing of the job ran for ")
            << NowMs() - ended << " ms; it is shown as " << state << "\n";
  return again && state == "running" ? kHeld : kBroken;
}

int PlayRosterAnswerLost(Cluster* cluster, bool trouble) {
  // With a share of 0.17 one of six workers is cut off.
  constexpr int kWorkers = 6;
  constexpr int64_t kCutMs = 3000;
  constexpr int64_t kLostAnswersMs = 4500;
  constexpr int64_t kTaskMs = 6000;
  // Between two regions, there and back.
  constexpr int64_t kFarMs = 16;
  WorkerSettings settings;
  std::vector<Worker*> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    settings.id = "executor-" + std::to_string(i);
    workers.push_back(cluster->AddWorker(settings));
  }
  workers.front()->SetAnswerDelay(kFarMs);
  cluster->store().SetAnswerDelay(4);
  cluster->Configure(/*max_attempts=*/3);
  cluster->StartInstances(3);
  if (!cluster->WaitUntilReady(kReadyMs)) {
    return kNotRun;
  }
  SleepMs(3000);
  std::atomic<int> writes{0};
  std::atomic<int> lost{0};
  {
    const Traffic traffic(cluster);
    SleepMs(1000);
    if (trouble) {
      const int64_t until = NowMs() + kLostAnswersMs;
      cluster->record().Line("answers of the store are lost from now on");
      cluster->store().SetFault([&writes, &lost, until](int, const HttpRequest& request) {
        if (request.path != "/pomelotray/kv-txn" || NowMs() >= until) {
          return StoreFault::kNone;
        }
        ++writes;
        if (!WritesTo(request, "pomelotray/roster/")) {
          return StoreFault::kNone;
        }
        ++lost;
        return StoreFault::kAnswerLost;
      });
      workers.front()->SetCutOff(true);
      SleepMs(kCutMs);
      workers.front()->SetCutOff(false);
      SleepMs(until - NowMs());
      cluster->store().SetFault(nullptr);
      cluster->record().Line("the store answers again: " + std::to_string(lost) + " of " +
                             std::to_string(writes) + " writes were not answered");
    }
    SleepMs(1000);
  }
  SleepMs(1000);
  if (cluster->Submit(JobId(1), OneStepJob(4, 31'000, 90'000, kTaskMs), kSubmitMs) != 200) {
    return kNotRun;
  }
  SleepMs(1000);
  if (trouble) {
    cluster->KillInstance(cluster->Owner());
  }
  cluster->WaitForEnd(JobId(1), 30'000);
  SleepMs(1000);
  return JudgeRunsTwice(cluster);
}

int PlayRepeatedCrashes(Cluster* cluster, bool trouble) {
  // With a share of 0.14 one of seven workers crashes at a time.
  constexpr int kWorkers = 7;
  constexpr int kCrashes = 3;
  constexpr int64_t kFirstCrashMs = 2500;
  constexpr int64_t kCrashIntervalMs = 4500;
  constexpr int64_t kDownMs = 2000;
  constexpr int64_t kTaskMs = 6000;
  WorkerSettings settings;
  std::vector<Worker*> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    settings.id = "executor-" + std::to_string(i);
    workers.push_back(cluster->AddWorker(settings));
  }
  cluster->Configure(/*max_attempts=*/4);
  cluster->StartInstances(3);
  if (!cluster->WaitUntilReady(kReadyMs)) {
    return kNotRun;
  }
  SleepMs(2000);
  nlohmann::json job = OneStepJob(1, 31'000, 90'000, kTaskMs);
  job["steps"][0]["gang"] = true;
  job["steps"][0]["gpu"] = 8;
  const std::string id = JobId(1);
  if (cluster->Submit(id, job, kSubmitMs) != 200) {
    return kNotRun;
  }
  const int64_t begin = NowMs();
  for (int i = 0; trouble && i < kCrashes; ++i) {
    SleepMs(std::max<int64_t>(begin + kFirstCrashMs + i * kCrashIntervalMs - NowMs(), 0));
    // Those in groups first (srv_crash, joined).
    Worker* worker = workers.back();
    for (Worker* candidate : workers) {
      worker = candidate->RunsJob(id) ? candidate : worker;
    }
    worker->Crash();
    SleepMs(kDownMs);
    worker->Restart();
  }
  const std::string state = cluster->WaitForEnd(id, 30'000);
  int64_t failed_ends = 0;
  for (const RunEvent& event : cluster->record().events()) {
    failed_ends += event.kind == RunEvent::Kind::kEnd && event.how == "failed" ? 1 : 0;
  }
  std::cout << "The job is shown as " << state << "; " << failed_ends << " runs ended `failed`\n";
  cluster->record().Line(std::to_string(failed_ends) + " runs of the job ended `failed`");
  if (state == "completed") {
    return kHeld;
  }
  return state == "failed" && failed_ends == 0 ? kBroken : kNotRun;
}

int PlaySuspectedLasting(Cluster* cluster, bool trouble) {
  // With a share of 0.1 one of ten workers is lost at a time.
  constexpr int kWorkers = 10;
  constexpr int kLosses = 3;
  constexpr int64_t kRunMs = 2500;
  constexpr int64_t kBatchMs = 60'000;
  // An entry is removed after three heartbeat intervals.
  constexpr int64_t kSilenceMs = 4500;
  // RULES.md, LOST: from 6 s after the last run, after 4 s of calm, for 3 s. Twice as long here.
  constexpr int64_t kLostAfterMs = 26'000;
  WorkerSettings settings;
  std::vector<Worker*> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    settings.id = "executor-" + std::to_string(i);
    workers.push_back(cluster->AddWorker(settings));
  }
  cluster->Configure(/*max_attempts=*/3);
  cluster->StartInstances(3);
  if (!cluster->WaitUntilReady(kReadyMs)) {
    return kNotRun;
  }
  SleepMs(2000);
  // One batch task of 40 cores on each worker leaves 24 of its 64 cores free.
  if (cluster->Submit(JobId(1), OneStepJob(kWorkers, 40'000, 90'000, kBatchMs), kSubmitMs) != 200) {
    return kNotRun;
  }
  SleepMs(1000);
  nlohmann::json job = OneStepJob(1, 4000, 4096, 600'000);
  job["steps"][0]["long-running"] = true;
  job["spec"] = "600000 failed lasting";
  const std::string id = JobId(2);
  if (cluster->Submit(id, job, kSubmitMs) != 200) {
    return kNotRun;
  }
  std::vector<Worker*> left = workers;
  const auto find = [&] {
    return std::find_if(left.begin(), left.end(),
                        [&](const Worker* worker) { return worker->RunsJob(id); });
  };
  const auto runs = [&] { return find() != left.end(); };
  for (int i = 0; i < kLosses; ++i) {
    if (!WaitFor(10'000, runs)) {
      cluster->record().Line("the task that lasts didn't start");
      return kNotRun;
    }
    SleepMs(kRunMs);
    if (trouble) {
      const auto lost = find();
      const std::string lost_id = (*lost)->id();
      (*lost)->Crash();
      left.erase(lost);
      SleepMs(kSilenceMs);
      cluster->store().Remove("servers/" + lost_id);
    }
  }
  const int64_t began = NowMs() - (trouble ? kSilenceMs : 0);
  WaitFor(kLostAfterMs - (NowMs() - began), [&] { return trouble && runs(); });
  const bool running = runs();
  const int64_t waited = NowMs() - began;
  cluster->record().Line(std::string("the task that lasts ") + (running ? "runs" : "does not run") +
                         " " + std::to_string(waited) + " ms later; " +
                         std::to_string(left.size()) + " workers have 24 cores free");
  std::cout << (running ? "The task that lasts runs, " : "LOST: the task that lasts did not run, ")
            << waited << " ms later\n";
  return running ? kHeld : kBroken;
}

int PlaySlowStore(Cluster* cluster, bool trouble) {
  constexpr int kWorkers = 13;
  constexpr int kJobs = 3000;
  constexpr int kSenders = 8;
  // The store takes 4 ms for an answer, and up to 100 times as long while it is slow.
  constexpr int64_t kUsualMs = 4;
  constexpr int64_t kFirstSlowMs = 391;
  constexpr int64_t kLastSlowMs = 395;
  constexpr int64_t kSlowForMs = 3100;
  constexpr int64_t kBetweenMs = 500;
  constexpr int64_t kEndMs = 105'000;
  WorkerSettings settings;
  std::vector<Worker*> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    settings.id = "executor-" + std::to_string(i);
    workers.push_back(cluster->AddWorker(settings));
  }
  cluster->store().SetAnswerDelay(kUsualMs);
  cluster->Configure(/*max_attempts=*/3);
  cluster->StartInstances(3);
  if (!cluster->WaitUntilReady(kReadyMs)) {
    return kNotRun;
  }
  SleepMs(2000);
  // A burst of jobs that need a whole worker each. Most of them wait.
  std::vector<std::thread> senders;
  senders.reserve(kSenders);
  for (int sender = 0; sender < kSenders; ++sender) {
    senders.emplace_back([cluster, sender] {
      for (int i = sender; i < kJobs; i += kSenders) {
        cluster->Submit(JobId(i), OneStepJob(1, 60'000, 200'000, 3000 + 61 * (i % 40)), kSubmitMs);
      }
    });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  const auto ended = [cluster] { return cluster->CountOwnEnds() > 0; };
  int64_t slow = kFirstSlowMs;
  while (NowMs() < kEndMs && !ended()) {
    if (trouble) {
      cluster->record().Line("the store takes " + std::to_string(slow) + " ms from now on");
      cluster->store().SetAnswerDelay(slow);
      slow = slow == kLastSlowMs ? kFirstSlowMs : slow + 1;
    }
    WaitFor(kSlowForMs, ended);
    cluster->store().SetAnswerDelay(kUsualMs);
    WaitFor(kBetweenMs, ended);
  }
  const int count = cluster->CountOwnEnds();
  int64_t started = 0;
  for (const Worker* worker : workers) {
    started += worker->StartCount();
  }
  cluster->record().Line(std::to_string(started) + " tasks were started");
  std::cout << count << " instances have ended by themselves within " << NowMs() / 1000 << " s\n";
  if (started == 0) {
    return kNotRun;
  }
  return count > 0 ? kBroken : kHeld;
}

}  // namespace review
