#include "review/world/cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr char kService[] = "mostrador";
constexpr char kHost[] = "quotes.example";
constexpr char kPrefix[] = "/orders/";
constexpr int kDeadlineMs = 3000;
constexpr int kPollMs = 20;

pid_t StartProcess(const std::string& settings_path, const std::string& log_path) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = "target/bin/pomelotrayd";
  std::string mode = "platform";
  std::string setting = "POMELOTRAY_NODE_FILE=" + settings_path;
  std::string path = "PATH=/usr/bin:/bin";
  std::array<char*, 3> arguments = {program.data(), mode.data(), nullptr};
  std::array<char*, 3> environment = {setting.data(), path.data(), nullptr};
  pid_t pid = 0;
  if (posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments.data(), environment.data()) !=
      0) {
    pid = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
  return pid;
}

}  // namespace

bool WaitFor(int64_t limit_ms, const std::function<bool()>& condition) {
  const int64_t end = NowMs() + limit_ms;
  while (!condition()) {
    if (NowMs() >= end) {
      return false;
    }
    SleepMs(kPollMs);
  }
  return true;
}

json OneStepJob(int tasks, int64_t cpu, int64_t memory_mb, int64_t duration_ms) {
  const json step = {
      {"count", tasks}, {"cpu", cpu}, {"mem-mb", memory_mb}, {"estimate-ms", duration_ms}};
  return {{"spec", std::to_string(duration_ms)}, {"steps", json::array({step})}};
}

std::string JobId(int number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "5c0e7a21d94b%04x", number);
  return text.data();
}

Cluster::Cluster(const std::string& record_path, std::string scratch_folder)
    : record_(record_path), scratch_(std::move(scratch_folder)) {}

void Cluster::KillAllInstances() {
  for (int i = 0; i < instance_count(); ++i) {
    if (instances_[i].up) {
      KillInstance(i);
    }
  }
  std::remove(PidsPath().c_str());
}

void Cluster::Configure(int max_attempts) {
  const json route = {{"name", "r-quote"},
                      {"host", kHost},
                      {"prefix", kPrefix},
                      {"kind", "unsafe"},
                      {"timeout-ms", kDeadlineMs},
                      {"target-latency-ms", 3000},
                      {"priority", 1},
                      {"service", kService},
                      {"max-attempts", max_attempts},
                      {"stretch", 4.0}};
  const json config = {
      {"version", 7},
      {"routes", json::array({route})},
      {"services", json::array({{{"name", kService}, {"enforces-capacity", false}}})},
      {"limits", {{"max-body-bytes", 262'144}}}};
  store_.Put("op/config", config.dump());
}

void Cluster::StartInstances(int count) {
  for (int i = 0; i < count; ++i) {
    Instance instance;
    instance.name = "front-cuenca-" + std::to_string(i + 1);
    instance.front_port = FreePortPair();
    instance.ready_port = FreePortPair();
    const int control_port = FreePortPair();
    const int peer_port = FreePortPair();
    const std::string path = scratch_ + "/" + instance.name + ".conf";
    std::ofstream file(path);
    const std::string ip = "127.0.0.1:";
    file << "node-name=" << instance.name << "\nrole=node\nmachine-class=front\nserves=front\n"
         << "ip=127.0.0.1\nzone=cuenca\nregion=sierra\nzones.cuenca=sierra\n"
         << "listen-addrs.front=" << ip << instance.front_port << "\n"
         << "listen-addrs.ready=" << ip << instance.ready_port << "\n"
         << "listen-addrs.control=" << ip << control_port << "\n"
         << "port-range=" << peer_port << "," << peer_port + 1 << "\n"
         << "seeds=\nbootstrap=true\nlimits.cpu-share=0.25\nlimits.cores=1\n"
         << "limits.memory-mb=260\nlimits.max-fds=4100\ndiscovery=platform\nentry=vip\n"
         << "heartbeat-ms=1500\nbounds.drain-ms=2500\nbounds.grace-s=6\n"
         << "bounds.max-hold-ms=10000\nbounds.stop-timeout-ms=900\nbounds.status_s=120\n"
         << "bounds.enforce-fencing=true\norders=call\nplatform.form=kv\n"
         << "platform.address=" << ip << store_.AddAddress(i) << "\n"
         << "platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.history-s=20\n"
         << "platform.value-bytes=1048576\nplatform.min-ttl-ms=1000\n";
    file.close();
    instance.pid = StartProcess(path, scratch_ + "/" + instance.name + ".log");
    instance.up = instance.pid > 0;
    record_.Line(instance.name + (instance.up ? " is started" : " could not be started"));
    std::ofstream(PidsPath(), std::ios::app) << instance.pid << "\n";
    instances_.push_back(instance);
  }
}

void Cluster::KillInstance(int index) {
  Instance& instance = instances_[index];
  record_.Line(instance.name + " is killed");
  kill(instance.pid, SIGKILL);
  waitpid(instance.pid, nullptr, 0);
  instance.up = false;
}

int Cluster::CountOwnEnds() {
  int count = 0;
  for (Instance& instance : instances_) {
    int status = 0;
    if (instance.up && waitpid(instance.pid, &status, WNOHANG) == instance.pid) {
      instance.up = false;
      instance.ended_itself = true;
      record_.Line(instance.name + " has ended by itself, " +
                   (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "exit code " + std::to_string(WEXITSTATUS(status))));
    }
    count += instance.ended_itself ? 1 : 0;
  }
  return count;
}

void Cluster::FreezeInstance(int index, bool frozen) {
  record_.Line(instances_[index].name + (frozen ? " is frozen" : " is woken"));
  kill(instances_[index].pid, frozen ? SIGSTOP : SIGCONT);
}

Worker* Cluster::AddWorker(const WorkerSettings& settings) {
  WorkerSettings with_service = settings;
  with_service.service = kService;
  workers_.push_back(std::make_unique<Worker>(with_service, &store_, &record_));
  return workers_.back().get();
}

bool Cluster::WaitUntilReady(int64_t limit_ms) {
  return WaitFor(limit_ms, [this] {
    for (const Instance& instance : instances_) {
      if (instance.up &&
          CallHttp(instance.ready_port, "GET", "/pomelotray/ready", {{"Host", "x"}}, "", 500)
                  .status != 200) {
        return false;
      }
    }
    return Owner() >= 0;
  });
}

int Cluster::Owner() const {
  const auto claim = store_.Get(std::string("pomelotray/control/claims/") + kService + ".0.1");
  if (!claim.has_value()) {
    return -1;
  }
  const json value = json::parse(*claim, nullptr, false);
  for (int i = 0; i < instance_count(); ++i) {
    if (value.value("instance", "") == instances_[i].name) {
      return i;
    }
  }
  return -1;
}

HttpResult Cluster::CallFront(const std::string& method, const std::string& id,
                              const std::string& body) {
  for (size_t tried = 0; tried < instances_.size(); ++tried) {
    const Instance& instance = instances_[next_instance_++ % instances_.size()];
    if (instance.up) {
      return CallHttp(instance.front_port, method, kPrefix + id,
                      {{"Host", kHost}, {"X-Pomelotray-Deadline-Ms", std::to_string(kDeadlineMs)}},
                      body, kDeadlineMs);
    }
  }
  return HttpResult();
}

int Cluster::Submit(const std::string& id, const json& job, int64_t limit_ms) {
  int status = 0;
  WaitFor(limit_ms, [&] {
    status = CallFront("POST", id, job.dump()).status;
    record_.Line("client: POST " + id + " is answered with " + std::to_string(status));
    return status >= 200 && status < 300;
  });
  return status;
}

std::string Cluster::State(const std::string& id) {
  const HttpResult result = CallFront("GET", id, "");
  if (result.status == 200) {
    return json::parse(result.body, nullptr, false).value("state", "");
  }
  return result.status == 410 ? "410" : "";
}

std::string Cluster::WaitForEnd(const std::string& id, int64_t limit_ms) {
  std::string state;
  WaitFor(limit_ms, [&] {
    state = State(id);
    return state == "completed" || state == "failed" || state == "canceled" || state == "410";
  });
  record_.Line("client: GET " + id + " shows " + (state.empty() ? "no answer" : state));
  return state;
}

}  // namespace review
