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
  // Run time of each task; 0 means that it runs until the deployment stops.
  int run_ms = 0;
  bool repeatable = true;
};

struct JobLoadResult {
  absl::Time begin;
  absl::Time last_accepted;
  Samples accept_ms;
  // Time at which each accepted job was sent, keyed by job id.
  std::map<std::string, absl::Time> submitted;
  // Number of refused jobs, keyed by error kind; "none" if there was no answer.
  std::map<std::string, int> refused_by_kind;
  std::string first_refusal;

  int Refused() const;
  // Returns the refusals as text, such as "256 over_limit", or "0" if there were none.
  std::string RefusedText() const;
};

struct JobStarts {
  // Time of the first start of each job, keyed by job id.
  std::map<std::string, absl::Time> first;
  // Number of starts after the first one, summed over all jobs.
  int repeated = 0;
};

// Submits single-task jobs to all instances in turn and finds their starts in the event logs of the
// workers.
class JobLoad {
 public:
  explicit JobLoad(const Deployment* deployment) : deployment_(deployment) {}

  JobLoadResult Submit(const JobLoadPlan& plan) const;
  // Waits until all jobs of `submitted` have started or the timeout has passed.
  JobStarts WaitForStarts(const JobLoadResult& submitted, absl::Duration timeout) const;

 private:
  struct Shared;
  void RunClient(const JobLoadPlan& plan, int client, Shared* shared) const;
  JobStarts ReadStarts(const JobLoadResult& submitted) const;

  const Deployment* const deployment_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_JOB_LOAD_H_
