#ifndef POMELOTRAY_STANDINS_WORKER_TASK_H_
#define POMELOTRAY_STANDINS_WORKER_TASK_H_

#include <algorithm>
#include <string>

#include "absl/time/time.h"
#include "ports/worker_port.h"

namespace pomelotray {

// One attempt on the worker stand-in. The payload is JSON with the optional fields "run_ms"
// (default: run until stopped), "fail" (default false), "usage_factor" (default 1) and "result"
// (default ""). A task whose payload is not JSON runs until it is stopped.
class WorkerTask {
 public:
  WorkerTask(const TaskStart& start, absl::Time now);

  const TaskStart& start() const { return start_; }
  AttemptState state() const { return state_; }
  bool running() const { return state_ == AttemptState::kRunning; }

  void Renew(absl::Time until) { lease_until_ = until; }
  // Doubles the remaining run time and halves the resource usage.
  void Throttle(absl::Time now);
  void FailAt(absl::Time time);
  void End(AttemptState state, absl::Time now, std::string result);

  // Time at which the task ends by itself or its lease expires, whichever is first. StateWhenDue
  // returns the state that the task then enters.
  absl::Time due() const { return std::min(run_until_, lease_until_); }
  AttemptState StateWhenDue() const;
  const std::string& planned_result() const { return planned_result_; }

  AttemptReport Report(absl::Time now, absl::Duration usage_lag) const;

 private:
  TaskStart start_;
  absl::Time started_at_;
  absl::Time run_until_ = absl::InfiniteFuture();
  absl::Time lease_until_;
  absl::Time ended_at_ = absl::InfiniteFuture();
  AttemptState state_ = AttemptState::kRunning;
  bool fail_ = false;
  double usage_factor_ = 1;
  std::string planned_result_;
  std::string result_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_WORKER_TASK_H_
