#ifndef POMELOTRAY_SCHEDULER_QUEUE_POLICY_H_
#define POMELOTRAY_SCHEDULER_QUEUE_POLICY_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/time/time.h"
#include "base/resources.h"
#include "model/job.h"

namespace pomelotray {

// What a queue policy knows about a customer that has queued work.
struct CustomerStanding {
  // Dominant share of the shard's capacity that the customer holds now.
  double dominant_share = 0;
  double weight = 1;
  absl::Time oldest_arrival;
};

// Orders waiting work: first between customers, then between the jobs of one customer.
class QueuePolicy {
 public:
  virtual ~QueuePolicy() = default;

  virtual std::string_view Name() const = 0;
  // The customer with the lowest rank is served next.
  virtual double CustomerRank(const CustomerStanding& standing) const = 0;
  // The job with the earliest key is served first. The key stays the same while a job waits.
  virtual absl::Time JobKey(const JobSpec& spec, absl::Time arrival) const = 0;
  // True when urgent and aged jobs go before all others.
  virtual bool PrefersUrgent() const = 0;
};

// Dominant-resource share by contract weight, earliest deadline first within a share.
std::unique_ptr<QueuePolicy> MakeFairSharePolicy();
// Baseline: order of arrival over all customers.
std::unique_ptr<QueuePolicy> MakeFifoPolicy();
// Returns null for an unknown name: "fair-share" or "fifo".
std::unique_ptr<QueuePolicy> MakeQueuePolicy(std::string_view name);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_QUEUE_POLICY_H_
