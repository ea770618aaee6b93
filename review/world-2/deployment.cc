#include "review/world-2/deployment.h"

#include <fcntl.h>
#include <httplib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int kCallerDeadlineMs = 3000;
constexpr int kMaxHoldMs = 6000;
constexpr char kHost[] = "shop.example";
constexpr int kSubmissionTries = 5;

std::string RandomLoopbackAddress() {
  std::random_device random;
  std::uniform_int_distribution<int> part(1, 250);
  return "127." + std::to_string(part(random)) + "." + std::to_string(part(random)) + "." +
         std::to_string(part(random));
}

}  // namespace

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

json SimpleJob(int count, int64_t cpu, int64_t ms) {
  return {{"spec", std::to_string(ms)},
          {"steps", {{{"count", count}, {"cpu", cpu}, {"mem-mb", 100}, {"estimate-ms", ms}}}}};
}

Instance::Instance(std::string name, std::string folder, std::string store_address, Record* record)
    : name_(std::move(name)),
      folder_(std::move(folder)),
      store_address_(std::move(store_address)),
      record_(record) {}

Instance::~Instance() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

bool Instance::Start() {
  // An address of its own, so that no other process takes its ports.
  ip_ = RandomLoopbackAddress();
  front_ = FreePort(ip_);
  ready_ = FreePort(ip_);
  control_ = FreePort(ip_);
  // The program uses the first two ports of the range.
  do {
    first_peer_ = FreePort(ip_);
  } while (first_peer_ == front_ || first_peer_ + 1 == front_ || first_peer_ + 1 == ready_ ||
           first_peer_ == ready_);
  const std::string path = folder_ + "/" + name_ + ".conf";
  const std::string prefix = ip_ + ":";
  std::ofstream settings(path);
  settings << "node-name=" << name_ << "\nrole=node\nmachine-class=front\nserves=front\nip=" << ip_
           << "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten-addrs.front=" << prefix
           << front_ << "\nlisten-addrs.ready=" << prefix << ready_
           << "\nlisten-addrs.control=" << prefix << control_ << "\nport-range=" << first_peer_
           << "," << first_peer_ + 15 << "\nseeds=" << prefix << control_
           << "\nbootstrap=true\nin-failure-budget=false\nlimits.cpu-share=0.25\nlimits.cores=1\n"
           << "limits.memory-mb=260\nlimits.max-fds=4100\ndiscovery=platform\nentry=vip\n"
           << "heartbeat-ms=1500\ncontracts=base,drain,config,cost,recover,sched,platform\n"
           << "fault-tolerance.machines=1\nfault-tolerance.zones=0\nfault-tolerance.regions=0\n"
           << "bounds.contact-ms=3000\nbounds.ack-timeout-ms=4000\nbounds.drain-ms=2500\n"
           << "bounds.grace-s=6\nbounds.config-apply-ms=2500\nbounds.max-hold-ms=" << kMaxHoldMs
           << "\nbounds.stop-timeout-ms=900\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
           << "bounds.finish_s=14\nbounds.status_s=120\nbounds.lease-ttl-ms=3000\norders=call\n"
           << "platform.address=" << store_address_
           << "\nplatform.form=kv\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n"
           << "platform.history-s=20\nplatform.value-bytes=1048576\nplatform.min-ttl-ms=1000\n";
  settings.close();
  const std::string log = folder_ + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    // It ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("POMELOTRAY_NODE_FILE", path.c_str(), 1);
    execl("target/bin/pomelotrayd", "target/bin/pomelotrayd", "platform",
          static_cast<char*>(nullptr));
    _exit(127);
  }
  record_->Line(name_ + ": started");
  return pid_ > 0;
}

void Instance::Signal(int number) {
  if (pid_ > 0) {
    record_->Line(name_ + ": signal " + std::to_string(number));
    kill(pid_, number);
  }
}

bool Instance::WaitForEnd(int ms) {
  for (int waited = 0; pid_ > 0; waited += 10) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
      record_->Line(name_ + ": ended");
    } else if (waited >= ms) {
      return false;
    } else {
      SleepMs(10);
    }
  }
  return true;
}

bool Instance::IsReady() const {
  httplib::Client client(ip_, ready_);
  client.set_connection_timeout(1);
  client.set_read_timeout(1);
  const auto result = client.Get("/pomelotray/ready");
  return result && result->status == 200;
}

Answer Instance::Call(const std::string& method, const std::string& path,
                      const std::string& body) const {
  httplib::Client client(ip_, front_);
  client.set_connection_timeout(1);
  client.set_read_timeout(kCallerDeadlineMs / 1000);
  const httplib::Headers headers = {
      {"Host", kHost}, {"X-Pomelotray-Deadline-Ms", std::to_string(kCallerDeadlineMs)}};
  const httplib::Result result =
      method == "POST"
          ? client.Post(path, headers, body, "application/json")
          : (method == "DELETE" ? client.Delete(path, headers) : client.Get(path, headers));
  Answer answer;
  if (result) {
    answer.status = result->status;
    answer.body = result->body;
  }
  record_->Line(name_ + ": " + method + " " + path + " -> " + std::to_string(answer.status) + " " +
                answer.body);
  return answer;
}

Deployment::Deployment(std::string folder, Record* record)
    : folder_(std::move(folder)), record_(record), store_(record) {}

void Deployment::Configure(const std::vector<Queue>& queues) {
  json routes = json::array();
  json services = json::array();
  std::vector<std::string> seen;
  for (const Queue& queue : queues) {
    routes.push_back({{"name", queue.name},
                      {"host", kHost},
                      {"prefix", "/" + queue.name + "/"},
                      {"kind", "unsafe"},
                      {"timeout-ms", kCallerDeadlineMs},
                      {"target-latency-ms", 3000},
                      {"priority", queue.priority},
                      {"service", queue.service},
                      {"max-attempts", 3},
                      {"stretch", 4.0}});
    if (std::find(seen.begin(), seen.end(), queue.service) == seen.end()) {
      seen.push_back(queue.service);
      services.push_back({{"name", queue.service},
                          {"health-path", "/health"},
                          {"max-conns", 64},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"enforces-capacity", false},
                          {"spare", false}});
    }
  }
  store_.Put("op/config", json{{"version", 7},
                               {"routes", std::move(routes)},
                               {"services", std::move(services)},
                               {"limits", {{"max-body-bytes", 262144}}}}
                              .dump());
}

Worker* Deployment::AddWorker(const WorkerSpec& spec) {
  workers_.push_back(std::make_unique<Worker>(spec, &store_, &runs_, record_, kMaxHoldMs));
  return workers_.back()->Start() ? workers_.back().get() : nullptr;
}

Instance* Deployment::AddInstance(const std::string& name) {
  instances_.push_back(std::make_unique<Instance>(name, folder_, store_.address(), record_));
  return instances_.back()->Start() ? instances_.back().get() : nullptr;
}

bool Deployment::WaitUntilReady(const Instance& instance, int ms) const {
  const int64_t end = record_->NowMs() + ms;
  while (record_->NowMs() < end) {
    if (instance.IsReady()) {
      record_->Line(instance.name() + ": is ready");
      return true;
    }
    SleepMs(50);
  }
  return false;
}

Answer Deployment::Submit(const std::vector<const Instance*>& instances, const std::string& queue,
                          const std::string& job, const json& body) {
  const std::string path = std::string("/").append(queue).append("/").append(job);
  Answer answer;
  for (int i = 0; i < kSubmissionTries; ++i) {
    answer = instances[static_cast<size_t>(i) % instances.size()]->Call("POST", path, body.dump());
    if (answer.status != 0 && answer.status < 500) {
      return answer;
    }
    SleepMs(100);
  }
  return answer;
}

Answer Deployment::Ask(const Instance& instance, const std::string& queue, const std::string& job) {
  return instance.Call("GET", "/" + queue + "/" + job, "");
}

}  // namespace review
