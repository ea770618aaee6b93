#include "review/world/worker.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>
#include <vector>

namespace review {
namespace {

using nlohmann::json;

constexpr int kTickMs = 5;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kStopMs = 200;
// A task that lasts is at work after this time.
constexpr int64_t kStartupMs = 300;
constexpr int64_t kMaxWaitMs = 2000;
// PROTOCOL.md: ends that are not taken note of are returned again, 500 at a time.
constexpr size_t kMaxEndsPerAnswer = 500;
constexpr int kCutOffPollMs = 10;

}  // namespace

Worker::Worker(WorkerSettings settings, Store* store, Record* record)
    : settings_(std::move(settings)), store_(store), record_(record) {
  Restart();
  thread_ = std::thread([this] { Loop(); });
}

Worker::~Worker() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    closing_ = true;
  }
  thread_.join();
  if (server_ != nullptr) {
    server_->Stop();
  }
}

void Worker::Crash() {
  std::unique_ptr<HttpServer> server;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    record_->Line(settings_.id + " crashes");
    while (!runs_.empty()) {
      EndRun(runs_.begin()->first, "lost in the crash");
    }
    up_ = false;
    ++incarnation_;
    server = std::move(server_);
    changed_.notify_all();
  }
  server->Stop();
}

void Worker::Restart() {
  const std::lock_guard<std::mutex> lock(mutex_);
  server_ = std::make_unique<HttpServer>(
      port_, [this](const HttpRequest& request) { return Answer(request); });
  port_ = server_->port();
  up_ = true;
  born_ = UnixMs();
  born_at_ = NowMs();
  sequence_ = 0;
  token_ = 0;
  lease_ends_ = 0;
  last_end_ = 0;
  highest_over_.clear();
  ends_.clear();
  Register();
}

void Worker::SetCutOff(bool cut_off) {
  const std::lock_guard<std::mutex> lock(mutex_);
  record_->Line(settings_.id + (cut_off ? " is cut off" : " is reachable again"));
  cut_off_ = cut_off;
}

void Worker::SetAnswerDelay(int64_t ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answer_delay_ms_ = ms;
}

size_t Worker::RunningCount() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_.size();
}

int64_t Worker::StartCount() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return start_count_;
}

bool Worker::RunsJob(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(runs_.begin(), runs_.end(),
                     [&job](const auto& entry) { return entry.first.rfind(job + ".", 0) == 0; });
}

HttpReply Worker::Answer(const HttpRequest& request) {
  std::unique_lock<std::mutex> lock(mutex_);
  const int64_t incarnation = incarnation_;
  const auto gone = [&] { return !up_ || incarnation_ != incarnation || closing_; };
  if (cut_off_) {
    // The call is lost. The connection stays silent until the path is back, and then breaks.
    while (cut_off_ && !gone()) {
      lock.unlock();
      SleepMs(kCutOffPollMs);
      lock.lock();
    }
    return DroppedReply();
  }
  const auto target = request.headers.find("x-pomelotray-target-instance");
  if (target != request.headers.end() && target->second != settings_.id) {
    HttpReply reply;
    reply.status = 421;
    return reply;
  }
  HttpReply reply;
  if (request.path == "/pomelotray/run-start") {
    reply = Start(request.body);
  } else if (request.path == "/pomelotray/run-stop") {
    reply = Stop(request.body);
  } else if (request.path == "/pomelotray/hold") {
    reply = Hold(request.body, &lock);
  } else {
    reply.status = 404;
  }
  if (answer_delay_ms_ > 0) {
    const int64_t delay = answer_delay_ms_;
    lock.unlock();
    SleepMs(delay);
    lock.lock();
  }
  // An answer that is on its way when the path breaks is lost.
  return gone() || cut_off_ ? DroppedReply() : reply;
}

int64_t Worker::ClockMs() const { return NowMs() - born_at_ + 1000; }

json Worker::Signed() const { return {{"clock-ms", ClockMs()}, {"born", born_}}; }

HttpReply Worker::Refuse(const std::string& reason) const {
  HttpReply reply;
  reply.status = 409;
  reply.body = Signed();
  reply.body["reason"] = reason;
  return reply;
}

bool Worker::IsFenced(const json& body) {
  const int64_t token = body.value("fencing-token", int64_t{0});
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

void Worker::ExtendLease(const json& body) {
  const int64_t wanted = body.value("deadline-ms", int64_t{0});
  lease_ends_ = std::max(lease_ends_, std::min(wanted, ClockMs() + settings_.max_hold_ms));
}

HttpReply Worker::Start(const json& body) {
  const std::string task = body.at("task");
  const int64_t run = body.at("run");
  if (IsFenced(body)) {
    return Refuse("fence");
  }
  if (body.at("deadline-ms").get<int64_t>() <= ClockMs()) {
    return Refuse("late");
  }
  ExtendLease(body);
  HttpReply reply;
  reply.body = Signed();
  const auto present = runs_.find(task);
  if (present != runs_.end() && present->second.run == run) {
    return reply;
  }
  const auto over = highest_over_.find(task);
  if (present != runs_.end() || (over != highest_over_.end() && run <= over->second)) {
    return Refuse("old");
  }
  Run started;
  started.run = run;
  started.spec = body.at("spec");
  started.started = NowMs();
  std::istringstream words(started.spec);
  std::string kind;
  words >> started.duration_ms >> started.own_end >> kind;
  started.own_end = started.own_end.empty() ? "done" : started.own_end;
  started.lasting = kind == "lasting";
  started.ends_at = NowMs() + started.duration_ms;
  runs_[task] = started;
  ++start_count_;
  RunEvent event;
  event.at = NowMs();
  event.worker = settings_.id;
  event.kind = RunEvent::Kind::kStart;
  event.task = task;
  event.run = run;
  record_->Add(event);
  return reply;
}

HttpReply Worker::Stop(const json& body) {
  const std::string task = body.at("task");
  const int64_t run = body.at("run");
  if (IsFenced(body)) {
    return Refuse("fence");
  }
  int64_t& over = highest_over_[task];
  over = std::max(over, run);
  const auto present = runs_.find(task);
  if (present != runs_.end() && present->second.run == run && !present->second.stopping) {
    present->second.stopping = true;
    present->second.ends_at = NowMs() + kStopMs;
  }
  HttpReply reply;
  reply.body = Signed();
  return reply;
}

HttpReply Worker::Hold(const json& body, std::unique_lock<std::mutex>* lock) {
  if (IsFenced(body)) {
    return Refuse("fence");
  }
  const int64_t seen = body.value("last-seen", int64_t{0});
  while (!ends_.empty() && ends_.front().number <= seen) {
    RunEvent event;
    event.at = NowMs();
    event.worker = settings_.id;
    event.kind = RunEvent::Kind::kNoted;
    event.task = ends_.front().task;
    event.run = ends_.front().run;
    record_->Add(event);
    ends_.pop_front();
  }
  ExtendLease(body);
  const int64_t incarnation = incarnation_;
  const int64_t wait = std::min(body.value("wait-ms", int64_t{0}), kMaxWaitMs);
  changed_.wait_for(*lock, std::chrono::milliseconds(wait),
                    [&] { return !ends_.empty() || incarnation_ != incarnation; });
  HttpReply reply;
  reply.body = Signed();
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    const int64_t worked = NowMs() - run.started;
    const int64_t percent =
        run.lasting
            ? (worked < kStartupMs ? 0 : 100)
            : std::clamp<int64_t>(worked * 100 / std::max<int64_t>(run.duration_ms, 1), 0, 99);
    running.push_back({task, run.run, "", percent, 100});
  }
  json ended = json::array();
  for (const End& end : ends_) {
    if (ended.size() == kMaxEndsPerAnswer) {
      break;
    }
    ended.push_back({end.number, end.task, end.run, end.how, ""});
  }
  reply.body["running"] = std::move(running);
  reply.body["ended"] = std::move(ended);
  return reply;
}

void Worker::EndRun(std::string task, const std::string& how) {
  const auto it = runs_.find(task);
  const int64_t run = it->second.run;
  runs_.erase(it);
  int64_t& over = highest_over_[task];
  over = std::max(over, run);
  ends_.push_back(End{++last_end_, task, run, how});
  RunEvent event;
  event.at = NowMs();
  event.worker = settings_.id;
  event.kind = RunEvent::Kind::kEnd;
  event.task = std::move(task);
  event.run = run;
  event.how = how;
  record_->Add(event);
  changed_.notify_all();
}

void Worker::Tick() {
  if (!up_) {
    return;
  }
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (ClockMs() > lease_ends_) {
      over.emplace_back(task, "lapsed");
    } else if (NowMs() >= run.ends_at) {
      over.emplace_back(task, run.stopping ? "stopped" : run.own_end);
    }
  }
  for (const auto& [task, how] : over) {
    EndRun(task, how);
  }
  if (NowMs() - registered_at_ >= kHeartbeatMs) {
    Register();
  }
}

void Worker::Register() {
  registered_at_ = NowMs();
  if (sequence_ == 0) {
    record_->Line(settings_.id + " starts at port " + std::to_string(port_));
  }
  const json entry = {
      {"service", settings_.service},
      {"address", "127.0.0.1:" + std::to_string(port_)},
      {"zone", "cuenca"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold-left-ms", 0},
      {"capacity", {{"cpu", settings_.cpu}, {"mem-mb", settings_.memory_mb}, {"gpu", 8}}},
      {"labels", {"a", "r1-1"}},
      {"clock-ms", ClockMs()},
      {"born", born_},
      {"sequence", ++sequence_}};
  store_->Put("servers/" + settings_.id, entry.dump());
}

void Worker::Loop() {
  for (;;) {
    SleepMs(kTickMs);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closing_) {
      return;
    }
    Tick();
  }
}

}  // namespace review
