#include <docopt.h>
#include <malloc.h>

#include <csignal>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "daemon/daemon.h"
#include "daemon/daemon_settings.h"
#include "platform/platform_node.h"

namespace pomelotray {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
// The process has more than 350 threads, most of them idle. By default malloc would spread them
// over up to 8 arenas per core, each of which retains its own free memory.
constexpr int kMallocArenas = 4;

SettingTable::Flags GivenFlags(const std::map<std::string, docopt::value>& arguments) {
  SettingTable::Flags flags;
  for (const std::string& name : DaemonSettingTable().FlagNames()) {
    const auto it = arguments.find("--" + name);
    if (it != arguments.end() && it->second.isString()) {
      flags[name] = it->second.asString();
    }
  }
  return flags;
}

// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts later.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(const DaemonSettings& settings) {
  mallopt(M_ARENA_MAX, kMallocArenas);
  const sigset_t signals = BlockStopSignals();
  Daemon daemon(settings);
  const Outcome<void> started = Capture([&] { return daemon.Start(); });
  if (!started.ok()) {
    std::cerr << "pomelotrayd: " << started.error().message << "\n";
    return kExitFailed;
  }
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  daemon.Stop();
  return kExitOk;
}

int Main(const std::vector<std::string>& arguments) {
  const std::map<std::string, docopt::value> parsed =
      docopt::docopt(DaemonUsage(), arguments, /*help=*/true, "pomelotrayd 0.1.0");
  const Outcome<DaemonSettings> settings =
      Capture([&] { return ReadDaemonSettings(GivenFlags(parsed), &EnvironmentVariable); });
  if (!settings.ok()) {
    std::cerr << "pomelotrayd: " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (parsed.at("--check-settings").asBool()) {
    std::cout << "The settings are valid.\n";
    return kExitOk;
  }
  return Run(settings.value());
}

}  // namespace
}  // namespace pomelotray

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  // Debian builds Abseil with deadlock detection, which slows down each lock operation. The tests
  // with ThreadSanitizer check the lock order instead.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  // With `platform` as the first argument, the platform's settings file replaces all flags.
  if (!arguments.empty() && arguments[0] == "platform") {
    const bool check_only = arguments.size() > 1 && arguments[1] == "--check-settings";
    return pomelotray::platform::RunPlatformNode(check_only);
  }
  return pomelotray::Main(arguments);
}
