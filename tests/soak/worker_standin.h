#ifndef POMELOTRAY_TESTS_SOAK_WORKER_STANDIN_H_
#define POMELOTRAY_TESTS_SOAK_WORKER_STANDIN_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/soak/run_history.h"

namespace httplib {
class Server;
}

namespace pomelotray {

// A worker of the platform over HTTP: fencing tokens, leases on its own clock, numbered ends.
// Starts whatever it is told and reports over-commitment to the history. A task runs 0.1 to 0.5 s
// by its name; the name also decides whether its first run fails.
class WorkerStandin {
 public:
  // Each task takes 1000 of `cpu`.
  WorkerStandin(std::string id, int64_t cpu, RunHistory* history);
  ~WorkerStandin();

  std::string address() const;
  // Its entry in the platform's store.
  std::string Entry() const;

  // Everything that runs is gone; a new life begins under the same id.
  void Restart();
  // Carries orders out but answers none of them for this long.
  void Mute(absl::Duration time);

 private:
  struct Run {
    std::string task;
    int64_t run = 0;
    absl::Time ends;
    bool stopped = false;
  };
  struct End {
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  void Listen();
  void Route();
  // Begins a new life.
  void Forget();
  // Ends early when the worker starts again.
  void SleepUntil(absl::Time time) const;
  // Returns the HTTP status and fills `answer`.
  int Start(const nlohmann::json& order, nlohmann::json* answer);
  int Stop(const nlohmann::json& order, nlohmann::json* answer);
  int Hold(const nlohmann::json& order, nlohmann::json* answer);
  bool PassesFence(const nlohmann::json& order, nlohmann::json* answer)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ExtendLease(const nlohmann::json& order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Ends what is done, stopped or out of its lease.
  void Advance() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Finish(const std::string& how, std::map<std::string, Run>::iterator* it)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  int64_t ClockMs() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::string id_;
  const int64_t cpu_;
  RunHistory* const history_;
  std::unique_ptr<httplib::Server> server_;
  int port_ = 0;
  std::thread thread_;
  std::thread ticker_;
  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time born_ ABSL_GUARDED_BY(mutex_);
  int64_t life_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time muted_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  int64_t token_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t lease_end_ms_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t next_end_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<std::string, Run> running_ ABSL_GUARDED_BY(mutex_);
  // Highest run of each task that ended or was stopped here.
  std::map<std::string, int64_t> over_ ABSL_GUARDED_BY(mutex_);
  std::map<int64_t, End> ends_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_WORKER_STANDIN_H_
