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

// Answer to an HTTP call. The status is 0 if there was no answer.
struct ApiAnswer {
  int status = 0;
  std::string body;
  // The parsed body; a discarded value if the body is not JSON.
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

// Starts a complete deployment as separate processes on 127.0.0.1: the instances cuenca-1, cuenca-2
// and azogues-1 in region sierra and guayaquil-1 in region coast, and stand-ins for the store, the
// VM list, the workers of pool "counter" and the executors of pool "quoting". The home domain of
// the customer "sign-shop" is cuenca. Call() may be used by several threads at the same time, all
// other functions by one thread only.
class Deployment {
 public:
  // Returns when all instances are ready and the shards have owners; throws if that takes too long.
  // `daemon_flags` are passed to each instance. With `failing_worker`, every task on the worker
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
  // Sends an interactive request to the pool "quoting".
  ApiAnswer SendQuotingRequest(const std::string& instance, const std::string& request,
                               int64_t service_ms) const;
  // Returns whether the answer carries the id of the request and the digest of its body.
  static bool IsAnswerTo(const std::string& request, int64_t service_ms, const ApiAnswer& answer);
  bool SendAndVerifyRequest(const std::string& instance, const std::string& request,
                            int64_t service_ms) const;
  // Submits the job with the same key until it is accepted and returns its id; empty if it is not
  // accepted in time.
  std::string SubmitUntilAccepted(const std::string& instance, const nlohmann::json& job,
                                  absl::Duration limit) const;
  // Waits until the job has a final state or `limit` has passed; returns the last known state.
  std::string WaitForFinalState(const std::string& instance, const std::string& job,
                                absl::Duration limit) const;
  CommandResult RunCli(const std::string& instance, const std::vector<std::string>& arguments);
  // Runs several commands of the command-line client at the same time. Each is a pair of the
  // instance to address and the arguments.
  std::vector<CommandResult> RunCliConcurrently(
      const std::vector<std::pair<std::string, std::vector<std::string>>>& commands);

  // Returns the owner of a shard as claimed in the store; empty if there is no claim or the store
  // does not answer.
  std::optional<OwnerView> Owner(const std::string& shard) const;
  // Waits until the claim in the store names an owner other than `instance`.
  std::optional<OwnerView> WaitForOtherOwner(const std::string& shard, const std::string& instance,
                                             absl::Duration limit) const;
  // Sends a call to the test interface of a stand-in: "store", "vmlist" or the id of a VM.
  ApiAnswer CallStandin(const std::string& name, const std::string& method, const std::string& path,
                        const nlohmann::json& body) const;

  const nlohmann::json& contract() const { return contract_; }
  std::string WriteFile(const std::string& name, const std::string& text) const;

  // Returns the events that all processes have recorded so far.
  std::vector<Event> Events() const;
  // Checks the recorded events with the history checker; an unfinished job is a violation.
  HistoryReport Check() const;
  // Ends all instances with SIGTERM and returns their exit codes; -1 for an instance that did not
  // end in time.
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
  std::string program_folder_;
  nlohmann::json contract_;
  nlohmann::json vm_rows_ = nlohmann::json::array();
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  int command_count_ = 0;
};

// Polls until `condition` holds; returns false if it does not within `limit`.
bool WaitUntil(absl::Duration limit, const std::function<bool()>& condition);
// Returns a job of the customer "sign-shop" for pool "counter" that needs one core per task.
nlohmann::json MakeCounterJob(const std::string& key, const std::string& kind, int64_t run_ms,
                              bool repeatable);

}  // namespace pomelotray

#endif  // TESTS_PROCESSES_DEPLOYMENT_H_
