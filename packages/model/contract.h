#ifndef POMELOTRAY_MODEL_CONTRACT_H_
#define POMELOTRAY_MODEL_CONTRACT_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "base/strong_number.h"
#include "model/job.h"

namespace pomelotray {

// All that a customer may do. Every limit on the customer's work follows from it.
struct Contract {
  CustomerId customer;
  // Store revision of this version; 0 before it is stored. Not part of the JSON that operators
  // write.
  Revision revision;
  // Lower-case hex SHA-256 of the caller's token; empty when only operators act for the customer.
  std::string caller_token_sha256;
  // The most that the customer's tasks and requests may hold at once, over all shards.
  Resources hold;
  // Interactive requests and job submissions: sustained rate per second and burst, over all shards.
  double rate_per_second = 0;
  int64_t burst = 0;
  // Share of contended capacity relative to other contracts; greater than 0.
  double weight = 1;
  // Jobs that may wait or run at the same time.
  int64_t max_jobs = 0;
  // Requests and jobs without a deadline get this one, services none.
  absl::Duration default_deadline;
  absl::Duration max_deadline;
  bool allow_urgent = false;
  bool allow_requests = false;
  std::set<JobKind> kinds;
  std::set<PoolName> pools;
  // Failure domains over which the customer's jobs are hashed, in no particular order; at least
  // one.
  std::vector<FailureDomainId> home_domains;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_CONTRACT_H_
