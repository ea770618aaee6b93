#include "tests/soak/instance_group.h"

#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kStopTimeout = absl::Seconds(6);

// The ports are below the ephemeral range, so outgoing connections cannot occupy them.
constexpr int kFrontPort = 21'001;
constexpr int kReadyPort = 21'002;
constexpr int kFirstInternalPort = 21'010;

std::string MakeFolder() {
  std::string pattern = "/tmp/pomelotray-soak-XXXXXX";
  return mkdtemp(pattern.data()) == nullptr ? "/tmp" : pattern;
}

// Returns a loopback address that depends on the process id and the index of the instance.
std::string InstanceIp(int index) {
  return absl::StrCat("127.", 1 + getpid() % 200, ".", 1 + getpid() / 200 % 200, ".", 10 + index);
}

std::string InstanceName(int index) { return absl::StrCat("node-", index); }

}  // namespace

InstanceGroup::InstanceGroup(int count, const std::string& store_address,
                             const std::string& adviser_address, RunHistory* history)
    : history_(history), folder_(MakeFolder()), instances_(count) {
  for (int i = 0; i < count; ++i) {
    WriteSettings(i, store_address, adviser_address);
    Start(&instances_[i]);
  }
}

void InstanceGroup::WriteSettings(int index, const std::string& store_address,
                                  const std::string& adviser_address) {
  Instance& instance = instances_[index];
  const std::string ip = InstanceIp(index);
  instance.front_address = absl::StrCat(ip, ":", kFrontPort);
  instance.settings_file = absl::StrCat(folder_, "/", InstanceName(index), ".conf");
  std::ofstream file(instance.settings_file);
  file << "node-name=" << InstanceName(index) << "\nip=" << ip
       << "\nzone=a\nlisten-addrs.front=" << instance.front_address << "\nlisten-addrs.ready=" << ip
       << ":" << kReadyPort << "\nport-range=" << kFirstInternalPort << ","
       << kFirstInternalPort + 15 << "\nplatform.address=" << store_address
       << "\nbounds.max-hold-ms=6000\nlimits.cpu-share=1\nlimits.cores=1\n";
  if (!adviser_address.empty()) {
    file << "advice=" << adviser_address << "\n";
  }
}

void InstanceGroup::Start(Instance* instance) {
  const char* bin = std::getenv("POMELOTRAY_BIN_DIR");  // NOLINT(concurrency-mt-unsafe)
  instance->process = std::make_unique<ChildProcess>(
      std::vector<std::string>{absl::StrCat(bin == nullptr ? "build/bin" : bin, "/pomelotrayd"),
                               "platform"},
      std::vector<std::string>{"POMELOTRAY_NODE_FILE=" + instance->settings_file},
      instance->settings_file + absl::StrCat(".log.", absl::ToUnixMillis(absl::Now())),
      instance->settings_file + ".err");
  instance->paused = false;
  instance->resume_at = absl::InfinitePast();
  instance->stop_deadline = absl::InfiniteFuture();
}

bool InstanceGroup::IsUp(int index) const {
  const Instance& instance = instances_[index];
  return instance.process != nullptr && !instance.paused && !instance.IsStopping();
}

void InstanceGroup::Kill(int index, absl::Duration downtime) {
  Instance& instance = instances_[index];
  instance.process->Signal(SIGKILL);
  instance.process->Wait(kStopTimeout);
  instance.process.reset();
  instance.resume_at = absl::Now() + downtime;
}

void InstanceGroup::Pause(int index, absl::Duration duration) {
  Instance& instance = instances_[index];
  instance.process->Signal(SIGSTOP);
  instance.paused = true;
  instance.resume_at = absl::Now() + duration;
}

void InstanceGroup::Terminate(int index) {
  Instance& instance = instances_[index];
  instance.process->Signal(SIGTERM);
  if (!instance.process->Wait(kStopTimeout).has_value()) {
    history_->AddViolation("an instance did not exit in time after SIGTERM");
  }
  instance.process.reset();
  instance.resume_at = absl::Now();
}

void InstanceGroup::BeginStop(int index) {
  Instance& instance = instances_[index];
  instance.process->Signal(SIGTERM);
  instance.stop_deadline = absl::Now() + kStopTimeout;
}

void InstanceGroup::EndStop(Instance* instance, bool wait) {
  const absl::Duration left = instance->stop_deadline - absl::Now();
  const bool ended =
      instance->process->Wait(wait ? std::max(left, absl::ZeroDuration()) : absl::ZeroDuration())
          .has_value();
  if (!ended && !wait && left > absl::ZeroDuration()) {
    return;
  }
  if (!ended) {
    history_->AddViolation("an instance did not exit in time after SIGTERM");
    instance->process->Signal(SIGKILL);
    instance->process->Wait(kStopTimeout);
  }
  instance->process.reset();
  Start(instance);
}

void InstanceGroup::EndFaults(bool all) {
  const absl::Time now = absl::Now();
  for (Instance& instance : instances_) {
    if (instance.IsStopping()) {
      EndStop(&instance, all);
      continue;
    }
    if (!all && instance.resume_at > now) {
      continue;
    }
    if (instance.process == nullptr) {
      Start(&instance);
    } else if (instance.paused) {
      instance.process->Signal(SIGCONT);
      instance.paused = false;
    } else if (instance.process->Wait(absl::ZeroDuration()).has_value()) {
      history_->AddViolation("an instance exited without being stopped");
      Start(&instance);
    }
  }
}

std::optional<int> InstanceGroup::FindOwner(const std::string& claim) const {
  const nlohmann::json owner = nlohmann::json::parse(claim, nullptr, /*allow_exceptions=*/false);
  for (int i = 0; i < size() && owner.is_object(); ++i) {
    if (owner.value("instance", "") == InstanceName(i)) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace pomelotray
