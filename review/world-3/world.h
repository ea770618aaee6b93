#ifndef REVIEW_WORLD_3_WORLD_H_
#define REVIEW_WORLD_3_WORLD_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/world-3/http_server.h"

namespace world {

// Milliseconds since the start of the program, and since 1970.
int64_t NowMs();
int64_t UnixMs();
void SleepMs(int64_t ms);

// The record of what was sent, answered and run. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// Stand-in for the platform's store, by the section "The platform's metadata store" of PROTOCOL.md.
class Store {
 public:
  Store();
  ~Store();

  std::string address() const { return server_->address(); }
  // Writes of the operator and of the workers.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Get(const std::string& key);
  std::map<std::string, std::string> List(const std::string& prefix);
  // The store accepts calls, but answers none and does nothing ("silent"), until it is up again.
  void SetSilent(bool silent);
  void SetDelayMs(int64_t delay_ms);
  // The next transaction that writes a key with `part` in it gets no answer. It is carried out
  // after `late_ms`, if its condition still holds then.
  void LoseNextWrite(const std::string& part, int64_t late_ms);

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    bool deleted = false;
    Item item;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t expires_ms = 0;
  };

  HttpAnswer Handle(const HttpCall& call);
  HttpAnswer Watch(const HttpCall& call);
  HttpAnswer Commit(const nlohmann::json& transaction);
  nlohmann::json Range(const HttpCall& call);
  static nlohmann::json ItemJson(const std::string& key, const Item& item);
  bool IsToBeLost(const nlohmann::json& transaction);
  void EndLeases();
  void EndLease(int64_t lease);
  void Write(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool silent_ = false;
  bool stopping_ = false;
  int64_t delay_ms_ = 0;
  std::string lost_part_;
  int64_t late_ms_ = 0;
  int64_t revision_ = 100;
  int64_t next_lease_ = 7;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::map<int64_t, Lease> leases_;
  std::unique_ptr<HttpServer> server_;
};

// What the workers of a case have seen together. Thread-safe.
class Runs {
 public:
  struct Run {
    std::string worker;
    std::string task;
    int64_t run = 0;
    int64_t started_ms = 0;
    int64_t ended_ms = -1;
    std::string how;
  };

  explicit Runs(Record* record) : record_(record) {}
  void Started(const std::string& worker, const std::string& task, int64_t run);
  // `how` is one of the ends of PROTOCOL.md, or "crash" if the worker was lost with the run.
  void Ended(const std::string& worker, const std::string& task, int64_t run,
             const std::string& how);
  std::vector<Run> All() const;

 private:
  Record* const record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

// Stand-in for an executor, by the sections "Running tasks" and "Service discovery" of PROTOCOL.md.
// The job's spec says how long a task runs: "ms=<n>".
class Worker {
 public:
  struct Shape {
    std::string id;
    std::string service;
    int64_t cpu = 16'000;
    int64_t stop_ms = 200;
  };

  Worker(Shape shape, Store* store, Runs* runs);
  ~Worker();

  const std::string& id() const { return shape_.id; }
  // Ends the process as a crash does. The entry stays until three heartbeats have been missed.
  void Crash();
  // Starts the next process under the same id, at the same address.
  void Start();
  bool IsUp() const;

 private:
  struct Task {
    int64_t run = 0;
    int64_t end_ms = 0;
    int64_t stop_at_ms = -1;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  void Loop();
  HttpAnswer Handle(const HttpCall& call);
  HttpAnswer RunStart(const nlohmann::json& order);
  HttpAnswer RunStop(const nlohmann::json& order);
  HttpAnswer Hold(const nlohmann::json& order);
  bool IsFenced(const nlohmann::json& order);
  HttpAnswer Reply(int status, nlohmann::json body) const;
  nlohmann::json Lists() const;
  int64_t ClockMs() const { return NowMs() - started_ms_; }
  void Advance();
  void EndTask(const std::string& task, const std::string& how);
  void PublishEntry();

  const Shape shape_;
  Store* const store_;
  Runs* const runs_;
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  bool stopping_ = false;
  bool up_ = false;
  int64_t life_ = 0;
  int64_t started_ms_ = 0;
  int64_t born_ms_ = 0;
  int64_t heartbeat_ms_ = 0;
  int64_t sequence_ = 0;
  int64_t token_ = 0;
  int64_t lease_end_ms_ = 0;
  int64_t next_end_ = 1;
  std::map<std::string, Task> running_;
  std::map<std::string, int64_t> last_ended_;
  std::deque<End> ends_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

// The processes of the system, started with the command of the deploy file.
class Instances {
 public:
  Instances(int count, const std::string& store_address, const std::string& folder, Record* record);
  ~Instances();

  int size() const { return static_cast<int>(instances_.size()); }
  const std::string& front(int index) const { return instances_[index].front; }
  void Start(int index);
  // Sends the signal. After SIGKILL the end of the process is waited for.
  void Signal(int index, int number);
  bool IsReady(int index) const;
  // Returns the index of the instance that the stored claim names, or -1.
  static int OwnerIn(const std::string& claim);

 private:
  struct Instance {
    std::string front;
    std::string ready;
    std::string settings;
    std::string log;
    pid_t pid = -1;
  };

  Record* const record_;
  std::vector<Instance> instances_;
};

// A client of the system. Thread-safe.
class Client {
 public:
  Client(const Instances* instances, Record* record) : instances_(instances), record_(record) {}
  // Hands the job in, at one instance after the other, as the page allows. Returns whether it was
  // accepted.
  bool Submit(const std::string& prefix, const std::string& id, const std::string& spec,
              const nlohmann::json& steps);
  // Sends one request and waits for `deadline_ms`. Returns the status, 0 for no answer.
  int SubmitOnce(const std::string& prefix, const std::string& id, const std::string& spec,
                 const nlohmann::json& steps, int deadline_ms);
  // Returns the state, or the status of the answer as text; "0" for no answer.
  std::string StateOf(const std::string& prefix, const std::string& id);
  int Cancel(const std::string& prefix, const std::string& id);

 private:
  HttpAnswer Send(const std::string& method, const std::string& path, const std::string& body,
                  int deadline_ms = 3000);

  const Instances* const instances_;
  Record* const record_;
  std::mutex mutex_;
  int next_ = 0;
};

inline constexpr char kHost[] = "case.example";

// A configuration with the given routes.
std::string RoutesTo(const std::map<std::string, std::string>& services_by_prefix, int64_t version,
                     const std::vector<std::string>& services, int max_attempts = 3);
// A configuration with one route for each service, at the prefix "/<service>/".
std::string Configuration(int64_t version, const std::vector<std::string>& services,
                          int max_attempts);

}  // namespace world

#endif  // REVIEW_WORLD_3_WORLD_H_
