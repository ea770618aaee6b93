#ifndef POMELOTRAY_REVIEW_WORLD_2_WORKER_H_
#define POMELOTRAY_REVIEW_WORLD_2_WORKER_H_

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "review/world-2/http_server.h"
#include "review/world-2/record.h"
#include "review/world-2/store.h"

namespace review {

struct WorkerSpec {
  std::string id;
  std::string service;
  std::vector<std::string> labels;
  int64_t cpu = 16000;
};

// A task that was started: its name, run number, worker and times.
struct StartedRun {
  std::string task;
  int64_t run = 0;
  std::string worker;
  int64_t started_ms = 0;
  int64_t ended_ms = -1;
  std::string how;
};

// What all workers have run.
class RunLog {
 public:
  size_t Add(const StartedRun& run);
  void End(size_t index, int64_t at_ms, const std::string& how);
  std::vector<StartedRun> All() const;
  // Number of starts of tasks of the job.
  int StartsOf(const std::string& job) const;

 private:
  mutable std::mutex mutex_;
  std::vector<StartedRun> runs_;
};

// An executor that starts whatever it is told to start. The spec of a job holds the run time of its
// tasks in milliseconds, or "lasts". It is sound: it checks fencing tokens, leases and run numbers,
// and lists its ends until they are taken note of.
class Worker {
 public:
  Worker(WorkerSpec spec, Store* store, RunLog* log, Record* record, int64_t max_hold_ms);
  ~Worker();

  bool Start();
  // The process ends without a word; the entry in the store ends after three heartbeats.
  void Crash();
  // It starts again at its address, under its id, with nothing of before.
  bool Restart();
  // The host loses power: nothing arrives any more and nothing is answered; connections stay open.
  void GoDark();
  const std::string& id() const { return spec_.id; }

 private:
  struct Run {
    std::string task;
    int64_t number = 0;
    int64_t duration_ms = 0;
    bool lasts = false;
    int64_t started_ms = 0;
    size_t log_index = 0;
  };

  std::optional<Reply> Handle(const Request& request);
  Reply StartRun(const nlohmann::json& order);
  Reply StopRun(const nlohmann::json& order);
  std::optional<Reply> Hold(const nlohmann::json& order);
  void Loop();
  // The methods below are called with mutex_ held.
  int64_t ClockMs() const { return record_->NowMs() - started_at_; }
  bool IsFenced(const nlohmann::json& order);
  void ExtendLease(const nlohmann::json& order);
  void Advance();
  void Finish(const std::string& task, const std::string& how);
  void EndAll(const std::string& how);
  nlohmann::json Entry();

  const WorkerSpec spec_;
  Store* const store_;
  RunLog* const log_;
  Record* const record_;
  const int64_t max_hold_ms_;
  HttpServer server_;
  std::mutex mutex_;
  bool stopping_ = false;
  bool up_ = false;
  bool dark_ = false;
  int64_t life_ = 0;
  int64_t born_ms_ = 0;
  int64_t started_at_ = 0;
  int64_t silent_since_ = 0;
  int64_t sequence_ = 0;
  int64_t next_beat_ = 0;
  int64_t token_ = 0;
  int64_t lease_end_ = 0;
  int64_t next_end_ = 1;
  std::map<std::string, Run> running_;
  std::map<std::string, int64_t> last_over_;
  std::map<int64_t, nlohmann::json> ended_;
  std::thread loop_;
};

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_2_WORKER_H_
