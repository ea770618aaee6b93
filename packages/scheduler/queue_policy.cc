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
    const absl::Time due =
        std::min(spec.deadline.value_or(absl::InfiniteFuture()), arrival + kVirtualDeadline);
    return absl::FromUnixSeconds(absl::ToUnixSeconds(due));
  }
  int64_t TieBreak(const JobSpec& spec) const override {
    // Accelerators outweigh any number of cores of one worker.
    constexpr int64_t kMilliCoresPerAccelerator = 1'000'000;
    return -(spec.demand.accelerators.value() * kMilliCoresPerAccelerator +
             spec.demand.cpu.value());
  }
  bool PrefersUrgent() const override { return true; }
};

class DeadlineSharePolicy : public FairSharePolicy {
 public:
  std::string_view Name() const override { return "deadline-share"; }
  double CustomerRank(const CustomerStanding& standing) const override {
    // Above any share divided by the smallest weight.
    constexpr double kWithoutDeadline = 1e9;
    return FairSharePolicy::CustomerRank(standing) +
           (standing.head_has_deadline ? 0 : kWithoutDeadline);
  }
  absl::Time JobKey(const JobSpec& spec, absl::Time arrival) const override {
    const absl::Time key = FairSharePolicy::JobKey(spec, arrival);
    return spec.deadline.has_value() ? key : key + kMaxAge;
  }

 private:
  // Longer than any job with a deadline waits.
  static constexpr absl::Duration kMaxAge = absl::Hours(24 * 365);
};

class FifoPolicy : public QueuePolicy {
 public:
  std::string_view Name() const override { return "fifo"; }
  double CustomerRank(const CustomerStanding& standing) const override {
    return absl::ToDoubleSeconds(standing.oldest_arrival - absl::UnixEpoch());
  }
  absl::Time JobKey(const JobSpec&, absl::Time arrival) const override { return arrival; }
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
