#include "state/slice_demand.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

// Wishes are multiples of cap/32: a finer grain would write for changes that matter to nobody.
constexpr int64_t kSteps = 32;
// A wish falls by at least this many steps.
constexpr int64_t kFallSteps = 2;
constexpr absl::Duration kFallDelay = absl::Seconds(5);
// A shard that reported nothing for this long after its owner took over or lowered its limit uses
// nothing.
constexpr absl::Duration kReportGrace = absl::Seconds(10);
// The share of the cap that idle shards keep together, so that work can start without a store call.
// With 1/8 a new customer's first jobs waited for up to 2 s for their first slice.
constexpr int64_t kIdleDivisor = 2;
constexpr double kHeadroom = 1.25;
constexpr double kMilli = 1000;
// One report may have been made before the limit was lowered and arrive afterwards.
constexpr int64_t kReportsAfterLowering = 2;

int64_t RoundUp(int64_t value, int64_t step) { return (value + step - 1) / step * step; }

int64_t WithHeadroom(int64_t value) {
  return static_cast<int64_t>(std::ceil(static_cast<double>(value) * kHeadroom));
}

SliceVector ToVector(const SliceDemand& demand) {
  SliceVector vector = {};
  vector[kSliceCpu] = demand.hold.cpu.value();
  vector[kSliceMemory] = demand.hold.memory.value();
  vector[kSliceAccelerators] = demand.hold.accelerators.value();
  vector[kSliceSlots] = demand.hold.slots.value();
  vector[kSliceRate] = static_cast<int64_t>(std::ceil(demand.rate_per_second * kMilli));
  vector[kSliceJobs] = demand.jobs;
  return vector;
}

// What an idle shard keeps.
int64_t IdleAmount(size_t amount, int64_t cap, int64_t shards) {
  const int64_t idle = cap / (kIdleDivisor * std::max<int64_t>(shards, 1));
  const bool at_least_one = amount == kSliceJobs || amount == kSliceBurst || amount == kSliceSlots;
  return at_least_one ? std::max<int64_t>(idle, 1) : idle;
}

}  // namespace

SliceVector CapOf(const Contract& contract) {
  SliceVector cap =
      ToVector(SliceDemand{contract.hold, contract.rate_per_second, contract.max_jobs});
  cap[kSliceRate] = static_cast<int64_t>(contract.rate_per_second * kMilli);
  cap[kSliceBurst] = contract.burst;
  return cap;
}

SliceLimits ToLimits(const SliceVector& amounts) {
  SliceLimits limits;
  limits.hold =
      Resources{MilliCores(amounts[kSliceCpu]), MebiBytes(amounts[kSliceMemory]),
                AcceleratorCount(amounts[kSliceAccelerators]), SlotCount(amounts[kSliceSlots])};
  limits.rate_per_second = static_cast<double>(amounts[kSliceRate]) / kMilli;
  limits.burst = amounts[kSliceBurst];
  limits.max_jobs = amounts[kSliceJobs];
  return limits;
}

void DemandTracker::Report(const SliceDemand& in_use, const SliceDemand& wanted) {
  reported_ = true;
  ++reports_since_lowered_;
  in_use_ = in_use;
  wanted_ = wanted;
}

void DemandTracker::LimitLowered(absl::Time now) {
  reports_since_lowered_ = 0;
  changed_at_ = now;
}

SliceVector DemandTracker::InUse() const {
  SliceVector in_use = ToVector(in_use_);
  // Rates are not held: a lower limit takes effect at once.
  in_use[kSliceRate] = 0;
  return in_use;
}

SliceVector DemandTracker::Demand(const SliceVector& cap) const {
  SliceVector demand = Max(ToVector(wanted_), InUse());
  std::transform(demand.begin(), demand.end(), demand.begin(), WithHeadroom);
  if (cap[kSliceRate] > 0) {
    demand[kSliceBurst] =
        static_cast<int64_t>(std::ceil(static_cast<double>(cap[kSliceBurst]) *
                                       std::min(1.0, static_cast<double>(demand[kSliceRate]) /
                                                         static_cast<double>(cap[kSliceRate]))));
  }
  return demand;
}

SliceVector DemandTracker::Wish(const SliceVector& cap, const SliceVector& recorded, int64_t shards,
                                absl::Time now) {
  const SliceVector demand = Demand(cap);
  SliceVector wish = recorded;
  for (size_t i = 0; i < kSliceAmounts; ++i) {
    const int64_t step = std::max<int64_t>(cap[i] / kSteps, 1);
    const int64_t idle = IdleAmount(i, cap[i], shards);
    const int64_t needed = std::min(cap[i], demand[i] > idle ? RoundUp(demand[i], step) : idle);
    const bool falls = needed <= recorded[i] - std::min(kFallSteps * step, recorded[i] - idle) &&
                       needed < recorded[i];
    if (needed > recorded[i]) {
      wish[i] = needed;
    }
    if (!falls) {
      lower_[i] = false;
    } else if (!lower_[i]) {
      lower_[i] = true;
      lower_since_[i] = now;
    } else if (now - lower_since_[i] >= kFallDelay && InUseKnown(now)) {
      wish[i] = needed;
      lower_[i] = false;
    }
  }
  return wish;
}

bool DemandTracker::InUseKnown(absl::Time now) const {
  return reported_ ? reports_since_lowered_ >= kReportsAfterLowering
                   : now - changed_at_ >= kReportGrace;
}

}  // namespace pomelotray
