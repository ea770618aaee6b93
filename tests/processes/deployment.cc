#include "tests/processes/deployment.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "history/merge_timelines.h"
#include "model/sha256.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kStartLimit = absl::Seconds(15);
constexpr absl::Duration kStopLimit = absl::Seconds(10);
constexpr absl::Duration kCommandLimit = absl::Seconds(10);
constexpr absl::Duration kPollInterval = absl::Milliseconds(50);
constexpr int kConnectTimeoutSeconds = 2;
constexpr int kReadTimeoutSeconds = 10;
constexpr char kOperatorToken[] = "operator-of-the-test";
constexpr char kPeerKey[] = "key-of-the-test";

struct InstanceLocation {
  const char* instance;
  const char* region;
  const char* domain;
};
constexpr InstanceLocation kInstances[] = {{"cuenca-1", "sierra", "cuenca"},
                                           {"cuenca-2", "sierra", "cuenca"},
                                           {"azogues-1", "sierra", "azogues"},
                                           {"guayaquil-1", "coast", "guayaquil"}};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns a loopback address with a port that was free at the time of the call.
std::string FreeAddress() {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  (void)bind(listener, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  close(listener);
  return absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
}

ApiAnswer Send(const std::string& address, const std::string& method, const std::string& path,
               const std::string& body, const std::map<std::string, std::string>& headers) {
  httplib::Client client(absl::StrCat("http://", address));
  client.set_connection_timeout(kConnectTimeoutSeconds);
  client.set_read_timeout(kReadTimeoutSeconds);
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  for (const auto& [name, value] : headers) {
    request.set_header(name, value);
  }
  const httplib::Result result = client.send(request);
  ApiAnswer answer;
  if (result) {
    answer.status = result->status;
    answer.body = result->body;
    answer.json = nlohmann::json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  }
  return answer;
}

std::string RequestBody(const std::string& request, int64_t service_ms) {
  return nlohmann::json{{"service_ms", service_ms}, {"text", request}}.dump();
}

nlohmann::json SignShopContract() {
  return {
      {"customer", "sign-shop"},
      {"hold",
       {{"cpu_millicores", 640000}, {"memory_mib", 2621440}, {"accelerators", 0}, {"slots", 160}}},
      {"rate_per_second", 1000},
      {"burst", 2000},
      {"weight", 2},
      {"max_jobs", 500},
      {"default_deadline_ms", 600000},
      {"max_deadline_ms", 86400000},
      {"allow_urgent", true},
      {"allow_requests", true},
      {"kinds", {"batch", "gang", "service"}},
      {"pools", {"counter", "quoting"}},
      {"home_domains", {"cuenca"}}};
}

}  // namespace

std::string ApiAnswer::ErrorKind() const {
  return json.is_object() && json.contains("error") ? json["error"].value("kind", "") : "";
}

bool WaitUntil(absl::Duration limit, const std::function<bool()>& condition) {
  const absl::Time deadline = absl::Now() + limit;
  while (!condition()) {
    if (absl::Now() >= deadline) {
      return false;
    }
    absl::SleepFor(kPollInterval);
  }
  return true;
}

nlohmann::json MakeCounterJob(const std::string& key, const std::string& kind, int64_t run_ms,
                              bool repeatable) {
  nlohmann::json payload = nlohmann::json::object();
  if (run_ms > 0) {
    payload["run_ms"] = run_ms;
  }
  return {{"customer", "sign-shop"},
          {"key", key},
          {"kind", kind},
          {"pool", "counter"},
          {"task_count", kind == "gang" ? 2 : 1},
          {"demand", {{"cpu_millicores", 1000}, {"memory_mib", 512}}},
          {"repeatable", repeatable},
          {"payload", payload.dump()}};
}

Deployment::Deployment(const std::vector<std::string>& daemon_flags, bool failing_worker)
    : contract_(SignShopContract()) {
  const char* const program_folder = std::getenv("POMELOTRAY_BIN_DIR");
  if (program_folder == nullptr) {
    throw std::runtime_error(
        "POMELOTRAY_BIN_DIR is not set; set it to the folder that holds the programs.");
  }
  program_folder_ = program_folder;
  std::string pattern = (std::filesystem::temp_directory_path() / "pomelotray-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("The temporary folder cannot be created.");
  }
  folder_ = pattern;
  StartStandin("store", {"store"});
  std::vector<std::string> first_worker_flags;
  if (failing_worker) {
    first_worker_flags.emplace_back("--fail-all-starts");
  }
  StartVm({"counter-cuenca-1", "worker", "sierra", "cuenca", "counter", first_worker_flags});
  StartVm({"counter-cuenca-2", "worker", "sierra", "cuenca", "counter", {}});
  StartVm({"counter-azogues-1", "worker", "sierra", "azogues", "counter", {}});
  StartVm({"quote-cuenca-1", "executor", "sierra", "cuenca", "quoting", {}});
  StartVm({"quote-cuenca-2", "executor", "sierra", "cuenca", "quoting", {}});
  StartInstances(daemon_flags);
}

Deployment::~Deployment() {
  for (const auto& [name, process] : processes_) {
    process->Signal(SIGKILL);
  }
  processes_.clear();
  if (std::getenv("POMELOTRAY_KEEP_FILES") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::vector<std::string> Deployment::InstanceIds() {
  std::vector<std::string> ids;
  for (const InstanceLocation& location : kInstances) {
    ids.emplace_back(location.instance);
  }
  return ids;
}

std::unique_ptr<ChildProcess> Deployment::Spawn(const std::string& name,
                                                std::vector<std::string> arguments) {
  arguments[0] = absl::StrCat(program_folder_, "/", arguments[0]);
  const std::vector<std::string> environment = {
      absl::StrCat("POMELOTRAY_OPERATOR_TOKEN=", kOperatorToken),
      absl::StrCat("POMELOTRAY_TOKEN=", kOperatorToken),
      absl::StrCat("POMELOTRAY_PEER_KEY=", kPeerKey)};
  return std::make_unique<ChildProcess>(std::move(arguments), environment, Path(name + ".out"),
                                        Path(name + ".err"));
}

void Deployment::StartStandin(const std::string& name, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "pomelotray-standin");
  processes_[name] = Spawn(name, std::move(arguments));
  const bool started = WaitUntil(kStartLimit, [&] {
    const nlohmann::json ready =
        nlohmann::json::parse(ReadFile(Path(name + ".out")), nullptr, /*allow_exceptions=*/false);
    if (!ready.is_object()) {
      return false;
    }
    addresses_[name] = ready.value("address", "");
    return true;
  });
  if (!started) {
    throw std::runtime_error(
        absl::StrCat("The stand-in ", name, " did not start: ", ReadFile(Path(name + ".err"))));
  }
}

void Deployment::StartVm(const Vm& vm) {
  std::vector<std::string> arguments = {vm.role, absl::StrCat("--id=", vm.id),
                                        absl::StrCat("--events=", Path(vm.id + ".events"))};
  arguments.insert(arguments.end(), vm.flags.begin(), vm.flags.end());
  StartStandin(vm.id, std::move(arguments));
  nlohmann::json row = {
      {"id", vm.id},      {"role", vm.role}, {"region", vm.region},         {"domain", vm.domain},
      {"rack", "rack-1"}, {"pool", vm.pool}, {"address", addresses_[vm.id]}};
  if (vm.role == "worker") {
    row["capacity"] = {
        {"cpu_milli", 16000}, {"memory_mib", 32768}, {"accelerators", 0}, {"slots", 0}};
  } else {
    row["capacity"] = {{"cpu_milli", 0}, {"memory_mib", 0}, {"accelerators", 0}, {"slots", 8}};
    row["max_connections"] = 64;
  }
  vm_rows_.push_back(row);
}

void Deployment::StartInstances(const std::vector<std::string>& daemon_flags) {
  std::map<std::string, std::string> peers;
  for (const InstanceLocation& location : kInstances) {
    addresses_[location.instance] = FreeAddress();
    peers[location.instance] = FreeAddress();
    vm_rows_.push_back({{"id", location.instance},
                        {"role", "entry"},
                        {"address", peers[location.instance]},
                        {"region", location.region},
                        {"domain", location.domain}});
  }
  WriteFile("vms.json", nlohmann::json{{"vms", vm_rows_}}.dump());
  StartStandin("vmlist", {"vmlist", absl::StrCat("--file=", Path("vms.json"))});
  for (const InstanceLocation& location : kInstances) {
    const std::string id = location.instance;
    std::vector<std::string> arguments = {"pomelotrayd",
                                          "--instance-id=" + id,
                                          absl::StrCat("--region=", location.region),
                                          absl::StrCat("--failure-domain=", location.domain),
                                          "--api-address=" + addresses_[id],
                                          "--peer-address=" + peers[id],
                                          "--store-address=" + addresses_["store"],
                                          "--vm-list-address=" + addresses_["vmlist"],
                                          "--drain-delay=200ms",
                                          "--log-file=" + Path(id + ".events")};
    arguments.insert(arguments.end(), daemon_flags.begin(), daemon_flags.end());
    processes_[id] = Spawn(id, std::move(arguments));
  }
  const std::string contract = WriteFile("contract.json", contract_.dump());
  const bool applied = WaitUntil(kStartLimit, [&] {
    return RunCli("cuenca-1", {"contract", "apply", contract}).code == 0;
  });
  const bool ready =
      applied && WaitUntil(kStartLimit, [&] {
        for (const InstanceLocation& location : kInstances) {
          if (Call(location.instance, "GET", "/readyz").status != 200 ||
              Call(location.instance, "GET", "/v1/contracts/sign-shop").status != 200) {
            return false;
          }
        }
        // Requests and jobs are served only once their shards have owners that
        // have fenced the upstreams.
        return Owner("cuenca/counter").has_value() && Owner("azogues/counter").has_value() &&
               SendAndVerifyRequest("guayaquil-1", "start", 1);
      });
  if (!ready) {
    throw std::runtime_error(
        absl::StrCat("The instances did not become ready in time. Standard error of cuenca-1: ",
                     ReadFile(Path("cuenca-1.err"))));
  }
}

ApiAnswer Deployment::Call(const std::string& instance, const std::string& method,
                           const std::string& path, const std::string& body,
                           const std::map<std::string, std::string>& headers) const {
  std::map<std::string, std::string> all = headers;
  all["Authorization"] = absl::StrCat("Bearer ", kOperatorToken);
  return Send(addresses_.at(instance), method, path, body, all);
}

ApiAnswer Deployment::CallStandin(const std::string& name, const std::string& method,
                                  const std::string& path, const nlohmann::json& body) const {
  return Send(addresses_.at(name), method, path, body.dump(), {});
}

ApiAnswer Deployment::SendQuotingRequest(const std::string& instance, const std::string& request,
                                         int64_t service_ms) const {
  return Call(instance, "POST", "/v1/requests/quoting", RequestBody(request, service_ms),
              {{"Pomelotray-Request-Id", request},
               {"Pomelotray-Customer", "sign-shop"},
               {"Pomelotray-Timeout-Ms", "8000"}});
}

bool Deployment::IsAnswerTo(const std::string& request, int64_t service_ms,
                            const ApiAnswer& answer) {
  const std::string digest = Sha256Hex(RequestBody(request, service_ms));
  return answer.status == 200 &&
         answer.json == nlohmann::json{{"request", request}, {"digest", digest}};
}

bool Deployment::SendAndVerifyRequest(const std::string& instance, const std::string& request,
                                      int64_t service_ms) const {
  return IsAnswerTo(request, service_ms, SendQuotingRequest(instance, request, service_ms));
}

std::string Deployment::SubmitUntilAccepted(const std::string& instance, const nlohmann::json& job,
                                            absl::Duration limit) const {
  std::string id;
  WaitUntil(limit, [&] {
    const ApiAnswer answer = Call(instance, "POST", "/v1/jobs", job.dump());
    if (answer.status == 200) {
      id = answer.json.value("id", "");
    }
    return !id.empty();
  });
  return id;
}

std::string Deployment::WaitForFinalState(const std::string& instance, const std::string& job,
                                          absl::Duration limit) const {
  std::string state = "none";
  WaitUntil(limit, [&] {
    const ApiAnswer answer = Call(instance, "GET", "/v1/jobs/" + job);
    if (answer.status == 200) {
      state = answer.json.value("state", "");
    }
    return state != "none" && state != "queued" && state != "running";
  });
  return state;
}

CommandResult Deployment::RunCli(const std::string& instance,
                                 const std::vector<std::string>& arguments) {
  return RunCliConcurrently({{instance, arguments}}).front();
}

std::vector<CommandResult> Deployment::RunCliConcurrently(
    const std::vector<std::pair<std::string, std::vector<std::string>>>& commands) {
  std::vector<std::pair<std::string, std::unique_ptr<ChildProcess>>> running;
  for (const auto& [instance, arguments] : commands) {
    std::vector<std::string> all = {"pomelotray", "--address=" + addresses_.at(instance)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    const std::string name = absl::StrCat("command-", ++command_count_);
    running.emplace_back(name, Spawn(name, std::move(all)));
  }
  std::vector<CommandResult> results;
  for (const auto& [name, process] : running) {
    const int code = process->Wait(kCommandLimit).value_or(-1);
    results.push_back({code, ReadFile(Path(name + ".out")), ReadFile(Path(name + ".err"))});
  }
  return results;
}

std::optional<OwnerView> Deployment::Owner(const std::string& shard) const {
  const ApiAnswer answer = CallStandin("store", "POST", "/store/get", {{"key", "shards/" + shard}});
  std::string text;
  if (answer.status != 200 || !answer.json.is_object() || !answer.json["entry"].is_object() ||
      !absl::Base64Unescape(answer.json["entry"].value("value", ""), &text)) {
    return std::nullopt;
  }
  const nlohmann::json claim = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!claim.is_object() || claim.value("owner", "").empty()) {
    return std::nullopt;
  }
  return OwnerView{claim.value("owner", ""), claim.value("term", int64_t{0})};
}

std::optional<OwnerView> Deployment::WaitForOtherOwner(const std::string& shard,
                                                       const std::string& instance,
                                                       absl::Duration limit) const {
  std::optional<OwnerView> owner;
  const bool changed = WaitUntil(limit, [&] {
    owner = Owner(shard);
    return owner.has_value() && owner->instance != instance;
  });
  return changed ? owner : std::nullopt;
}

std::string Deployment::WriteFile(const std::string& name, const std::string& text) const {
  std::ofstream(Path(name)) << text;
  return Path(name);
}

std::vector<Event> Deployment::Events() const {
  std::vector<Event> events;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(folder_)) {
    if (entry.path().extension() == ".events") {
      std::ifstream file(entry.path());
      const ReadEventsResult read = ReadEvents(&file);
      events.insert(events.end(), read.events.begin(), read.events.end());
    }
  }
  return events;
}

HistoryReport Deployment::Check() const {
  return HistoryChecker::Builder().Build().Check(Events());
}

std::map<std::string, int> Deployment::StopInstances() {
  std::map<std::string, int> codes;
  for (const InstanceLocation& location : kInstances) {
    processes_.at(location.instance)->Signal(SIGTERM);
  }
  for (const InstanceLocation& location : kInstances) {
    codes[location.instance] = processes_.at(location.instance)->Wait(kStopLimit).value_or(-1);
  }
  return codes;
}

}  // namespace pomelotray
