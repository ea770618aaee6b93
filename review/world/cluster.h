#ifndef POMELOTRAY_REVIEW_WORLD_CLUSTER_H_
#define POMELOTRAY_REVIEW_WORLD_CLUSTER_H_

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "review/world/record.h"
#include "review/world/store.h"
#include "review/world/worker.h"

namespace review {

// A small deployment on loopback: instances of the system as separate processes, the store and
// workers as stand-ins in this process, and clients.
class Cluster {
 public:
  // `folder` takes settings files, logs and record.txt.
  Cluster(const std::string& record_path, std::string scratch_folder);

  // Writes op/config with one queue of the service `mostrador`.
  void Configure(int max_attempts);
  void StartInstances(int count);
  void KillInstance(int index);
  void KillAllInstances();
  // Returns how many instances have ended by themselves, and records each.
  int CountOwnEnds();
  void FreezeInstance(int index, bool frozen);
  Worker* AddWorker(const WorkerSettings& settings);
  // Returns whether all instances answer their readiness probe with 200 within `limit_ms`, and the
  // service has an owner.
  bool WaitUntilReady(int64_t limit_ms);
  // Returns the number of the instance that holds the claim of the service, or -1.
  int Owner() const;
  // Sends a job until it is accepted or `limit_ms` have passed; returns the last status.
  int Submit(const std::string& id, const nlohmann::json& job, int64_t limit_ms);
  // Asks for a job's state at each running instance in turn until one answers with 200 or 410.
  // Returns the state, "410", or an empty string.
  std::string State(const std::string& id);
  // Waits until the job is shown in a final state, as 410, or `limit_ms` have passed; returns the
  // last state.
  std::string WaitForEnd(const std::string& id, int64_t limit_ms);

  Store& store() { return store_; }
  Record& record() { return record_; }
  int instance_count() const { return static_cast<int>(instances_.size()); }

 private:
  struct Instance {
    std::string name;
    pid_t pid = 0;
    bool up = false;
    bool ended_itself = false;
    int front_port = 0;
    int ready_port = 0;
  };

  // The file lists the processes of the instances for as long as they may run, so that run-case.sh
  // can end them.
  std::string PidsPath() const { return scratch_ + "/pids"; }
  HttpResult CallFront(const std::string& method, const std::string& id, const std::string& body);

  Record record_;
  const std::string scratch_;
  Store store_;
  std::vector<Instance> instances_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::atomic<size_t> next_instance_{0};
};

// Returns a job of one step.
nlohmann::json OneStepJob(int tasks, int64_t cpu, int64_t memory_mb, int64_t duration_ms);
// Returns the id of job `number`.
std::string JobId(int number);
bool WaitFor(int64_t limit_ms, const std::function<bool()>& condition);

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_CLUSTER_H_
