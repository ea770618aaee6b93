#include "tests/soak/soak_run.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "cell/membership/pool_part.h"
#include "cell/records/cell_keys.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr int64_t kWorkerCpu = 4000;
constexpr absl::Duration kStartDelay = absl::Seconds(4);
constexpr absl::Duration kFaultInterval = absl::Milliseconds(700);
// How long callers wait that cancel a job without an answer, and until they try again.
constexpr absl::Duration kCallerWait = absl::Milliseconds(700);
constexpr absl::Duration kRetryPause = absl::Milliseconds(300);
// One job out of this many is a gang.
constexpr uint64_t kGangInterval = 3;
// Longer than a gang runs and an owner waits for the store before it sends its next hold.
constexpr absl::Duration kGangOutage = absl::Seconds(2);
// By then the owner no longer waits for the answer to a start, which it does for 0.5 s.
constexpr absl::Duration kStopAfterStart = absl::Milliseconds(900);
// The cut lasts longer than the takeover that follows, and the task longer than the cut.
constexpr absl::Duration kCutOff = absl::Seconds(3);
constexpr absl::Duration kLongTask = absl::Seconds(5);
// By then an instance that reaches the store has learned of a worker's capacity: the time in which
// it has to notice changes, and one interval in which the worker publishes it.
constexpr absl::Duration kCapacityNotice = absl::Milliseconds(4500);

std::string PoolOf(int number) { return absl::StrCat("work", number); }
std::string Prefix(int pool) { return absl::StrCat("/jobs", pool, "/"); }

// `shift` says by how many pools each queue's route is moved.
std::string Configuration(int pools, int64_t version, int shift) {
  json routes = json::array();
  json services = json::array();
  for (int pool = 0; pool < pools; ++pool) {
    routes.push_back({{"name", absl::StrCat("r", pool)},
                      {"host", kSoakHost},
                      {"prefix", Prefix(pool)},
                      {"service", PoolOf((pool + shift) % pools)},
                      {"priority", 1},
                      {"max-attempts", 4},
                      {"stretch", 3.0},
                      {"target-latency-ms", 1000}});
    services.push_back({{"name", PoolOf(pool)}});
  }
  return json{
      {"version", version}, {"routes", std::move(routes)}, {"services", std::move(services)}}
      .dump();
}

// Depends on a hash of the id, so that the sequence of random numbers stays that of the versions
// without gangs.
bool IsGangJob(const std::string& id) {
  return StableHash("gang" + id) % kGangInterval == 0 && !HasCrashingTask(id);
}

}  // namespace

SoakRun::SoakRun(int seed, Limits limits)
    : seed_(seed),
      limits_(limits),
      random_(static_cast<unsigned>(seed)),
      instances_(limits.instances, store_.address(), /*adviser_address=*/"", &history_) {
  if (limits_.stop_series) {
    // An instance of an earlier version left a claim without a lease.
    const PartName part(absl::StrCat(PoolOf(0), ".0.1"));
    store_.Put(cell_keys::Claim(part),
               R"({"instance":"gone","peer_address":"gone:1","incarnation":"old","term":4})");
    store_.Put(cell_keys::Term(part), "4");
  }
  store_.Put("op/config", Configuration(limits_.pools, version_, 0));
  for (int i = 0; i < limits_.workers; ++i) {
    workers_.push_back(std::make_unique<WorkerStandin>(absl::StrCat("w-", i), kWorkerCpu, &history_,
                                                       &gangs_, PoolOf(i % limits_.pools)));
    workers_.back()->RefuseStarts(limits_.refusal_interval);
    store_.Put(absl::StrCat("servers/w-", i), workers_.back()->Entry());
  }
}

SoakRun::~SoakRun() {
  stopping_ = true;
  for (std::thread& caller : callers_) {
    if (caller.joinable()) {
      caller.join();
    }
  }
}

void SoakRun::InjectInstanceFault() {
  const int index = RandomBelow(&random_, limits_.instances);
  if (!instances_.IsUp(index)) {
    return;
  }
  const int kind = RandomBelow(&random_, 3);
  if (kind == 0) {
    instances_.Kill(index, absl::Milliseconds(200 + RandomBelow(&random_, 3000)));
  } else if (kind == 1) {
    instances_.Pause(index, absl::Milliseconds(300 + RandomBelow(&random_, 4000)));
  } else {
    instances_.Terminate(index);
  }
}

void SoakRun::StopInSeries() {
  const bool slow = RandomBelow(&random_, 4) > 0;
  store_.SetDelay(absl::Milliseconds(slow ? 100 + RandomBelow(&random_, 200) : 0));
  store_fault_until_ = absl::Now() + absl::Milliseconds(1500 + RandomBelow(&random_, 3000));
  if (limits_.moving_routes) {
    MoveRoutes();
    store_.SetLateWriteRatio(RandomBelow(&random_, 2) == 0 ? 0.25 : 0);
  }
  const int first = RandomBelow(&random_, limits_.instances);
  const int stops = 1 + RandomBelow(&random_, limits_.instances + 1);
  for (int i = 0; i < stops; ++i) {
    const int index = (first + i) % limits_.instances;
    if (instances_.IsUp(index)) {
      instances_.BeginStop(index);
    }
    absl::SleepFor(absl::Milliseconds(RandomBelow(&random_, 700)));
    EndFaults(/*all=*/false);
  }
}

void SoakRun::MoveRoutes() {
  store_.Put("op/config",
             Configuration(limits_.pools, ++version_, RandomBelow(&random_, limits_.pools)));
}

void SoakRun::InjectStoreFault() {
  switch (RandomBelow(&random_, 4)) {
    case 0:
      store_.SetDown(true);
      break;
    case 1:
      store_.SetDelay(absl::Milliseconds(50 + RandomBelow(&random_, 200)));
      break;
    case 2:
      store_.SetLostAnswerRatio(0.34);
      break;
    default:
      store_.ExpireAllLeases();
      break;
  }
  store_fault_until_ = absl::Now() + absl::Milliseconds(300 + RandomBelow(&random_, 4000));
  for (const std::unique_ptr<WorkerStandin>& worker : workers_) {
    worker->PostponeLowerCpu(store_fault_until_ + kCapacityNotice);
  }
}

void SoakRun::ChangeCapacity(int worker) {
  // Workers publish their capacity in the store.
  if (absl::Now() < store_fault_until_) {
    return;
  }
  const int64_t cpu = kWorkerCpu / 4 * (1 + RandomBelow(&random_, 4));
  workers_[worker]->SetCpu(cpu, absl::Now() + kCapacityNotice);
  store_.Put(absl::StrCat("servers/w-", worker), workers_[worker]->Entry());
}

void SoakRun::InjectFault() {
  const int index = RandomBelow(&random_, limits_.workers);
  WorkerStandin& worker = *workers_[index];
  switch (RandomBelow(&random_, 6)) {
    case 0:
      worker.Restart();
      break;
    case 1:
      worker.DelayAnswers(absl::Milliseconds(200 + RandomBelow(&random_, 3000)));
      break;
    case 2:
      InjectStoreFault();
      break;
    case 3:
      ChangeCapacity(index);
      break;
    default:
      InjectInstanceFault();
      break;
  }
}

void SoakRun::EndFaults(bool all) {
  if (all || store_fault_until_ < absl::Now()) {
    store_.SetDown(false);
    store_.SetDelay(absl::ZeroDuration());
    store_.SetLostAnswerRatio(0);
    store_.SetLateWriteRatio(0);
  }
  instances_.EndFaults(all);
}

void SoakRun::SubmitJob(const std::string& id, std::mt19937* random) {
  json first = {
      {"count", 1 + RandomBelow(random, 4)}, {"cpu", 1000}, {"mem-mb", 10}, {"estimate-ms", 300}};
  if (IsGangJob(id)) {
    first["gang"] = true;
    first["checkpoints"] = true;
    for (const char* step : {".0.0", ".0.1"}) {
      gangs_.Add(id + step, first["count"].get<int>());
    }
  }
  json steps = json::array({first});
  if (RandomBelow(random, 3) == 0) {
    first["after"] = {0};
    steps.push_back(first);
  }
  Submit(id, steps, random);
}

std::string SoakRun::PrefixOf(const std::string& job) const {
  return Prefix(static_cast<int>(StableHash("pool" + job) % limits_.pools));
}

void SoakRun::Submit(const std::string& id, const json& steps, std::mt19937* random) {
  caller_.Submit(PrefixOf(id), id, "payload of " + id, steps, random);
}

std::string SoakRun::JobName(int caller, int number) const {
  return absl::StrCat(absl::Hex(seed_ * 1000 + caller, absl::kZeroPad8),
                      absl::Hex(number, absl::kZeroPad8));
}

void SoakRun::CallerLoop(int caller) {
  std::mt19937 random(static_cast<unsigned>(seed_ * 1000 + caller));
  for (int number = 0; !stopping_; ++number) {
    const std::string id = JobName(caller, number);
    if ((limits_.refusal_interval > 0 || limits_.stop_series) && HasCrashingTask(id)) {
      continue;
    }
    SubmitJob(id, &random);
    absl::SleepFor(absl::Milliseconds(30 + RandomBelow(&random, 100)));
  }
}

void SoakRun::CancellingCallerLoop(int caller) {
  std::mt19937 random(static_cast<unsigned>(seed_ * 1000 + caller));
  const json steps =
      json::array({{{"count", 2}, {"cpu", 1000}, {"mem-mb", 10}, {"estimate-ms", 300}}});
  const auto instance = [&] { return RandomBelow(&random, limits_.instances); };
  const auto submit = [&](const std::string& id) {
    return caller_.SubmitOnce(PrefixOf(id), id, "payload of " + id, steps, kCallerWait, instance());
  };
  std::multimap<absl::Time, std::function<void()>> later;
  const std::function<void(std::string)> cancel = [&](const std::string& id) {
    if (!caller_.Cancel(PrefixOf(id), id, instance())) {
      later.emplace(absl::Now() + kRetryPause, [&cancel, id] { cancel(id); });
    }
  };
  for (int number = 0; !stopping_ || !later.empty(); ++number) {
    while (!later.empty() && (later.begin()->first <= absl::Now() || stopping_)) {
      const std::function<void()> action = std::move(later.begin()->second);
      later.erase(later.begin());
      action();
    }
    const std::string id = JobName(caller, number);
    if (stopping_ || HasCrashingTask(id)) {
      continue;
    }
    const int status = submit(id);
    const int kind = RandomBelow(&random, 4);
    if (kind == 0 || status != 200) {
      later.emplace(absl::Now() + absl::Milliseconds(RandomBelow(&random, 1500)),
                    [&cancel, id] { cancel(id); });
    } else if (kind == 1) {
      later.emplace(absl::Now() + absl::Milliseconds(RandomBelow(&random, 5000)),
                    [&submit, id] { submit(id); });
    }
    absl::SleepFor(absl::Milliseconds(30 + RandomBelow(&random, 100)));
  }
}

void SoakRun::WaitForCompletion() {
  const absl::Time end = absl::Now() + limits_.recovery_timeout;
  int instance = 0;
  for (const std::string& id : history_.accepted()) {
    if (history_.IsCancelled(id)) {
      continue;
    }
    const std::string expected = HasCrashingTask(id) ? "failed" : "completed";
    std::string state = caller_.StateOf(PrefixOf(id), id, ++instance % instances_.size());
    while (state != expected && absl::Now() < end) {
      absl::SleepFor(absl::Milliseconds(50));
      state = caller_.StateOf(PrefixOf(id), id, ++instance % instances_.size());
    }
    if (state != expected) {
      history_.AddViolation(
          absl::StrCat("accepted job ", id, " is not ", expected, "; last state: ", state));
    }
  }
}

std::vector<std::string> SoakRun::Run() {
  absl::SleepFor(kStartDelay);
  for (int caller = 0; caller < limits_.callers; ++caller) {
    callers_.emplace_back([this, caller] {
      limits_.moving_routes ? CancellingCallerLoop(caller) : CallerLoop(caller);
    });
  }
  const absl::Time end = absl::Now() + limits_.fault_duration;
  while (absl::Now() < end) {
    if (limits_.stop_series) {
      StopInSeries();
    } else if (limits_.refusal_interval == 0) {
      InjectFault();
    }
    absl::SleepFor(kFaultInterval);
    EndFaults(/*all=*/false);
  }
  EndFaults(/*all=*/true);
  stopping_ = true;
  for (std::thread& caller : callers_) {
    caller.join();
  }
  WaitForCompletion();
  if (limits_.refusal_interval > 0) {
    for (const std::string& run : history_.incomplete_gangs()) {
      history_.AddViolation("a member of a gang waited in vain for the others: " + run);
    }
  }
  return history_.violations();
}

std::vector<std::string> SoakRun::RunStopAfterUnansweredStart() {
  absl::SleepFor(kStartDelay);
  for (const std::unique_ptr<WorkerStandin>& worker : workers_) {
    worker->SetTaskDuration(kLongTask);
    worker->CutOffAfterNextStart(kCutOff);
  }
  const PartName part(absl::StrCat(PoolOf(0), ".0.1"));
  const std::optional<int> owner = instances_.FindOwner(store_.Get(cell_keys::Claim(part)));
  if (!owner.has_value()) {
    history_.AddViolation("no instance owns the pool");
    return history_.violations();
  }
  const std::string id = JobName(0, 0);
  Submit(id, {{{"count", 1}, {"cpu", 1000}, {"mem-mb", 10}, {"estimate-ms", 5000}}}, &random_);
  absl::SleepFor(kStopAfterStart);
  instances_.Terminate(*owner);
  EndFaults(/*all=*/true);
  WaitForCompletion();
  return history_.violations();
}

std::vector<std::string> SoakRun::RunGangThatEndsInOutage() {
  absl::SleepFor(kStartDelay);
  const std::string id = JobName(0, 0);
  gangs_.Add(id + ".0.0", limits_.workers);
  Submit(id,
         {{{"count", limits_.workers},
           {"cpu", 1000},
           {"mem-mb", 10},
           {"estimate-ms", 300},
           {"gang", true},
           {"anti-affinity", 1}}},
         &random_);
  store_.SetDown(true);
  absl::SleepFor(kGangOutage);
  const auto worker = std::find_if(workers_.begin(), workers_.end(), [](const auto& standin) {
    return standin->HasUnacknowledgedEnds();
  });
  if (worker == workers_.end()) {
    history_.AddViolation("all ends of a gang were acknowledged although nothing was stored");
  } else {
    (*worker)->Restart();
  }
  for (int i = 0; i < instances_.size(); ++i) {
    instances_.Kill(i, absl::ZeroDuration());
  }
  EndFaults(/*all=*/true);
  WaitForCompletion();
  return history_.violations();
}

}  // namespace pomelotray
