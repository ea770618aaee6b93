#include <docopt/docopt.h>
#include <signal.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/log_sink.h"
#include "base/system_clock.h"
#include "standins/executor_standin.h"
#include "standins/store_standin.h"
#include "standins/vm_list_standin.h"
#include "standins/worker_group.h"
#include "standins/worker_standin.h"

namespace pomelotray {
namespace {

constexpr char kUsage[] =
    R"(Runs a stand-in for an interface of the platform, for tests only. Listens on 127.0.0.1.

Usage:
  pomelotray-standin store [--port=<n>]
  pomelotray-standin vmlist [--port=<n>] [--file=<path>] [--lag-ms=<n>]
  pomelotray-standin worker --id=<id> [--port=<n>] [--cpu-milli=<n>] [--memory-mib=<n>]
                     [--accelerators=<n>] [--boot=<id>] [--usage-lag-ms=<n>]
                     [--fail-all-starts] [--events=<path>] [--count=<n>]
                     [--region=<id>] [--domain=<id>] [--rack=<id>] [--pool=<name>]
  pomelotray-standin executor --id=<id> [--port=<n>] [--slots=<n>] [--connections=<n>]
                     [--boot=<id>] [--events=<path>]
                     [--region=<id>] [--domain=<id>] [--rack=<id>] [--pool=<name>]
  pomelotray-standin --help

Options:
  --port=<n>          Port to listen on; 0 selects a free one [default: 0].
  --file=<path>       JSON file with the initial VM list, {"vms": [...]}.
  --lag-ms=<n>        Time until a change of the VM list is visible [default: 0].
  --id=<id>           Id of the VM.
  --cpu-milli=<n>     Processor capacity in thousandths of a core [default: 16000].
  --memory-mib=<n>    Memory capacity in MiB [default: 32768].
  --accelerators=<n>  Number of accelerators [default: 0].
  --slots=<n>         Maximum number of concurrent requests [default: 8].
  --connections=<n>   Maximum number of open connections [default: 64].
  --count=<n>         Number of workers in this process; above 1, they are
                      named <id>-1, <id>-2 and so on [default: 1].
  --boot=<id>         Boot id; random by default.
  --usage-lag-ms=<n>  Time until the resource usage of a task is reported [default: 5000].
  --fail-all-starts   Let every task fail immediately after its start.
  --events=<path>     File for the event log as JSON lines; standard error by
                      default.
  --region=<id>       Region, only for the row in the VM list [default: region].
  --domain=<id>       Failure domain, only for the row in the VM list [default: domain].
  --rack=<id>         Rack, only for the row in the VM list [default: rack].
  --pool=<name>       Pool, only for the row in the VM list [default: pool].

Prints one JSON line with its address when ready. Stops on SIGTERM or SIGINT.
)";

constexpr int kExitUsage = 64;
constexpr int kExitFailure = 1;

using Arguments = std::map<std::string, docopt::value>;

std::string Text(const Arguments& arguments, const char* name) {
  const docopt::value& value = arguments.at(name);
  return value.isString() ? value.asString() : "";
}

// Parses a non-negative integer; exits with kExitUsage if the value is not one.
int64_t Number(const Arguments& arguments, const char* name) {
  int64_t number = -1;
  if (!absl::SimpleAtoi(Text(arguments, name), &number) || number < 0) {
    std::cerr << name << " must be a non-negative integer.\n";
    std::exit(kExitUsage);
  }
  return number;
}

BootId BootOf(const Arguments& arguments) {
  const std::string given = Text(arguments, "--boot");
  if (!given.empty()) {
    return BootId(given);
  }
  absl::BitGen random;
  return BootId(absl::StrCat("boot-", absl::Hex(absl::Uniform<uint64_t>(random))));
}

// Returns the entry of this VM for the VM list.
nlohmann::json VmRow(const Arguments& arguments, const char* role, const std::string& address) {
  return {{"id", Text(arguments, "--id")},
          {"role", role},
          {"address", address},
          {"region", Text(arguments, "--region")},
          {"domain", Text(arguments, "--domain")},
          {"rack", Text(arguments, "--rack")},
          {"pool", Text(arguments, "--pool")},
          {"leaving", false}};
}

// Starts the stand-in, prints its address and serves until a signal in `signals` arrives.
template <typename Standin>
int Serve(Standin* standin, const Arguments& arguments, const sigset_t& signals,
          nlohmann::json ready) {
  const int port = static_cast<int>(Number(arguments, "--port"));
  if (!standin->Start(port)) {
    std::cerr << "Port " << port << " on 127.0.0.1 could not be bound; choose another port.\n";
    return kExitFailure;
  }
  ready["address"] = standin->address();
  std::cout << ready.dump() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  standin->Stop();
  return 0;
}

int RunVmList(const Arguments& arguments, const sigset_t& signals, const Clock* clock,
              HybridClock* hybrid_clock) {
  VmListStandin standin(clock, hybrid_clock, absl::Milliseconds(Number(arguments, "--lag-ms")));
  const std::string path = Text(arguments, "--file");
  if (!path.empty()) {
    std::ifstream file(path);
    const nlohmann::json list = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
    if (!standin.Load(list)) {
      std::cerr << "File " << path << " does not contain a VM list of the form {\"vms\": [...]}.\n";
      return kExitFailure;
    }
  }
  return Serve(&standin, arguments, signals, {{"standin", "vmlist"}});
}

int ServeGroup(const WorkerOptions& options, int64_t count, const Arguments& arguments,
               const sigset_t& signals, const Clock* clock, EventLog* events) {
  WorkerGroup group(options, count, clock, events);
  if (!group.Start(static_cast<int>(Number(arguments, "--port")))) {
    std::cerr << "A port on 127.0.0.1 could not be bound; omit --port to use free ports.\n";
    return kExitFailure;
  }
  std::cout << nlohmann::json{{"workers", group.Rows()}}.dump() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  group.Stop();
  return 0;
}

int RunWorker(const Arguments& arguments, const sigset_t& signals, const Clock* clock,
              EventLog* events) {
  WorkerOptions options;
  options.id = WorkerId(Text(arguments, "--id"));
  options.boot = BootOf(arguments);
  options.capacity = Resources{MilliCores(Number(arguments, "--cpu-milli")),
                               MebiBytes(Number(arguments, "--memory-mib")),
                               AcceleratorCount(Number(arguments, "--accelerators")), SlotCount(0)};
  options.usage_lag = absl::Milliseconds(Number(arguments, "--usage-lag-ms"));
  options.fail_all_starts = arguments.at("--fail-all-starts").asBool();
  const int64_t count = Number(arguments, "--count");
  if (count > 1) {
    return ServeGroup(options, count, arguments, signals, clock, events);
  }
  WorkerStandin standin(options, clock, events);
  nlohmann::json row = VmRow(arguments, "worker", "");
  row["capacity"] = {{"cpu_milli", options.capacity.cpu.value()},
                     {"memory_mib", options.capacity.memory.value()},
                     {"accelerators", options.capacity.accelerators.value()},
                     {"slots", 0}};
  return Serve(&standin, arguments, signals, row);
}

int RunExecutor(const Arguments& arguments, const sigset_t& signals, const Clock* clock,
                EventLog* events) {
  ExecutorOptions options;
  options.id = ExecutorId(Text(arguments, "--id"));
  options.boot = BootOf(arguments);
  options.slots = Number(arguments, "--slots");
  options.max_connections = static_cast<int>(Number(arguments, "--connections"));
  ExecutorStandin standin(options, clock, events);
  nlohmann::json row = VmRow(arguments, "executor", "");
  row["capacity"] = {
      {"cpu_milli", 0}, {"memory_mib", 0}, {"accelerators", 0}, {"slots", options.slots}};
  row["max_connections"] = options.max_connections;
  return Serve(&standin, arguments, signals, row);
}

int Main(int argc, char** argv) {
  const Arguments arguments =
      docopt::docopt(kUsage, std::vector<std::string>(argv + 1, argv + argc), /*help=*/true);
  // Block the signals before any thread starts, so that all threads inherit the mask and only
  // sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const SystemClock clock;
  HybridClock hybrid_clock(&clock);
  if (arguments.at("store").asBool()) {
    StoreStandin standin(&clock, &hybrid_clock);
    return Serve(&standin, arguments, signals, {{"standin", "store"}});
  }
  if (arguments.at("vmlist").asBool()) {
    return RunVmList(arguments, signals, &clock, &hybrid_clock);
  }
  EventLog events(Text(arguments, "--id"), &hybrid_clock, MakeLogSink(Text(arguments, "--events")));
  return arguments.at("worker").asBool() ? RunWorker(arguments, signals, &clock, &events)
                                         : RunExecutor(arguments, signals, &clock, &events);
}

}  // namespace
}  // namespace pomelotray

int main(int argc, char** argv) { return pomelotray::Main(argc, argv); }
