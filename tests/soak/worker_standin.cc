#include "tests/soak/worker_standin.h"

#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "cell/membership/pool_part.h"
#include "tests/soak/adviser_standin.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr size_t kServerThreads = 32;
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);
constexpr absl::Duration kMinTaskDuration = absl::Milliseconds(100);
constexpr int64_t kTaskDurationRangeMs = 400;
// One task out of this many fails in its first run.
constexpr uint64_t kFirstRunFailureInterval = 20;
constexpr int64_t kTaskCpu = 1000;
// One job out of this many has a task that crashes its workers.
constexpr uint64_t kCrashingJobInterval = 25;
// How long a member of a gang waits for the others.
constexpr absl::Duration kGangTimeout = absl::Seconds(3);
constexpr absl::Duration kCheckpointInterval = absl::Milliseconds(50);
constexpr absl::Duration kCrashDelay = absl::Milliseconds(10);
constexpr absl::Duration kDowntimeAfterCrash = absl::Milliseconds(1500);
constexpr absl::Duration kMinLongRun = absl::Seconds(9);
constexpr int64_t kLongRunRangeMs = 17'000;
// No caller waits longer for an answer.
constexpr absl::Duration kLongestCall = absl::Seconds(2);

// Whether the task crashes each worker that starts it: the first one of a job that has such a task.
bool CrashesWorkers(const std::string& task) {
  const size_t end_of_job = task.find('.');
  return task.substr(end_of_job) == ".0.0.0" && HasCrashingTask(task.substr(0, end_of_job));
}

// More than the descriptors that a soak run opens.
constexpr int kMaxDescriptors = 4096;

// Ends all connections that a server of this process has accepted on the port.
void ShutDownConnections(int port) {
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size) == 0 &&
        local.sin_family == AF_INET && ntohs(local.sin_port) == port) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
}

std::string StepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

}  // namespace

bool HasCrashingTask(const std::string& job) { return StableHash(job) % kCrashingJobInterval == 0; }

WorkerStandin::WorkerStandin(std::string id, int64_t cpu, RunHistory* history, GangBoard* gangs,
                             std::string pool)
    : id_(std::move(id)),
      pool_(std::move(pool)),
      history_(history),
      gangs_(gangs),
      cpu_(cpu),
      started_at_(absl::Now()) {
  Listen();
  advance_thread_ = std::thread([this] { AdvanceLoop(); });
}

void WorkerStandin::AdvanceLoop() {
  for (;;) {
    absl::SleepFor(kPollInterval);
    std::string crashing_task;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
      if (crash_at_ <= absl::Now()) {
        crashing_task = crashing_task_;
      } else {
        Advance();
      }
    }
    if (!crashing_task.empty()) {
      history_->CrashedBy(crashing_task);
      RestartAfter(kDowntimeAfterCrash);
    }
  }
}

void WorkerStandin::SetCpu(int64_t cpu, absl::Time lower_counts_at) {
  absl::MutexLock lock(&mutex_);
  earlier_cpu_ = absl::Now() < lower_cpu_counts_at_ ? std::max(earlier_cpu_, cpu_) : cpu_;
  cpu_ = cpu;
  lower_cpu_counts_at_ = lower_counts_at;
}

void WorkerStandin::PostponeLowerCpu(absl::Time lower_counts_at) {
  absl::MutexLock lock(&mutex_);
  if (absl::Now() < lower_cpu_counts_at_) {
    lower_cpu_counts_at_ = std::max(lower_cpu_counts_at_, lower_counts_at);
  }
}

WorkerStandin::~WorkerStandin() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  advance_thread_.join();
  StopServer();
}

void WorkerStandin::StopServer() {
  server_->stop();
  // The server waits for its connections, idle ones for five seconds; the end of a process closes
  // them at once.
  while (server_->is_running()) {
    ShutDownConnections(port_);
    absl::SleepFor(absl::Milliseconds(1));
  }
  if (server_thread_.joinable()) {
    server_thread_.join();
  }
}

void WorkerStandin::Listen() {
  server_ = std::make_unique<httplib::Server>();
  server_->new_task_queue = [] { return new httplib::ThreadPool(kServerThreads); };
  server_->set_keep_alive_max_count(1'000'000);
  server_->set_tcp_nodelay(true);
  RegisterHandlers();
  if (port_ == 0) {
    port_ = server_->bind_to_any_port("127.0.0.1");
  } else if (!server_->bind_to_port("127.0.0.1", port_)) {
    history_->AddViolation(absl::StrCat(
        id_, " cannot listen on its port again; the result of this soak run is invalid"));
  }
  server_thread_ = std::thread([this] { server_->listen_after_bind(); });
  // A server that is stopped before it runs would ignore that.
  while (!server_->is_running()) {
    absl::SleepFor(absl::Milliseconds(1));
  }
}

std::string WorkerStandin::address() const { return absl::StrCat("127.0.0.1:", port_); }

std::string WorkerStandin::Entry() const {
  int64_t cpu = 0;
  bool draining = false;
  {
    absl::MutexLock lock(&mutex_);
    cpu = cpu_;
    draining = draining_;
  }
  return json{{"service", pool_},
              {"address", address()},
              {"zone", "a"},
              {"state", draining ? "draining" : "ready"},
              {"capacity", {{"cpu", cpu}, {"mem-mb", 100'000}, {"gpu", 0}}},
              {"labels", {"a", "r1-1"}}}
      .dump();
}

int64_t WorkerStandin::ClockMs() const {
  return absl::ToInt64Milliseconds(absl::Now() - started_at_);
}

void WorkerStandin::RegisterHandlers() {
  using Handler = int (WorkerStandin::*)(const json&, json*);
  for (const auto& [path, handler] :
       {std::pair<const char*, Handler>{"/pomelotray/run-start", &WorkerStandin::Start},
        std::pair<const char*, Handler>{"/pomelotray/run-stop", &WorkerStandin::Stop},
        std::pair<const char*, Handler>{"/pomelotray/hold", &WorkerStandin::Hold}}) {
    const Handler call = handler;
    server_->Post(path, [this, call](const httplib::Request& request, httplib::Response& response) {
      json answer = json::object();
      const json order = json::parse(request.body);
      if (!WaitForCutOff(request.path, order)) {
        response.status = 500;
        return;
      }
      response.status = (this->*call)(order, &answer);
      absl::Time muted;
      {
        absl::MutexLock lock(&mutex_);
        answer["clock-ms"] = ClockMs();
        muted = answers_delayed_until_;
      }
      SleepUntil(muted);
      response.set_content(answer.dump(), "application/json");
    });
  }
}

void WorkerStandin::SleepUntil(absl::Time time) const {
  const auto is_over = [this, time] {
    absl::MutexLock lock(&mutex_);
    return absl::Now() >= std::min(time, answers_delayed_until_);
  };
  while (!is_over()) {
    absl::SleepFor(kPollInterval);
  }
}

bool WorkerStandin::WaitForCutOff(const std::string& path, const json& order) const {
  absl::Time until;
  int64_t incarnation = 0;
  {
    absl::MutexLock lock(&mutex_);
    until = cut_off_until_;
    incarnation = incarnation_;
  }
  const absl::Time begun = absl::Now();
  if (until <= begun) {
    return true;
  }
  const bool late = path == "/pomelotray/run-start" && order.at("run").get<int64_t>() % 2 == 0;
  const absl::Time gives_up = late ? until : begun + kLongestCall;
  while (absl::Now() < std::min(until, gives_up)) {
    absl::SleepFor(kPollInterval);
    absl::MutexLock lock(&mutex_);
    if (incarnation != incarnation_ || stopping_) {
      return false;
    }
  }
  return late || until < gives_up;
}

bool WorkerStandin::CheckFencingToken(const json& order, json* answer) {
  const int64_t token = order.value("fencing-token", int64_t{0});
  if (token < token_) {
    (*answer)["reason"] = "fence";
    return false;
  }
  token_ = token;
  return true;
}

void WorkerStandin::ExtendLease(const json& order) {
  lease_end_ms_ = std::max(lease_end_ms_, order.value("deadline-ms", int64_t{0}));
}

int WorkerStandin::Start(const json& order, json* answer) {
  absl::MutexLock lock(&mutex_);
  Advance();
  if (!CheckFencingToken(order, answer)) {
    return 409;
  }
  const std::string task = order.at("task").get<std::string>();
  const int64_t run = order.at("run").get<int64_t>();
  if (order.at("deadline-ms").get<int64_t>() <= ClockMs()) {
    (*answer)["reason"] = "late";
    return 409;
  }
  ExtendLease(order);
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run == run) {
    return 200;
  }
  if (present != running_.end() || run <= last_ended_run_[task]) {
    (*answer)["reason"] = "old";
    return 409;
  }
  if (refusal_interval_ > 0 && StableHash(absl::StrCat(task, "#", run)) % refusal_interval_ == 0) {
    (*answer)["reason"] = "room";
    return 409;
  }
  const bool long_running = IsLongRunning(order.at("spec").get<std::string>());
  if (long_running && !AdviserStandin::IsValid(order.value("ticket", ""), StepOf(task), id_)) {
    (*answer)["reason"] = "ticket";
    return 409;
  }
  Run started;
  started.task = task;
  started.long_running = long_running;
  started.run = run;
  started.started_at = absl::Now();
  started.gang = gangs_->IsGang(StepOf(task)) ? StepOf(task) : "";
  started.duration = DurationOf(started);
  if (!started.gang.empty()) {
    gangs_->MemberStarted(started.gang, run, order.value("checkpoint", ""));
  }
  running_[task] = started;
  const int64_t allowed = absl::Now() < lower_cpu_counts_at_ ? std::max(cpu_, earlier_cpu_) : cpu_;
  if (static_cast<int64_t>(running_.size()) * kTaskCpu > allowed) {
    history_->AddViolation(absl::StrCat(id_, " exceeds its CPU capacity with task ", task));
  }
  if (!long_running && CrashesWorkers(task)) {
    running_[task].duration = absl::InfiniteDuration();
    crash_at_ = std::min(crash_at_, absl::Now() + kCrashDelay);
    crashing_task_ = task;
  }
  history_->Started(id_, task, run, order.at("spec").get<std::string>());
  if (cut_off_after_start_ > absl::ZeroDuration()) {
    cut_off_until_ = absl::Now() + cut_off_after_start_;
    answers_delayed_until_ = cut_off_until_;
    cut_off_after_start_ = absl::ZeroDuration();
  }
  return 200;
}

absl::Duration WorkerStandin::DurationOf(const Run& run) const {
  if (run.long_running) {
    const uint64_t hash = StableHash(absl::StrCat(run.task, "#", run.run));
    return kMinLongRun +
           absl::Milliseconds(static_cast<int64_t>(hash % static_cast<uint64_t>(kLongRunRangeMs)));
  }
  if (run.gang.empty() && task_duration_ > absl::ZeroDuration()) {
    return task_duration_;
  }
  const uint64_t hash = StableHash(run.gang.empty() ? run.task : run.gang);
  return kMinTaskDuration + absl::Milliseconds(static_cast<int64_t>(
                                hash % static_cast<uint64_t>(kTaskDurationRangeMs)));
}

int WorkerStandin::Stop(const json& order, json* answer) {
  absl::MutexLock lock(&mutex_);
  if (!CheckFencingToken(order, answer)) {
    return 409;
  }
  const std::string task = order.at("task").get<std::string>();
  const int64_t run = order.at("run").get<int64_t>();
  last_ended_run_[task] = std::max(last_ended_run_[task], run);
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.run <= run) {
    it->second.stopped = true;
  }
  Advance();
  return 200;
}

int WorkerStandin::Hold(const json& order, json* answer) {
  const absl::Time end = absl::Now() + absl::Milliseconds(order.value("wait-ms", int64_t{0}));
  const int64_t last_seen = order.at("last-seen").get<int64_t>();
  int64_t incarnation = 0;
  {
    absl::MutexLock lock(&mutex_);
    incarnation = incarnation_;
  }
  for (;;) {
    {
      absl::MutexLock lock(&mutex_);
      if (incarnation != incarnation_) {
        return 500;
      }
      if (!CheckFencingToken(order, answer)) {
        return 409;
      }
      ExtendLease(order);
      Advance();
      while (!run_ends_.empty() && run_ends_.begin()->first <= last_seen) {
        if (run_ends_.begin()->second.outcome == "done") {
          history_->SuccessAcknowledged(run_ends_.begin()->second.task);
        }
        run_ends_.erase(run_ends_.begin());
      }
      if (!run_ends_.empty() || absl::Now() >= end || stopping_) {
        json running = json::array();
        for (const auto& [task, run] : running_) {
          running.push_back(
              {task, run.run, CheckpointOf(run), run.long_running ? 100 : ClockMs() % 100, 0});
        }
        json ended = json::array();
        for (const auto& [number, entry] : run_ends_) {
          ended.push_back({number, entry.task, entry.run, entry.outcome, entry.checkpoint});
        }
        (*answer)["born"] = absl::ToUnixMillis(started_at_);
        (*answer)["running"] = std::move(running);
        (*answer)["ended"] = std::move(ended);
        return 200;
      }
    }
    absl::SleepFor(kPollInterval);
  }
}

void WorkerStandin::Finish(const std::string& outcome, std::map<std::string, Run>::iterator* it) {
  const Run& run = (*it)->second;
  if (!run.gang.empty() && outcome != "done") {
    gangs_->MemberEnded(run.gang, run.run);
  }
  if (outcome == "alone") {
    history_->GangIncomplete(run.task, run.run);
  }
  last_ended_run_[run.task] = std::max(last_ended_run_[run.task], run.run);
  run_ends_[next_end_number_++] = RunEnd{run.task, run.run, outcome, CheckpointOf(run)};
  history_->Ended(id_, run.task, run.run);
  *it = running_.erase(*it);
}

std::string WorkerStandin::CheckpointOf(const Run& run) const {
  if (run.gang.empty()) {
    return "";
  }
  const int64_t saved = gangs_->WorkedFor(run.gang, run.run) / kCheckpointInterval;
  return saved > 0 ? absl::StrCat(run.run, "-", saved) : "";
}

std::string WorkerStandin::OutcomeOf(const Run& run) const {
  const bool fails =
      run.long_running || (run.run == 1 && StableHash(run.task) % kFirstRunFailureInterval == 0);
  const bool finished = absl::Now() - run.started_at >= run.duration;
  if (finished && (fails || run.gang.empty())) {
    return fails ? "failed" : "done";
  }
  if (!run.gang.empty()) {
    std::string outcome = OutcomeOfGang(run);
    if (!outcome.empty()) {
      return outcome;
    }
  }
  if (run.stopped) {
    return "stopped";
  }
  return ClockMs() > lease_end_ms_ ? "lapsed" : "";
}

std::string WorkerStandin::OutcomeOfGang(const Run& run) const {
  switch (gangs_->StateOf(run.gang, run.run, run.duration)) {
    case GangBoard::State::kSucceeded:
      return "done";
    case GangBoard::State::kBroken:
      return run.stopped ? "stopped" : "broken";
    case GangBoard::State::kIncomplete:
      return absl::Now() - run.started_at >= kGangTimeout ? "alone" : "";
    case GangBoard::State::kAtWork:
      break;
  }
  return "";
}

void WorkerStandin::Advance() {
  for (auto it = running_.begin(); it != running_.end();) {
    const std::string outcome = OutcomeOf(it->second);
    if (outcome.empty()) {
      ++it;
    } else {
      Finish(outcome, &it);
    }
  }
}

void WorkerStandin::Restart() { RestartAfter(absl::ZeroDuration()); }

void WorkerStandin::RestartAfter(absl::Duration downtime) {
  absl::MutexLock restart_lock(&restart_mutex_);
  {
    absl::MutexLock lock(&mutex_);
    ++incarnation_;
    answers_delayed_until_ = absl::InfinitePast();
  }
  StopServer();
  ResetState();
  absl::SleepFor(downtime);
  Listen();
}

void WorkerStandin::Lose() {
  absl::MutexLock restart_lock(&restart_mutex_);
  {
    absl::MutexLock lock(&mutex_);
    ++incarnation_;
    answers_delayed_until_ = absl::InfinitePast();
    cut_off_until_ = absl::InfinitePast();
    lost_ = true;
  }
  StopServer();
  ResetState();
}

void WorkerStandin::ComeBack(bool at_other_address) {
  absl::MutexLock restart_lock(&restart_mutex_);
  if (at_other_address) {
    port_ = 0;
  }
  ResetState();
  Listen();
  absl::MutexLock lock(&mutex_);
  draining_ = false;
  lost_ = false;
}

void WorkerStandin::SetDraining(bool draining) {
  absl::MutexLock lock(&mutex_);
  draining_ = draining;
}

void WorkerStandin::CutOff(absl::Duration time) {
  absl::MutexLock lock(&mutex_);
  cut_off_until_ = absl::Now() + time;
  answers_delayed_until_ = cut_off_until_;
}

void WorkerStandin::CutOffAfterNextStart(absl::Duration time) {
  absl::MutexLock lock(&mutex_);
  cut_off_after_start_ = time;
}

void WorkerStandin::SetTaskDuration(absl::Duration time) {
  absl::MutexLock lock(&mutex_);
  task_duration_ = time;
}

bool WorkerStandin::Runs(const std::string& task) const {
  absl::MutexLock lock(&mutex_);
  return running_.count(task) > 0;
}

bool WorkerStandin::IsUp() const {
  absl::MutexLock lock(&mutex_);
  return !lost_;
}

bool WorkerStandin::CouldRun(const std::string& step) const {
  absl::MutexLock lock(&mutex_);
  return !lost_ && !draining_ && absl::Now() >= cut_off_until_ &&
         AdviserStandin::Allows(step, id_) &&
         static_cast<int64_t>(running_.size() + 1) * kTaskCpu <= cpu_;
}

void WorkerStandin::ResetState() {
  absl::MutexLock lock(&mutex_);
  for (const auto& [task, run] : running_) {
    history_->Ended(id_, task, run.run);
    if (!run.gang.empty()) {
      gangs_->MemberEnded(run.gang, run.run);
    }
  }
  running_.clear();
  last_ended_run_.clear();
  run_ends_.clear();
  next_end_number_ = 1;
  crash_at_ = absl::InfiniteFuture();
  token_ = 0;
  lease_end_ms_ = 0;
  // Owners tell incarnations apart by the start time in milliseconds, so it must differ.
  started_at_ = std::max(absl::Now(), started_at_ + absl::Milliseconds(1));
}

bool WorkerStandin::HasUnacknowledgedEnds() const {
  absl::MutexLock lock(&mutex_);
  return !run_ends_.empty();
}

void WorkerStandin::RefuseStarts(uint64_t interval) {
  absl::MutexLock lock(&mutex_);
  refusal_interval_ = interval;
}

void WorkerStandin::DelayAnswers(absl::Duration time) {
  absl::MutexLock lock(&mutex_);
  answers_delayed_until_ = absl::Now() + time;
}

}  // namespace pomelotray
