#ifndef TESTS_PROCESSES_DEPLOYMENT_H_
#define TESTS_PROCESSES_DEPLOYMENT_H_

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "history/history_checker.h"
#include "tests/processes/child_process.h"

namespace pomelotray {

// Status 0: no answer.
struct ApiAnswer {
  int status = 0;
  std::string body;
  // Discarded when the body is not JSON.
  nlohmann::json json;

  std::string ErrorKind() const;
};

struct CommandResult {
  int code = -1;
  std::string out;
  std::string err;
};

struct OwnerView {
  std::string instance;
  int64_t term = 0;
};

// Instances cuenca-1, cuenca-2 and azogues-1 in region sierra and guayaquil-1 in region coast, with
// a store, a VM list, the workers of pool "counter" and the executors of pool "quoting", all as
// separate processes on 127.0.0.1. The customer "sign-shop" has its home in cuenca. Call() may be
// used from many threads, everything else from one.
class Deployment {
 public:
  // Returns when all instances are ready and all shards have an owner; throws when they are not in
  // time. `daemon_flags` are given to each instance. With `failing_worker`, every task on
  // counter-cuenca-1 fails.
  explicit Deployment(const std::vector<std::string>& daemon_flags = {},
                      bool failing_worker = false);
  ~Deployment();

  static std::vector<std::string> InstanceIds();
  ChildProcess* Instance(const std::string& id) { return processes_.at(id).get(); }
  ChildProcess* Worker(const std::string& id) { return processes_.at(id).get(); }

  ApiAnswer Call(const std::string& instance, const std::string& method, const std::string& path,
                 const std::string& body = "",
                 const std::map<std::string, std::string>& headers = {}) const;
  // Sends an interactive request.
  ApiAnswer Ask(const std::string& instance, const std::string& request, int64_t service_ms) const;
  // True when the answer carries this request's id and the digest of its body.
  static bool IsAnswerTo(const std::string& request, int64_t service_ms, const ApiAnswer& answer);
  bool AskAndCheck(const std::string& instance, const std::string& request,
                   int64_t service_ms) const;
  // Submits with the same key until the job is accepted; empty when it is not accepted in time.
  std::string SubmitUntilAccepted(const std::string& instance, const nlohmann::json& job,
                                  absl::Duration limit) const;
  // The last known state of a job; the call ends when it is final or the time is over.
  std::string WaitForFinal(const std::string& instance, const std::string& job,
                           absl::Duration limit) const;
  CommandResult Cli(const std::string& instance, const std::vector<std::string>& arguments);
  // Runs several command lines at the same time, each against the instance before it.
  std::vector<CommandResult> CliTogether(
      const std::vector<std::pair<std::string, std::vector<std::string>>>& commands);

  // Owner of a shard by the claim in the store; empty when there is no claim or no store.
  std::optional<OwnerView> Owner(const std::string& shard) const;
  // Waits until the claim names another owner than `instance`.
  std::optional<OwnerView> WaitForOtherOwner(const std::string& shard, const std::string& instance,
                                             absl::Duration limit) const;
  // Sends a call for tests to the stand-in "store", "vmlist" or of a VM.
  ApiAnswer CallStandin(const std::string& name, const std::string& method, const std::string& path,
                        const nlohmann::json& body) const;

  const nlohmann::json& contract() const { return contract_; }
  std::string WriteFile(const std::string& name, const std::string& text) const;

  // The recorded events of all processes so far.
  std::vector<Event> Events() const;
  // Checks the recorded events, of which no job may be unfinished.
  HistoryReport Check() const;
  // Ends all instances with SIGTERM; each exit code, -1 for an instance that did not end in time.
  std::map<std::string, int> StopInstances();

 private:
  struct Vm {
    std::string id;
    std::string role;
    std::string region;
    std::string domain;
    std::string pool;
    std::vector<std::string> flags;
  };

  void StartStandin(const std::string& name, std::vector<std::string> arguments);
  void StartVm(const Vm& vm);
  void StartInstances(const std::vector<std::string>& daemon_flags);
  std::unique_ptr<ChildProcess> Spawn(const std::string& name, std::vector<std::string> arguments);
  std::string Path(const std::string& file) const { return (folder_ / file).string(); }

  std::filesystem::path folder_;
  std::string programs_;
  nlohmann::json contract_;
  nlohmann::json vm_rows_ = nlohmann::json::array();
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  int command_count_ = 0;
};

// Polls until `condition` holds; false when the time is over.
bool WaitUntil(absl::Duration limit, const std::function<bool()>& condition);
// A job of sign-shop in pool counter: one core a task.
nlohmann::json JobOf(const std::string& key, const std::string& kind, int64_t run_ms,
                     bool repeatable);

}  // namespace pomelotray

#endif  // TESTS_PROCESSES_DEPLOYMENT_H_
