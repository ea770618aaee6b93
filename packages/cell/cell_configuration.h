#ifndef POMELOTRAY_CELL_CELL_CONFIGURATION_H_
#define POMELOTRAY_CELL_CELL_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/strong_id.h"

namespace pomelotray {

// How a queue's jobs ask which workers may run a step. A call takes `base` and `per_worker` for
// each worker named.
struct AdvicePolicy {
  absl::Duration base;
  absl::Duration per_worker;
  // How long a ticket stays usable.
  absl::Duration validity;
};

// What follows for jobs from the contract of their queue.
struct QueuePolicy {
  std::string name;
  PoolName pool;
  // 0 goes first and may preempt others.
  int priority = 0;
  // Failed attempts after which a task, and with it the job, has failed.
  int max_attempts = 1;
  // The latency objective is `stretch` times the critical path, plus `target_latency`.
  double stretch = 1;
  absl::Duration target_latency;
  std::optional<AdvicePolicy> advice;
};

// Where callers reach a queue.
struct QueueRoute {
  std::string host;
  std::string path_prefix;
  QueuePolicy policy;
};

// One version of the operators' configuration.
struct CellConfiguration {
  int64_t version = 0;
  std::vector<QueueRoute> routes;
  std::vector<PoolName> pools;
  size_t max_body_bytes = 262'144;

  // The route with the longest prefix of `path` for `host`; null when there is none.
  const QueueRoute* FindRoute(std::string_view host, std::string_view path) const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_CONFIGURATION_H_
