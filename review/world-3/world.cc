#include "review/world-3/world.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace world {
namespace {

using nlohmann::json;

constexpr int64_t kMaxHoldMs = 6000;
constexpr int64_t kHeartbeatMs = 1500;
constexpr size_t kPageItems = 500;
constexpr size_t kMaxListedEnds = 500;
constexpr int kFrontPort = 21'401;
constexpr int kReadyPort = 21'402;
constexpr int kFirstInternalPort = 21'410;

constexpr std::string_view kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& text) {
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      bits = (bits << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      encoded.push_back(i + j > text.size() ? '=' : kBase64[(bits >> (18U - 6U * j)) & 63U]);
    }
  }
  return encoded;
}

std::string DecodeBase64(const std::string& text) {
  std::string plain;
  uint32_t bits = 0;
  unsigned count = 0;
  for (const char c : text) {
    const size_t value = kBase64.find(c);
    if (value == std::string_view::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      plain.push_back(static_cast<char>((bits >> count) & 255U));
    }
  }
  return plain;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

int64_t NumberOf(const HttpCall& call, const char* name) {
  const auto field = call.query.find(name);
  return field == call.query.end() ? 0 : std::strtoll(field->second.c_str(), nullptr, 10);
}

std::string TextOf(const HttpCall& call, const char* name) {
  const auto field = call.query.find(name);
  return field == call.query.end() ? "" : field->second;
}

HttpAnswer Answer(int status, const json& body) { return HttpAnswer{status, body.dump(), false}; }

int64_t Microseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const int64_t kProgramStart = Microseconds();

}  // namespace

int64_t NowMs() { return (Microseconds() - kProgramStart) / 1000; }

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << NowMs() << " " << text << std::endl;
}

// Store

Store::Store() {
  server_ = std::make_unique<HttpServer>(0, [this](const HttpCall& call) { return Handle(call); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  server_.reset();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  Write(key, value, 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  Erase(key);
  changed_.notify_all();
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndLeases();
  const auto item = items_.find(key);
  return item == items_.end() ? "" : item->second.value;
}

std::map<std::string, std::string> Store::List(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndLeases();
  std::map<std::string, std::string> found;
  for (const auto& [key, item] : items_) {
    if (StartsWith(key, prefix)) {
      found[key] = item.value;
    }
  }
  return found;
}

void Store::SetSilent(bool silent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  silent_ = silent;
  changed_.notify_all();
}

void Store::SetDelayMs(int64_t delay_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  delay_ms_ = delay_ms;
}

void Store::LoseNextWrite(const std::string& part, int64_t late_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lost_part_ = part;
  late_ms_ = late_ms;
}

bool Store::IsToBeLost(const json& transaction) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const json& row : transaction.at("writes")) {
    if (!lost_part_.empty() &&
        row.at("key").get<std::string>().find(lost_part_) != std::string::npos) {
      lost_part_.clear();
      return true;
    }
  }
  return false;
}

void Store::Write(const std::string& key, const std::string& value, int64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease;
  history_.push_back(Event{key, revision_, false, item});
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back(Event{key, revision_, true, Item()});
  }
}

void Store::EndLeases() {
  std::vector<int64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_ms <= NowMs()) {
      over.push_back(id);
    }
  }
  for (const int64_t id : over) {
    EndLease(id);
  }
}

void Store::EndLease(int64_t lease) {
  if (leases_.erase(lease) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  ++revision_;
  for (const std::string& key : keys) {
    Erase(key);
  }
  changed_.notify_all();
}

json Store::ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

json Store::Range(const HttpCall& call) {
  const std::string prefix = TextOf(call, "prefix");
  const std::string after = TextOf(call, "after");
  json items = json::array();
  auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
  for (; it != items_.end() && StartsWith(it->first, prefix) && items.size() < kPageItems; ++it) {
    items.push_back(ItemJson(it->first, it->second));
  }
  const bool more = it != items_.end() && StartsWith(it->first, prefix);
  return {{"items", std::move(items)}, {"has-more", more}, {"as-of", revision_}};
}

HttpAnswer Store::Watch(const HttpCall& call) {
  const std::string prefix = TextOf(call, "prefix");
  const int64_t after = NumberOf(call, "after");
  const int64_t end = NowMs() + NumberOf(call, "wait-ms");
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    EndLeases();
    json events = json::array();
    for (const Event& event : history_) {
      if (event.revision <= after || !StartsWith(event.key, prefix)) {
        continue;
      }
      events.push_back(
          event.deleted ? json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}}
                        : ItemJson(event.key, event.item));
    }
    if (!events.empty() || NowMs() >= end || stopping_ || silent_) {
      return Answer(200, {{"events", std::move(events)}, {"as-of", revision_}});
    }
    changed_.wait_for(lock, std::chrono::milliseconds(50));
  }
}

HttpAnswer Store::Commit(const json& transaction) {
  json conflicts = json::array();
  bool conflict = false;
  for (const json& row : transaction.at("precondition")) {
    const std::string key = row.at("key").get<std::string>();
    const auto item = items_.find(key);
    conflict = conflict || (item == items_.end() ? 0 : item->second.revision) !=
                               row.at("revision").get<int64_t>();
    if (item != items_.end()) {
      conflicts.push_back(ItemJson(key, item->second));
    }
  }
  if (conflict) {
    return Answer(412, {{"items", std::move(conflicts)}});
  }
  for (const json& row : transaction.at("writes")) {
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return Answer(404, json::object());
    }
  }
  ++revision_;
  for (const json& row : transaction.at("writes")) {
    Write(row.at("key").get<std::string>(), DecodeBase64(row.at("value").get<std::string>()),
          row.value("lease", int64_t{0}));
  }
  for (const json& key : transaction.at("remove")) {
    Erase(key.get<std::string>());
  }
  changed_.notify_all();
  return Answer(200, {{"revision", revision_}});
}

HttpAnswer Store::Handle(const HttpCall& call) {
  {
    std::unique_lock<std::mutex> lock(mutex_);
    if (silent_) {
      changed_.wait(lock, [this] { return !silent_ || stopping_; });
      return HttpAnswer{503, "{}", true};
    }
  }
  int64_t delay_ms = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    delay_ms = delay_ms_;
  }
  SleepMs(delay_ms);
  if (call.path == "/pomelotray/kv-watch") {
    return Watch(call);
  }
  const json body = call.body.empty() ? json::object() : json::parse(call.body);
  const bool lost = call.path == "/pomelotray/kv-txn" && IsToBeLost(body);
  if (lost) {
    SleepMs(late_ms_);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  EndLeases();
  if (lost) {
    Commit(body);
    return HttpAnswer{503, "{}", true};
  }
  if (call.path == "/pomelotray/kv-key") {
    const std::string key = TextOf(call, "key");
    const auto item = items_.find(key);
    return item == items_.end() ? Answer(404, json::object())
                                : Answer(200, ItemJson(key, item->second));
  }
  if (call.path == "/pomelotray/kv-range") {
    return Answer(200, Range(call));
  }
  if (call.path == "/pomelotray/kv-txn") {
    return Commit(body);
  }
  const int64_t id = std::strtoll(call.path.c_str() + call.path.rfind('/') + 1, nullptr, 10);
  if (call.path == "/pomelotray/kv-lease") {
    const int64_t ttl = body.at("ttl-ms").get<int64_t>();
    const int64_t lease = next_lease_++;
    leases_[lease] = Lease{ttl, NowMs() + ttl};
    return Answer(200, {{"lease", lease}, {"ttl-ms", ttl}});
  }
  if (StartsWith(call.path, "/pomelotray/kv-keep/")) {
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      return Answer(404, json::object());
    }
    lease->second.expires_ms = NowMs() + lease->second.ttl_ms;
    return Answer(200, {{"ttl-ms", lease->second.ttl_ms}});
  }
  if (StartsWith(call.path, "/pomelotray/kv-lease-end/")) {
    EndLease(id);
    return Answer(200, json::object());
  }
  return Answer(400, json::object());
}

// Runs

void Runs::Started(const std::string& worker, const std::string& task, int64_t run) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(Run{worker, task, run, NowMs(), -1, ""});
  }
  record_->Line("run " + task + " #" + std::to_string(run) + " starts on " + worker);
}

void Runs::Ended(const std::string& worker, const std::string& task, int64_t run,
                 const std::string& how) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (Run& known : runs_) {
      if (known.worker == worker && known.task == task && known.run == run && known.ended_ms < 0) {
        known.ended_ms = NowMs();
        known.how = how;
      }
    }
  }
  record_->Line("run " + task + " #" + std::to_string(run) + " ends on " + worker + ": " + how);
}

std::vector<Runs::Run> Runs::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

// Worker

Worker::Worker(Shape shape, Store* store, Runs* runs)
    : shape_(std::move(shape)), store_(store), runs_(runs) {
  Start();
  thread_ = std::thread([this] { Loop(); });
}

Worker::~Worker() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    ended_.notify_all();
  }
  thread_.join();
  server_.reset();
}

bool Worker::IsUp() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return up_;
}

void Worker::Start() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++life_;
    up_ = true;
    started_ms_ = NowMs();
    born_ms_ = UnixMs();
    token_ = 0;
    lease_end_ms_ = 0;
    next_end_ = 1;
    sequence_ = 0;
    last_ended_.clear();
    ends_.clear();
  }
  if (server_ == nullptr) {
    server_ =
        std::make_unique<HttpServer>(0, [this](const HttpCall& call) { return Handle(call); });
  } else {
    server_->Open();
  }
  PublishEntry();
}

void Worker::Crash() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    up_ = false;
    ++life_;
    for (const auto& [task, state] : running_) {
      runs_->Ended(shape_.id, task, state.run, "crash");
    }
    running_.clear();
    ended_.notify_all();
  }
  server_->Close();
}

void Worker::PublishEntry() {
  json entry;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    heartbeat_ms_ = NowMs();
    entry = {{"service", shape_.service},
             {"address", server_->address()},
             {"zone", "a"},
             {"version", "1"},
             {"slots", 8},
             {"state", "ready"},
             {"cold-left-ms", 0},
             {"sequence", ++sequence_},
             {"born", born_ms_},
             {"capacity", {{"cpu", shape_.cpu}, {"mem-mb", 100'000}, {"gpu", 0}}},
             {"labels", {"a", "r1-1"}}};
  }
  store_->Put("servers/" + shape_.id, entry.dump());
}

void Worker::Loop() {
  for (;;) {
    SleepMs(5);
    bool publish = false;
    bool remove = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) {
        return;
      }
      if (up_) {
        Advance();
      }
      publish = up_ && NowMs() - heartbeat_ms_ >= kHeartbeatMs;
      remove = !up_ && heartbeat_ms_ > 0 && NowMs() - heartbeat_ms_ >= 3 * kHeartbeatMs;
      if (remove) {
        heartbeat_ms_ = 0;
      }
    }
    if (publish) {
      PublishEntry();
    } else if (remove) {
      store_->Remove("servers/" + shape_.id);
    }
  }
}

HttpAnswer Worker::Reply(int status, json body) const {
  body["clock-ms"] = ClockMs();
  body["born"] = born_ms_;
  return Answer(status, body);
}

HttpAnswer Worker::Handle(const HttpCall& call) {
  const auto target = call.headers.find("x-pomelotray-target-instance");
  if (target != call.headers.end() && target->second != shape_.id) {
    return Answer(421, json::object());
  }
  const json order = json::parse(call.body);
  if (call.path == "/pomelotray/run-start") {
    return RunStart(order);
  }
  if (call.path == "/pomelotray/run-stop") {
    return RunStop(order);
  }
  return call.path == "/pomelotray/hold" ? Hold(order) : Answer(404, json::object());
}

bool Worker::IsFenced(const json& order) {
  const int64_t token = order.value("fencing-token", int64_t{0});
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

HttpAnswer Worker::RunStart(const json& order) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!up_) {
    return HttpAnswer{503, "{}", true};
  }
  Advance();
  if (IsFenced(order)) {
    return Reply(409, {{"reason", "fence"}});
  }
  const std::string task = order.at("task").get<std::string>();
  const int64_t run = order.at("run").get<int64_t>();
  const int64_t deadline = std::min(order.at("deadline-ms").get<int64_t>(), ClockMs() + kMaxHoldMs);
  if (deadline <= ClockMs()) {
    return Reply(409, {{"reason", "late"}});
  }
  lease_end_ms_ = std::max(lease_end_ms_, deadline);
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run == run) {
    return Reply(200, json::object());
  }
  if (present != running_.end() || run <= last_ended_[task]) {
    return Reply(409, {{"reason", "old"}});
  }
  const std::string spec = order.at("spec").get<std::string>();
  const size_t length = spec.find("ms=");
  const int64_t ms =
      length == std::string::npos ? 1000 : std::strtoll(spec.c_str() + length + 3, nullptr, 10);
  running_[task] = Task{run, NowMs() + ms, -1};
  runs_->Started(shape_.id, task, run);
  return Reply(200, json::object());
}

HttpAnswer Worker::RunStop(const json& order) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!up_) {
    return HttpAnswer{503, "{}", true};
  }
  if (IsFenced(order)) {
    return Reply(409, {{"reason", "fence"}});
  }
  const std::string task = order.at("task").get<std::string>();
  const int64_t run = order.at("run").get<int64_t>();
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run <= run && present->second.stop_at_ms < 0) {
    present->second.stop_at_ms = NowMs() + shape_.stop_ms;
  }
  last_ended_[task] = std::max(last_ended_[task], run);
  return Reply(200, json::object());
}

json Worker::Lists() const {
  json running = json::array();
  for (const auto& [task, state] : running_) {
    const int64_t left = std::max<int64_t>(state.end_ms - NowMs(), 0);
    running.push_back({task, state.run, "", left > 3'600'000 ? 100 : 99 - left % 97, 0});
  }
  json ended = json::array();
  for (const End& end : ends_) {
    if (ended.size() < kMaxListedEnds) {
      ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
  }
  return {{"running", std::move(running)}, {"ended", std::move(ended)}};
}

HttpAnswer Worker::Hold(const json& order) {
  const int64_t until = NowMs() + order.value("wait-ms", int64_t{0});
  const int64_t last_seen = order.value("last-seen", int64_t{0});
  std::unique_lock<std::mutex> lock(mutex_);
  const int64_t life = life_;
  if (!up_) {
    return HttpAnswer{503, "{}", true};
  }
  if (IsFenced(order)) {
    return Reply(409, {{"reason", "fence"}});
  }
  const int64_t deadline = std::min(order.value("deadline-ms", int64_t{0}), ClockMs() + kMaxHoldMs);
  lease_end_ms_ = std::max(lease_end_ms_, deadline);
  while (!ends_.empty() && ends_.front().number <= last_seen) {
    ends_.pop_front();
  }
  Advance();
  while (up_ && life == life_ && ends_.empty() && NowMs() < until && !stopping_) {
    ended_.wait_for(lock, std::chrono::milliseconds(20));
  }
  if (!up_ || life != life_) {
    return HttpAnswer{503, "{}", true};
  }
  return Reply(200, Lists());
}

void Worker::EndTask(const std::string& task, const std::string& how) {
  const int64_t run = running_.at(task).run;
  running_.erase(task);
  last_ended_[task] = std::max(last_ended_[task], run);
  ends_.push_back(End{next_end_++, task, run, how});
  runs_->Ended(shape_.id, task, run, how);
  ended_.notify_all();
}

void Worker::Advance() {
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, state] : running_) {
    if (NowMs() >= state.end_ms) {
      over.emplace_back(task, "done");
    } else if (state.stop_at_ms >= 0 && NowMs() >= state.stop_at_ms) {
      over.emplace_back(task, "stopped");
    } else if (ClockMs() > lease_end_ms_) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) {
    EndTask(task, how);
  }
}

// Instances

Instances::Instances(int count, const std::string& store_address, const std::string& folder,
                     Record* record)
    : record_(record), instances_(count) {
  for (int i = 0; i < count; ++i) {
    Instance& instance = instances_[i];
    const std::string ip = "127." + std::to_string(1 + getpid() % 200) + "." +
                           std::to_string(1 + getpid() / 200 % 200) + "." + std::to_string(10 + i);
    instance.front = ip + ":" + std::to_string(kFrontPort);
    instance.ready = ip + ":" + std::to_string(kReadyPort);
    instance.settings = folder + "/node-" + std::to_string(i) + ".conf";
    instance.log = folder + "/node-" + std::to_string(i) + ".log";
    std::ofstream(instance.settings)
        << "node-name=node-" << i << "\nrole=node\nmachine-class=front\nserves=front\nip=" << ip
        << "\nzone=a\nregion=r\nzones.a=r\nlisten-addrs.front=" << instance.front
        << "\nlisten-addrs.ready=" << instance.ready << "\nport-range=" << kFirstInternalPort << ","
        << kFirstInternalPort + 15
        << "\nbootstrap=true\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\n"
        << "limits.max-fds=4100\ndiscovery=platform\nentry=vip\nheartbeat-ms=" << kHeartbeatMs
        << "\nbounds.contact-ms=3000\nbounds.grace-s=6\nbounds.max-hold-ms=" << kMaxHoldMs
        << "\nbounds.status_s=120\nbounds.stop-timeout-ms=900\nbounds.lease-ttl-ms=3000\n"
        << "orders=call\nplatform.address=" << store_address
        << "\nplatform.form=kv\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n"
        << "platform.history-s=20\nplatform.value-bytes=1048576\nplatform.min-ttl-ms=1000\n";
    Start(i);
  }
}

Instances::~Instances() {
  for (Instance& instance : instances_) {
    if (instance.pid > 0) {
      kill(instance.pid, SIGCONT);
      kill(instance.pid, SIGKILL);
      waitpid(instance.pid, nullptr, 0);
    }
  }
}

void Instances::Start(int index) {
  Instance& instance = instances_[index];
  if (instance.pid > 0) {
    // A process that was sent SIGTERM.
    waitpid(instance.pid, nullptr, 0);
  }
  record_->Line("node-" + std::to_string(index) + " is started");
  const std::string variable = "POMELOTRAY_NODE_FILE=" + instance.settings;
  const int log = open(instance.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  instance.pid = fork();
  if (instance.pid == 0) {
    // No process outlives the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::array<char*, 3> arguments = {const_cast<char*>("target/bin/pomelotrayd"),
                                      const_cast<char*>("platform"), nullptr};
    std::array<char*, 2> environment = {const_cast<char*>(variable.c_str()), nullptr};
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  close(log);
}

void Instances::Signal(int index, int number) {
  Instance& instance = instances_[index];
  record_->Line("node-" + std::to_string(index) + " gets signal " + std::to_string(number));
  kill(instance.pid, number);
  if (number == SIGKILL) {
    waitpid(instance.pid, nullptr, 0);
    instance.pid = -1;
  }
}

bool Instances::IsReady(int index) const {
  return SendHttp(instances_[index].ready, "GET", "/pomelotray/ready", {{"Host", "x"}}, "", 1000)
             .status == 200;
}

int Instances::OwnerIn(const std::string& claim) {
  const json owner = json::parse(claim, nullptr, /*allow_exceptions=*/false);
  const std::string name = owner.is_object() ? owner.value("instance", "") : "";
  return StartsWith(name, "node-") ? static_cast<int>(std::strtol(name.c_str() + 5, nullptr, 10))
                                   : -1;
}

// Client

HttpAnswer Client::Send(const std::string& method, const std::string& path, const std::string& body,
                        int deadline_ms) {
  int index = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    index = next_++ % instances_->size();
  }
  HttpAnswer answer =
      SendHttp(instances_->front(index), method, path,
               {{"Host", kHost}, {"X-Pomelotray-Deadline-Ms", std::to_string(deadline_ms)}}, body,
               deadline_ms);
  record_->Line(method + " " + path + " at node-" + std::to_string(index) + " -> " +
                std::to_string(answer.status) + " " + answer.body);
  return answer;
}

bool Client::Submit(const std::string& prefix, const std::string& id, const std::string& spec,
                    const json& steps) {
  const std::string body = json{{"spec", spec}, {"steps", steps}}.dump();
  for (int attempt = 0; attempt < 8; ++attempt) {
    const int status = Send("POST", prefix + id, body).status;
    if (status >= 200 && status < 300) {
      return true;
    }
    SleepMs(300);
  }
  return false;
}

int Client::SubmitOnce(const std::string& prefix, const std::string& id, const std::string& spec,
                       const json& steps, int deadline_ms) {
  return Send("POST", prefix + id, json{{"spec", spec}, {"steps", steps}}.dump(), deadline_ms)
      .status;
}

std::string Client::StateOf(const std::string& prefix, const std::string& id) {
  const HttpAnswer answer = Send("GET", prefix + id, "");
  const json body = json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  return answer.status == 200 && body.is_object() ? body.value("state", "?")
                                                  : std::to_string(answer.status);
}

int Client::Cancel(const std::string& prefix, const std::string& id) {
  return Send("DELETE", prefix + id, "").status;
}

std::string RoutesTo(const std::map<std::string, std::string>& services_by_prefix, int64_t version,
                     const std::vector<std::string>& services, int max_attempts) {
  json routes = json::array();
  json listed = json::array();
  for (const auto& [prefix, service] : services_by_prefix) {
    routes.push_back({{"name", "q" + std::to_string(prefix.size()) + prefix.substr(1, 3)},
                      {"host", kHost},
                      {"prefix", prefix},
                      {"service", service},
                      {"priority", 1},
                      {"max-attempts", max_attempts},
                      {"stretch", 3.0},
                      {"target-latency-ms", 1000}});
  }
  for (const std::string& service : services) {
    listed.push_back({{"name", service}, {"enforces-capacity", false}});
  }
  return json{{"version", version}, {"routes", std::move(routes)}, {"services", std::move(listed)}}
      .dump();
}

std::string Configuration(int64_t version, const std::vector<std::string>& services,
                          int max_attempts) {
  std::map<std::string, std::string> by_prefix;
  for (const std::string& service : services) {
    by_prefix["/" + service + "/"] = service;
  }
  return RoutesTo(by_prefix, version, services, max_attempts);
}

}  // namespace world
