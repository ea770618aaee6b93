#ifndef POMELOTRAY_PORTS_EXECUTOR_PORT_H_
#define POMELOTRAY_PORTS_EXECUTOR_PORT_H_

#include <string>

#include "absl/time/time.h"
#include "base/epoch.h"
#include "base/error.h"
#include "base/strong_id.h"

namespace pomelotray {

struct ExecutorCall {
  RequestId request;
  AttemptId attempt;
  Epoch epoch;
  std::string body;
  // The executor need not answer after this time.
  absl::Duration timeout;
};

struct ExecutorAnswer {
  RequestId request;
  AttemptId attempt;
  std::string body;
  // Time the executor spent on the request itself.
  absl::Duration service_time;
};

struct ExecutorLoad {
  BootId boot;
  bool leaving = false;
  int64_t busy_slots = 0;
};

// An upstream that answers interactive requests. Errors: kFenced, kOverloaded when all slots are
// busy (the request did not run), kUnavailable when it did not run, kOutcomeUnknown when it may
// have run and no whole answer came, kDeadlineExceeded.
class ExecutorPort {
 public:
  virtual ~ExecutorPort() = default;

  virtual Result<ExecutorLoad> Fence(const std::string& address, const Epoch& epoch) = 0;
  virtual Result<ExecutorAnswer> Call(const std::string& address, const ExecutorCall& call) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PORTS_EXECUTOR_PORT_H_
