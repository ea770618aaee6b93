#ifndef POMELOTRAY_CELL_CELL_CONFIGURATION_H_
#define POMELOTRAY_CELL_CELL_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/strong_id.h"
#include "customers/api_key_index.h"
#include "model/contract.h"

namespace pomelotray {

// Expected cost of an adviser call for the jobs of a queue. A call takes `base` plus `per_worker`
// for each worker that it names.
struct AdvicePolicy {
  absl::Duration base;
  absl::Duration per_worker;
  // How long a ticket issued by the adviser is valid.
  absl::Duration validity;
};

// Scheduling parameters of a queue, derived from its contract. They apply to all jobs of the queue.
struct QueuePolicy {
  std::string name;
  PoolName pool;
  // 0 is the highest priority; its jobs may preempt those of other priorities.
  int priority = 0;
  // Number of failed attempts after which a task, and therefore its job, fails.
  int max_attempts = 1;
  // The latency objective of a job is `stretch` times its critical path, plus `target_latency`.
  double stretch = 1;
  absl::Duration target_latency;
  std::optional<AdvicePolicy> advice;
};

// Maps a host and a path prefix of incoming requests to a queue.
struct QueueRoute {
  std::string host;
  std::string path_prefix;
  QueuePolicy policy;
  // Calls of the queue need no API key, and its jobs belong to no customer.
  bool is_public = false;
};

// One version of the configuration that operators deploy to the cell.
struct CellConfiguration {
  int64_t version = 0;
  std::vector<QueueRoute> routes;
  std::vector<PoolName> pools;
  // The contracts of the customers; empty if the configuration names none.
  std::vector<Contract> contracts;
  // The API keys of the customers.
  ApiKeyIndex keys;
  // Calls of queues that are not public need an API key.
  bool requires_keys = false;
  size_t max_body_bytes = 262'144;

  // Returns the route for `host` whose prefix of `path` is longest, or null if none matches. Host
  // names are compared without regard to case.
  const QueueRoute* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the contract of the customer, or null if there is none.
  const Contract* FindContract(const CustomerId& customer) const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_CONFIGURATION_H_
