#include "scheduler/queue_policy.h"

#include <algorithm>

namespace pomelotray {
namespace {

// Jobs without a deadline, or with a distant one, are ordered as if they were due this long after
// their arrival. A job is therefore overtaken, within its customer, only by jobs that arrive less
// than this later.
constexpr absl::Duration kVirtualDeadline = absl::Minutes(10);

class FairSharePolicy : public QueuePolicy {
 public:
  std::string_view Name() const override { return "fair-share"; }
  double CustomerRank(const CustomerStanding& standing) const override {
    return standing.dominant_share / standing.weight;
  }
  absl::Time JobKey(const JobSpec& spec, absl::Time arrival) const override {
    return std::min(spec.deadline.value_or(absl::InfiniteFuture()), arrival + kVirtualDeadline);
  }
  bool PrefersUrgent() const override { return true; }
};

class FifoPolicy : public QueuePolicy {
 public:
  std::string_view Name() const override { return "fifo"; }
  double CustomerRank(const CustomerStanding& standing) const override {
    return absl::ToDoubleSeconds(standing.oldest_arrival - absl::UnixEpoch());
  }
  absl::Time JobKey(const JobSpec&, absl::Time arrival) const override { return arrival; }
  bool PrefersUrgent() const override { return false; }
};

}  // namespace

std::unique_ptr<QueuePolicy> MakeFairSharePolicy() { return std::make_unique<FairSharePolicy>(); }
std::unique_ptr<QueuePolicy> MakeFifoPolicy() { return std::make_unique<FifoPolicy>(); }

std::unique_ptr<QueuePolicy> MakeQueuePolicy(std::string_view name) {
  if (name == "fair-share") {
    return MakeFairSharePolicy();
  }
  return name == "fifo" ? MakeFifoPolicy() : nullptr;
}

}  // namespace pomelotray
