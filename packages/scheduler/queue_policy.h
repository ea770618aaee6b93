#ifndef POMELOTRAY_SCHEDULER_QUEUE_POLICY_H_
#define POMELOTRAY_SCHEDULER_QUEUE_POLICY_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/time/time.h"
#include "base/resources.h"
#include "model/job.h"

namespace pomelotray {

// The state of a customer with queued jobs, as input to QueuePolicy::CustomerRank().
struct CustomerQueueState {
  // The customer's current dominant share of the shard's capacity.
  double dominant_share = 0;
  double weight = 1;
  // Arrival time of the customer's first queued job.
  absl::Time oldest_arrival;
  // True when the first queued job has a deadline.
  bool head_has_deadline = false;
};

// Defines the order of queued jobs: first between customers, then between jobs of one customer.
class QueuePolicy {
 public:
  virtual ~QueuePolicy() = default;

  virtual std::string_view Name() const = 0;
  // The customer with the lowest rank is served next.
  virtual double CustomerRank(const CustomerQueueState& queue_state) const = 0;
  // The job with the earliest key is served first. The key must not change while the job is queued.
  virtual absl::Time JobOrderKey(const JobSpec& spec, absl::Time arrival) const = 0;
  // Orders jobs with equal keys; the lowest value is served first.
  virtual int64_t TieBreak(const JobSpec& spec) const = 0;
  // True when urgent jobs, and jobs that have waited too long, are served before all others.
  virtual bool PrefersUrgent() const = 0;
};

// Weighted dominant resource fairness between customers, earliest deadline first between the jobs
// of one customer. Deadlines are rounded down to whole seconds. Jobs with equal deadlines are
// ordered by decreasing demand, because small jobs fit into the remaining capacity.
std::unique_ptr<QueuePolicy> MakeFairSharePolicy();
// Like fair share, but jobs without a deadline are served only after all jobs with one, or after
// they have waited too long.
std::unique_ptr<QueuePolicy> MakeDeadlineSharePolicy();
// Baseline: order of arrival, regardless of customer.
std::unique_ptr<QueuePolicy> MakeFifoPolicy();
// Returns null for an unknown name: "fair-share", "deadline-share" or "fifo".
std::unique_ptr<QueuePolicy> MakeQueuePolicy(std::string_view name);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_QUEUE_POLICY_H_
