#ifndef POMELOTRAY_REVIEW_WORLD_WORKER_H_
#define POMELOTRAY_REVIEW_WORLD_WORKER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "review/world/http.h"
#include "review/world/record.h"
#include "review/world/store.h"

namespace review {

struct WorkerSettings {
  std::string id;
  std::string service;
  int64_t cpu = 64'000;
  int64_t memory_mb = 262'144;
  int64_t max_hold_ms = 10'000;
};

// Stand-in for one executor that runs tasks, as PROTOCOL.md describes it. The spec of a task says
// for how many milliseconds it runs, how it then ends (default: done) and whether it is one that
// lasts, as in "3000 failed lasting". Registers itself in the store.
class Worker {
 public:
  Worker(WorkerSettings settings, Store* store, Record* record);
  ~Worker();

  // The process ends without notice: connections are reset, all runs end, and nothing is kept.
  void Crash();
  // A new incarnation starts under the same id and address.
  void Restart();
  // While cut off, the worker runs on, but calls do not reach it and get no answer.
  void SetCutOff(bool cut_off);
  // Calls are answered this much later.
  void SetAnswerDelay(int64_t ms);
  size_t RunningCount() const;
  int64_t StartCount() const;
  const std::string& id() const { return settings_.id; }
  // Whether the worker runs a task of the job.
  bool RunsJob(const std::string& job) const;

 private:
  struct Run {
    int64_t run = 0;
    std::string spec;
    int64_t started = 0;
    int64_t ends_at = 0;
    int64_t duration_ms = 0;
    std::string own_end = "done";
    // The task reports that it is at work instead of its progress.
    bool lasting = false;
    bool stopping = false;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  HttpReply Answer(const HttpRequest& request);
  HttpReply Start(const nlohmann::json& body);
  HttpReply Stop(const nlohmann::json& body);
  HttpReply Hold(const nlohmann::json& body, std::unique_lock<std::mutex>* lock);
  // The functions below are called with the mutex held.
  int64_t ClockMs() const;
  HttpReply Refuse(const std::string& reason) const;
  nlohmann::json Signed() const;
  bool IsFenced(const nlohmann::json& body);
  void ExtendLease(const nlohmann::json& body);
  void EndRun(std::string task, const std::string& how);
  void Tick();
  void Register();
  void Loop();

  const WorkerSettings settings_;
  Store* const store_;
  Record* const record_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::unique_ptr<HttpServer> server_;
  int port_ = 0;
  bool up_ = false;
  bool closing_ = false;
  bool cut_off_ = false;
  int64_t answer_delay_ms_ = 0;
  int64_t incarnation_ = 0;
  int64_t born_ = 0;
  int64_t born_at_ = 0;
  int64_t sequence_ = 0;
  int64_t registered_at_ = 0;
  int64_t token_ = 0;
  int64_t lease_ends_ = 0;
  int64_t last_end_ = 0;
  int64_t start_count_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, int64_t> highest_over_;
  std::deque<End> ends_;
  std::thread thread_;
};

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_WORKER_H_
