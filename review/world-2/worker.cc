#include "review/world-2/worker.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int64_t kBeatMs = 1500;
constexpr int64_t kStartupMs = 400;
constexpr int kPollMs = 5;

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

size_t RunLog::Add(const StartedRun& run) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back(run);
  return runs_.size() - 1;
}

void RunLog::End(size_t index, int64_t at_ms, const std::string& how) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[index].ended_ms = at_ms;
  runs_[index].how = how;
}

std::vector<StartedRun> RunLog::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

int RunLog::StartsOf(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(std::count_if(runs_.begin(), runs_.end(), [&job](const StartedRun& run) {
    return run.task.compare(0, job.size(), job) == 0;
  }));
}

Worker::Worker(WorkerSpec spec, Store* store, RunLog* log, Record* record, int64_t max_hold_ms)
    : spec_(std::move(spec)),
      store_(store),
      log_(log),
      record_(record),
      max_hold_ms_(max_hold_ms),
      server_([this](const Request& request) { return Handle(request); }) {}

Worker::~Worker() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    ++life_;
  }
  if (loop_.joinable()) {
    loop_.join();
  }
  server_.Close();
}

bool Worker::Start() {
  if (!Restart()) {
    return false;
  }
  loop_ = std::thread([this] { Loop(); });
  return true;
}

bool Worker::Restart() {
  if (!server_.Listen(server_.port())) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  ++life_;
  up_ = true;
  born_ms_ = std::max(UnixMs(), born_ms_ + 1);
  started_at_ = record_->NowMs() - 1000;
  sequence_ = 0;
  next_beat_ = 0;
  token_ = 0;
  lease_end_ = 0;
  next_end_ = 1;
  last_over_.clear();
  ended_.clear();
  record_->Line(spec_.id + ": is up");
  return true;
}

void Worker::Crash() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++life_;
    up_ = false;
    silent_since_ = record_->NowMs();
    record_->Line(spec_.id + ": crashes");
    EndAll("crash");
  }
  server_.Close();
}

void Worker::GoDark() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++life_;
  up_ = false;
  dark_ = true;
  silent_since_ = record_->NowMs();
  record_->Line(spec_.id + ": loses power");
  EndAll("power");
}

json Worker::Entry() {
  return {{"service", spec_.service},
          {"address", server_.address()},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-left-ms", 0},
          {"capacity", {{"cpu", spec_.cpu}, {"mem-mb", 32768}, {"gpu", 0}}},
          {"labels", spec_.labels},
          {"born", born_ms_},
          {"clock-ms", ClockMs()},
          {"sequence", ++sequence_}};
}

void Worker::Loop() {
  for (;;) {
    std::string entry;
    bool gone = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) {
        return;
      }
      Advance();
      const int64_t now = record_->NowMs();
      if (up_ && now >= next_beat_) {
        next_beat_ = now + kBeatMs;
        entry = Entry().dump();
      }
      gone = !up_ && now - silent_since_ > 3 * kBeatMs;
    }
    if (!entry.empty()) {
      store_->Put("servers/" + spec_.id, entry);
    } else if (gone) {
      store_->Remove("servers/" + spec_.id);
    }
    SleepMs(kPollMs);
  }
}

std::optional<Reply> Worker::Handle(const Request& request) {
  int64_t life = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    life = life_;
    if (dark_ || !up_) {
      return std::nullopt;
    }
  }
  std::optional<Reply> reply;
  const auto target = request.headers.find("x-pomelotray-target-instance");
  if (target != request.headers.end() && target->second != spec_.id) {
    reply = Reply{421, json::object()};
  } else if (request.path == "/pomelotray/run-start") {
    reply = StartRun(request.body);
  } else if (request.path == "/pomelotray/run-stop") {
    reply = StopRun(request.body);
  } else if (request.path == "/pomelotray/hold") {
    reply = Hold(request.body);
  } else {
    reply = Reply{404, json::object()};
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (life != life_ || !reply.has_value()) {
    return std::nullopt;
  }
  reply->body["clock-ms"] = ClockMs();
  return reply;
}

bool Worker::IsFenced(const json& order) {
  const int64_t token = order.value("fencing-token", int64_t{0});
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

void Worker::ExtendLease(const json& order) {
  const int64_t end = std::min(order.value("deadline-ms", int64_t{0}), ClockMs() + max_hold_ms_);
  lease_end_ = std::max(lease_end_, end);
}

Reply Worker::StartRun(const json& order) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Advance();
  const std::string task = order.at("task").get<std::string>();
  const int64_t number = order.at("run").get<int64_t>();
  if (IsFenced(order)) {
    return Reply{409, {{"reason", "fence"}}};
  }
  if (order.at("deadline-ms").get<int64_t>() <= ClockMs()) {
    return Reply{409, {{"reason", "late"}}};
  }
  ExtendLease(order);
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.number == number) {
    return Reply{200, json::object()};
  }
  const auto over = last_over_.find(task);
  if (present != running_.end() || (over != last_over_.end() && number <= over->second)) {
    return Reply{409, {{"reason", "old"}}};
  }
  const std::string spec = order.at("spec").get<std::string>();
  Run run;
  run.task = task;
  run.number = number;
  run.lasts = spec == "lasts";
  run.duration_ms = std::strtoll(spec.c_str(), nullptr, 10);
  run.started_ms = record_->NowMs();
  run.log_index =
      log_->Add(StartedRun{task, number, spec_.id, run.started_ms, /*ended_ms=*/-1, ""});
  running_[task] = run;
  record_->Line(spec_.id + ": starts " + task + " run " + std::to_string(number) + " token " +
                std::to_string(token_));
  return Reply{200, json::object()};
}

Reply Worker::StopRun(const json& order) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Advance();
  if (IsFenced(order)) {
    return Reply{409, {{"reason", "fence"}}};
  }
  const std::string task = order.at("task").get<std::string>();
  const int64_t number = order.at("run").get<int64_t>();
  last_over_[task] = std::max(last_over_[task], number);
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.number <= number) {
    Finish(task, "stopped");
  }
  return Reply{200, json::object()};
}

std::optional<Reply> Worker::Hold(const json& order) {
  const int64_t end = record_->NowMs() + order.value("wait-ms", int64_t{0});
  int64_t life = -1;
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (life >= 0 && life != life_) {
        return std::nullopt;
      }
      Advance();
      if (life < 0) {
        life = life_;
        if (IsFenced(order)) {
          return Reply{409, {{"reason", "fence"}}};
        }
        ExtendLease(order);
        const int64_t seen = order.value("last-seen", int64_t{0});
        ended_.erase(ended_.begin(), ended_.upper_bound(seen));
      }
      if (!ended_.empty() || record_->NowMs() >= end) {
        json running = json::array();
        for (const auto& [task, run] : running_) {
          const int64_t age = record_->NowMs() - run.started_ms;
          const int64_t percent = run.lasts ? (age >= kStartupMs ? 100 : 0)
                                            : age * 100 / std::max<int64_t>(run.duration_ms, 1);
          running.push_back({task, run.number, "", std::min<int64_t>(percent, 100), 0});
        }
        json ended = json::array();
        for (const auto& [number, row] : ended_) {
          ended.push_back(row);
        }
        return Reply{
            200,
            {{"running", std::move(running)}, {"ended", std::move(ended)}, {"born", born_ms_}}};
      }
    }
    SleepMs(kPollMs);
  }
}

void Worker::Advance() {
  if (!up_) {
    return;
  }
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : running_) {
    if (ClockMs() > lease_end_) {
      over.emplace_back(task, "lapsed");
    } else if (!run.lasts && record_->NowMs() - run.started_ms >= run.duration_ms) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) {
    Finish(task, how);
  }
}

void Worker::Finish(const std::string& task, const std::string& how) {
  const Run run = running_.at(task);
  running_.erase(task);
  last_over_[task] = std::max(last_over_[task], run.number);
  const int64_t number = next_end_++;
  ended_[number] = json::array({number, task, run.number, how, ""});
  log_->End(run.log_index, record_->NowMs(), how);
  record_->Line(spec_.id + ": ends " + task + " run " + std::to_string(run.number) + " " + how);
}

void Worker::EndAll(const std::string& how) {
  for (const auto& [task, run] : running_) {
    log_->End(run.log_index, record_->NowMs(), how);
    record_->Line(spec_.id + ": loses " + task + " run " + std::to_string(run.number));
  }
  running_.clear();
}

}  // namespace review
