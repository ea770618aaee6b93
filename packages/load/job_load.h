#ifndef POMELOTRAY_LOAD_JOB_LOAD_H_
#define POMELOTRAY_LOAD_JOB_LOAD_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "bench/samples.h"
#include "load/deployment.h"

namespace pomelotray {

struct JobLoadPlan {
  std::string key_prefix;
  int jobs = 0;
  int clients = 8;
  int64_t cpu_millicores = 0;
  int64_t memory_mib = 0;
  // 0: the task runs until the deployment stops.
  int run_ms = 0;
  bool repeatable = true;
};

struct JobLoadResult {
  absl::Time begin;
  absl::Time last_accepted;
  Samples accept_ms;
  // When each accepted job was sent, by job id.
  std::map<std::string, absl::Time> submitted;
  // By the kind of the error; "none" without an answer.
  std::map<std::string, int> refused_by_kind;
  std::string first_refusal;

  int Refused() const;
  // Such as "256 over_limit", or "0".
  std::string RefusedText() const;
};

struct JobStarts {
  // The first start of each job, by job id.
  std::map<std::string, absl::Time> first;
  // Starts beyond the first of a job.
  int repeated = 0;
};

// Submits jobs of one task each through all instances in turn, and finds their starts in the events
// of the workers.
class JobLoad {
 public:
  explicit JobLoad(const Deployment* deployment) : deployment_(deployment) {}

  JobLoadResult Submit(const JobLoadPlan& plan) const;
  // Waits until all jobs of `submitted` have started, or the time is over.
  JobStarts WaitForStarts(const JobLoadResult& submitted, absl::Duration timeout) const;

 private:
  struct Shared;
  void RunClient(const JobLoadPlan& plan, int client, Shared* shared) const;
  JobStarts ReadStarts(const JobLoadResult& submitted) const;

  const Deployment* const deployment_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_JOB_LOAD_H_
