#include "scheduler/queue_policy.h"

#include <algorithm>

namespace pomelotray {
namespace {

// A job without a deadline, or with a later one, is ordered as if it were due this long after its
// arrival. Among the jobs of a customer, it can therefore be overtaken only by jobs that arrive
// within this time after it.
constexpr absl::Duration kVirtualDeadline = absl::Minutes(10);

class FairSharePolicy : public QueuePolicy {
 public:
  std::string_view Name() const override { return "fair-share"; }
  double CustomerRank(const CustomerQueueState& queue_state) const override {
    return queue_state.dominant_share / queue_state.weight;
  }
  absl::Time JobOrderKey(const JobSpec& spec, absl::Time arrival) const override {
    const absl::Time due =
        std::min(spec.deadline.value_or(absl::InfiniteFuture()), arrival + kVirtualDeadline);
    return absl::FromUnixSeconds(absl::ToUnixSeconds(due));
  }
  int64_t TieBreak(const JobSpec& spec) const override {
    // Large enough for one accelerator to outweigh all cores of a worker.
    constexpr int64_t kMilliCoresPerAccelerator = 1'000'000;
    return -(spec.demand.accelerators.value() * kMilliCoresPerAccelerator +
             spec.demand.cpu.value());
  }
  bool PrefersUrgent() const override { return true; }
};

class DeadlineSharePolicy : public FairSharePolicy {
 public:
  std::string_view Name() const override { return "deadline-share"; }
  double CustomerRank(const CustomerQueueState& queue_state) const override {
    // Larger than any dominant share divided by the smallest weight.
    constexpr double kNoDeadlinePenalty = 1e9;
    return FairSharePolicy::CustomerRank(queue_state) +
           (queue_state.head_has_deadline ? 0 : kNoDeadlinePenalty);
  }
  absl::Time JobOrderKey(const JobSpec& spec, absl::Time arrival) const override {
    const absl::Time key = FairSharePolicy::JobOrderKey(spec, arrival);
    return spec.deadline.has_value() ? key : key + kNoDeadlineDelay;
  }

 private:
  // Longer than any job with a deadline is queued, so that jobs without one are ordered last.
  static constexpr absl::Duration kNoDeadlineDelay = absl::Hours(24 * 365);
};

class FifoPolicy : public QueuePolicy {
 public:
  std::string_view Name() const override { return "fifo"; }
  double CustomerRank(const CustomerQueueState& queue_state) const override {
    return absl::ToDoubleSeconds(queue_state.oldest_arrival - absl::UnixEpoch());
  }
  absl::Time JobOrderKey(const JobSpec&, absl::Time arrival) const override { return arrival; }
  int64_t TieBreak(const JobSpec&) const override { return 0; }
  bool PrefersUrgent() const override { return false; }
};

}  // namespace

std::unique_ptr<QueuePolicy> MakeFairSharePolicy() { return std::make_unique<FairSharePolicy>(); }
std::unique_ptr<QueuePolicy> MakeDeadlineSharePolicy() {
  return std::make_unique<DeadlineSharePolicy>();
}
std::unique_ptr<QueuePolicy> MakeFifoPolicy() { return std::make_unique<FifoPolicy>(); }

std::unique_ptr<QueuePolicy> MakeQueuePolicy(std::string_view name) {
  if (name == "fair-share") {
    return MakeFairSharePolicy();
  }
  if (name == "deadline-share") {
    return MakeDeadlineSharePolicy();
  }
  return name == "fifo" ? MakeFifoPolicy() : nullptr;
}

}  // namespace pomelotray
