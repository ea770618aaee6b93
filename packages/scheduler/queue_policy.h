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
  // Of the customer's first job.
  absl::Time oldest_arrival;
  bool head_has_deadline = false;
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
  // Orders jobs of equal key; lower goes first.
  virtual int64_t TieBreak(const JobSpec& spec) const = 0;
  // True when urgent and aged jobs go before all others.
  virtual bool PrefersUrgent() const = 0;
};

// Dominant-resource share by contract weight, earliest deadline first within a share. Deadlines
// count in whole seconds; of equal ones, large demands go first because small ones fill the gaps.
std::unique_ptr<QueuePolicy> MakeFairSharePolicy();
// As fair share, but work without a deadline is served only after all work with one, or when it
// has aged.
std::unique_ptr<QueuePolicy> MakeDeadlineSharePolicy();
// Baseline: order of arrival over all customers.
std::unique_ptr<QueuePolicy> MakeFifoPolicy();
// Returns null for an unknown name: "fair-share", "deadline-share" or "fifo".
std::unique_ptr<QueuePolicy> MakeQueuePolicy(std::string_view name);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_QUEUE_POLICY_H_
