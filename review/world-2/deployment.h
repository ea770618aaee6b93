#ifndef POMELOTRAY_REVIEW_WORLD_2_DEPLOYMENT_H_
#define POMELOTRAY_REVIEW_WORLD_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/world-2/record.h"
#include "review/world-2/store.h"
#include "review/world-2/worker.h"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Answer of a caller's request; status 0 means that there was none.
struct Answer {
  int status = 0;
  std::string body;
};

// One process of the system, started with the command of the deploy file.
class Instance {
 public:
  Instance(std::string name, std::string folder, std::string store_address, Record* record);
  ~Instance();

  bool Start();
  void Signal(int number);
  // Waits for the end of the process. Returns false if it still runs after the time.
  bool WaitForEnd(int ms);
  bool IsReady() const;
  Answer Call(const std::string& method, const std::string& path, const std::string& body) const;
  const std::string& name() const { return name_; }

 private:
  const std::string name_;
  const std::string folder_;
  const std::string store_address_;
  Record* const record_;
  std::string ip_;
  int front_ = 0;
  int ready_ = 0;
  int control_ = 0;
  int first_peer_ = 0;
  pid_t pid_ = -1;
};

struct Queue {
  std::string name;
  std::string service;
  int priority = 1;
};

// A small deployment: a store, workers and instances. The paths of a queue begin with its name.
class Deployment {
 public:
  // `folder` is for settings files and logs of the instances.
  Deployment(std::string folder, Record* record);

  bool StartStore() { return store_.Start(); }
  // Writes the first configuration.
  void Configure(const std::vector<Queue>& queues);
  Worker* AddWorker(const WorkerSpec& spec);
  Instance* AddInstance(const std::string& name);
  // Waits until the instance reports that it is ready.
  bool WaitUntilReady(const Instance& instance, int ms) const;

  // Hands a job in as a client does: after no answer, 502 or 504 it sends the same request again.
  Answer Submit(const std::vector<const Instance*>& instances, const std::string& queue,
                const std::string& job, const nlohmann::json& body);
  Answer Ask(const Instance& instance, const std::string& queue, const std::string& job);

  Store* store() { return &store_; }
  const RunLog& runs() const { return runs_; }
  Record* record() { return record_; }

 private:
  const std::string folder_;
  Record* const record_;
  Store store_;
  RunLog runs_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Instance>> instances_;
};

void SleepMs(int64_t ms);
// Whether the case is to be run with its disruption.
bool HasTrouble();
// A job of one step whose tasks run for `ms` milliseconds.
nlohmann::json SimpleJob(int count, int64_t cpu, int64_t ms);

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_2_DEPLOYMENT_H_
