#include "tests/soak/long_running_soak.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr char kShortPrefix[] = "/jobs/";
constexpr char kLongRunningPrefix[] = "/services/";
constexpr absl::Duration kStartDelay = absl::Seconds(4);
constexpr absl::Duration kMaxStartTime = absl::Seconds(20);
constexpr absl::Duration kFaultInterval = absl::Milliseconds(2500);
constexpr absl::Duration kCheckInterval = absl::Milliseconds(20);
// Three missed heartbeats, after which the entry of a worker is removed.
constexpr absl::Duration kEntryLifetime = absl::Milliseconds(4500);
// A gap is a violation if it is longer than kMaxGap and a worker could have taken the task for this
// time, ...
constexpr absl::Duration kMinCapacityTime = absl::Seconds(3);
// ... and either at most one takeover and no fault of the store fell into the gap, or there has
// been no fault for this time.
constexpr absl::Duration kCalmTime = absl::Seconds(7);
// Every worker is back by then, its lease has run out, and each task has started again.
constexpr absl::Duration kRecoveryTime = absl::Seconds(20);
// The lease of a worker that is lost right after a start is over 6.5 s later.
constexpr absl::Duration kShortlyBeforeLeaseEnd = absl::Milliseconds(6200);
// Longer than kMaxGap after the faults of the runs with a single loss.
constexpr absl::Duration kWatchTime = absl::Seconds(10);

std::string Configuration() {
  json route = {{"name", "short"},        {"host", kSoakHost},
                {"prefix", kShortPrefix}, {"service", "work"},
                {"priority", 1},          {"max-attempts", 4},
                {"stretch", 3.0},         {"target-latency-ms", 1000}};
  json lasting = route;
  lasting["name"] = "lasting";
  lasting["prefix"] = kLongRunningPrefix;
  lasting["advice"] = {{"decide-ms", absl::ToInt64Milliseconds(AdviserStandin::kDecisionTime)},
                       {"each-ms", absl::ToInt64Milliseconds(AdviserStandin::kTimePerWorker)},
                       {"valid-ms", absl::ToInt64Milliseconds(AdviserStandin::kTicketValidity)}};
  return json{{"version", 7}, {"routes", {route, lasting}}, {"services", {{{"name", "work"}}}}}
      .dump();
}

std::string StepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

}  // namespace

LongRunningSoak::LongRunningSoak(int seed, Limits limits)
    : seed_(seed),
      limits_(limits),
      random_(static_cast<unsigned>(seed)),
      instances_(limits.instances, store_.address(), adviser_.address(), &history_) {
  store_.Put("op/config", Configuration());
  for (int i = 0; i < limits_.workers; ++i) {
    workers_.push_back(std::make_unique<WorkerStandin>(absl::StrCat("w-", i), limits_.worker_cpu,
                                                       &history_, &gangs_));
    Publish(i);
  }
}

LongRunningSoak::~LongRunningSoak() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void LongRunningSoak::Publish(int worker) {
  store_.Put(absl::StrCat("servers/w-", worker), workers_[worker]->Entry());
}

void LongRunningSoak::SubmitLongRunningJob(int job) {
  const std::string id =
      absl::StrCat(absl::Hex(seed_, absl::kZeroPad8), absl::Hex(job, absl::kZeroPad8));
  const json step = {{"count", limits_.tasks_per_job},
                     {"cpu", 1000},
                     {"mem-mb", 10},
                     {"estimate-ms", 400},
                     {"long-running", true}};
  caller_.Submit(kLongRunningPrefix, id, LongRunningPayload(id), json::array({step}), &random_);
}

bool LongRunningSoak::Begin() {
  absl::SleepFor(kStartDelay);
  for (int job = 0; job < limits_.long_running_jobs; ++job) {
    SubmitLongRunningJob(job);
  }
  const int tasks = limits_.long_running_jobs * limits_.tasks_per_job;
  const absl::Time end = absl::Now() + kMaxStartTime;
  while (history_.CountLongRunningTasks() < tasks && absl::Now() < end) {
    absl::SleepFor(kCheckInterval);
  }
  if (history_.CountLongRunningTasks() < tasks) {
    history_.AddViolation("not all long-running tasks have started");
    return false;
  }
  threads_.emplace_back([this] { CheckLoop(); });
  if (limits_.short_jobs) {
    threads_.emplace_back([this] { CallerLoop(); });
  }
  return true;
}

void LongRunningSoak::Continue(absl::Duration time) {
  const absl::Time end = absl::Now() + time;
  while (absl::Now() < end) {
    absl::SleepFor(kCheckInterval);
    EndFaults(/*all=*/false);
  }
}

std::vector<std::string> LongRunningSoak::End() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  return history_.violations();
}

void LongRunningSoak::CallerLoop() {
  std::mt19937 random(static_cast<unsigned>(seed_ + 1));
  for (int number = 0; !stopping_; ++number) {
    const std::string id = absl::StrCat(absl::Hex(seed_ + 1'000'000, absl::kZeroPad8),
                                        absl::Hex(number, absl::kZeroPad8));
    if (HasCrashingTask(id)) {
      continue;
    }
    const json step = {{"count", 1 + RandomBelow(&random, 4)},
                       {"cpu", 1000},
                       {"mem-mb", 10},
                       {"estimate-ms", 300}};
    caller_.Submit(kShortPrefix, id, "payload of " + id, json::array({step}), &random);
    absl::SleepFor(absl::Milliseconds(100 + RandomBelow(&random, 200)));
  }
}

void LongRunningSoak::CheckLoop() {
  while (!stopping_) {
    absl::SleepFor(kCheckInterval);
    std::map<std::string, absl::Time> could_run;
    const absl::Time now = absl::Now();
    for (const StoppedTask& stopped : history_.StoppedLongRunningTasks()) {
      if (CouldRunSomewhere(StepOf(stopped.task))) {
        const auto since = could_run_since_.find(stopped.task);
        could_run[stopped.task] = since == could_run_since_.end() ? now : since->second;
      }
    }
    could_run_since_ = std::move(could_run);
    for (const StoppedTask& stopped : history_.StoppedLongRunningTasks()) {
      CheckGap(stopped, now);
    }
  }
}

void LongRunningSoak::CheckGap(const StoppedTask& stopped, absl::Time now) {
  const auto since = could_run_since_.find(stopped.task);
  if (now - stopped.last_run_ended <= kMaxGap || since == could_run_since_.end() ||
      now - since->second <= kMinCapacityTime ||
      reported_[stopped.task] == stopped.last_run_ended) {
    return;
  }
  int64_t takeovers = 0;
  bool calm = false;
  bool store_fault = false;
  {
    absl::MutexLock lock(&mutex_);
    takeovers = std::count_if(
        instance_faults_.begin(), instance_faults_.end(),
        [&stopped](absl::Time fault) { return fault >= stopped.last_run_ended - kCalmTime; });
    calm = now - last_fault_ > kCalmTime;
    store_fault = last_store_fault_ >= stopped.last_run_ended - kCalmTime;
  }
  if (calm || (takeovers <= 1 && !store_fault)) {
    reported_[stopped.task] = stopped.last_run_ended;
    history_.AddViolation(absl::StrCat(
        stopped.task, " has had no run since ", absl::FormatTime(stopped.last_run_ended),
        " although a worker could take it; instance faults since then: ", takeovers));
  }
}

bool LongRunningSoak::CouldRunSomewhere(const std::string& step) const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [&step](const auto& worker) { return worker->CouldRun(step); });
}

void LongRunningSoak::NoteInstanceFault() {
  absl::MutexLock lock(&mutex_);
  instance_faults_.push_back(absl::Now());
  last_fault_ = absl::Now();
}

std::optional<int> LongRunningSoak::Owner() {
  return instances_.FindOwner(store_.Get("pomelotray/control/claims/work.0.1"));
}

std::optional<int> LongRunningSoak::FindWorkerOf(const std::string& task) const {
  for (size_t i = 0; i < workers_.size(); ++i) {
    if (workers_[i]->Runs(task)) {
      return static_cast<int>(i);
    }
  }
  return std::nullopt;
}

void LongRunningSoak::LoseWorker(int worker) {
  // Another fault may have ended it before.
  if (!workers_[worker]->IsUp()) {
    return;
  }
  workers_[worker]->Lose();
  due_.emplace(absl::Now() + kEntryLifetime, [this, worker] {
    if (!workers_[worker]->IsUp()) {
      store_.Remove(absl::StrCat("servers/w-", worker));
    }
  });
  absl::MutexLock lock(&mutex_);
  last_fault_ = absl::Now();
}

void LongRunningSoak::InjectWorkerFault() {
  const int index = RandomBelow(&random_, limits_.workers);
  WorkerStandin& worker = *workers_[index];
  const int kind = RandomBelow(&random_, 4);
  const absl::Duration away = absl::Milliseconds(7000 + RandomBelow(&random_, 12'000));
  const bool other_address = RandomBelow(&random_, 2) == 0;
  if (!worker.IsUp()) {
    return;
  }
  const auto come_back = [this, index, other_address] {
    if (!workers_[index]->IsUp()) {
      workers_[index]->ComeBack(other_address);
      Publish(index);
    }
  };
  {
    absl::MutexLock lock(&mutex_);
    last_fault_ = absl::Now();
  }
  if (kind == 0) {
    worker.CutOff(away / 2);
  } else if (kind == 1) {
    worker.SetDraining(true);
    Publish(index);
    due_.emplace(absl::Now() + away / 3, [this, index] { LoseWorker(index); });
    due_.emplace(absl::Now() + away / 3 + away, come_back);
  } else {
    LoseWorker(index);
    due_.emplace(absl::Now() + away, come_back);
  }
}

void LongRunningSoak::InjectInstanceFault(int index) {
  if (!instances_.IsUp(index)) {
    return;
  }
  NoteInstanceFault();
  const int kind = RandomBelow(&random_, 3);
  if (kind == 0) {
    instances_.Kill(index, absl::Milliseconds(200 + RandomBelow(&random_, 3000)));
  } else if (kind == 1) {
    instances_.Pause(index, absl::Milliseconds(300 + RandomBelow(&random_, 4000)));
  } else {
    instances_.Terminate(index);
  }
}

void LongRunningSoak::InjectStoreFault() {
  const int kind = RandomBelow(&random_, 3);
  store_fault_until_ = absl::Now() + absl::Milliseconds(300 + RandomBelow(&random_, 3000));
  {
    absl::MutexLock lock(&mutex_);
    last_store_fault_ = store_fault_until_;
    last_fault_ = store_fault_until_;
  }
  if (kind == 0) {
    store_.SetDown(true);
  } else if (kind == 1) {
    store_.SetDelay(absl::Milliseconds(50 + RandomBelow(&random_, 200)));
  } else {
    store_.SetLostAnswerRatio(0.34);
  }
}

void LongRunningSoak::InjectFault() {
  const int kind = RandomBelow(&random_, 8);
  if (kind == 0) {
    InjectStoreFault();
  } else if (kind <= 2) {
    InjectInstanceFault(Owner().value_or(0));
  } else if (kind == 3) {
    // A worker and, some time later, the owner.
    LoseWorker(RandomBelow(&random_, limits_.workers));
    due_.emplace(absl::Now() + absl::Milliseconds(RandomBelow(&random_, 6000)),
                 [this] { InjectInstanceFault(Owner().value_or(0)); });
  } else {
    InjectWorkerFault();
  }
}

void LongRunningSoak::EndFaults(bool all) {
  const absl::Time now = absl::Now();
  if (all || store_fault_until_ < now) {
    store_.SetDown(false);
    store_.SetDelay(absl::ZeroDuration());
    store_.SetLostAnswerRatio(0);
  }
  while (!due_.empty() && due_.begin()->first <= now) {
    const std::function<void()> action = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    action();
  }
  instances_.EndFaults(all);
}

std::vector<std::string> LongRunningSoak::Run() {
  if (!Begin()) {
    return End();
  }
  const absl::Time end = absl::Now() + limits_.fault_duration;
  while (absl::Now() < end) {
    InjectFault();
    Continue(kFaultInterval * (1 + RandomBelow(&random_, 2)) / 2);
  }
  EndFaults(/*all=*/true);
  Continue(kRecoveryTime);
  return End();
}

std::vector<std::string> LongRunningSoak::RunLossBesideSilentWorker() {
  if (!Begin()) {
    return End();
  }
  const std::string task = history_.LongRunningTasks().front();
  const int lost = *FindWorkerOf(task);
  // Among the workers with room the owner prefers the one with the least capacity.
  int silent = 0;
  while (silent == lost || !workers_[silent]->CouldRun(StepOf(task))) {
    ++silent;
  }
  workers_[silent]->SetCpu(limits_.worker_cpu / 2, absl::InfiniteFuture());
  Publish(silent);
  LoseWorker(lost);
  Continue(kShortlyBeforeLeaseEnd);
  workers_[silent]->CutOff(kRecoveryTime);
  Continue(kWatchTime);
  return End();
}

std::vector<std::string> LongRunningSoak::RunLossBeforeTakeovers(
    const std::vector<absl::Duration>& kills) {
  if (!Begin()) {
    return End();
  }
  LoseWorker(*FindWorkerOf(history_.LongRunningTasks().front()));
  absl::Duration passed;
  for (const absl::Duration kill : kills) {
    Continue(kill - passed);
    passed = kill;
    const std::optional<int> owner = Owner();
    if (owner.has_value() && instances_.IsUp(*owner)) {
      NoteInstanceFault();
      instances_.Kill(*owner, absl::Seconds(4));
    } else {
      history_.AddViolation("the pool has no owner to kill");
    }
  }
  Continue(kWatchTime);
  return End();
}

std::vector<std::string> LongRunningSoak::RunReturnAtOtherAddress() {
  if (!Begin()) {
    return End();
  }
  const std::string step = StepOf(history_.LongRunningTasks().front());
  int returning = 0;
  while (!workers_[returning]->CouldRun(step)) {
    ++returning;
  }
  for (int i = 0; i < limits_.workers; ++i) {
    LoseWorker(i);
  }
  workers_[returning]->ComeBack(/*at_other_address=*/true);
  Publish(returning);
  Continue(kWatchTime);
  return End();
}

}  // namespace pomelotray
