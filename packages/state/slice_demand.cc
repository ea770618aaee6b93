#include "state/slice_demand.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

// Requested amounts are multiples of cap/32. Finer steps would cause store writes for insignificant
// changes.
constexpr int64_t kRequestSteps = 32;
// Minimum number of steps by which a requested amount decreases.
constexpr int64_t kMinDecreaseSteps = 2;
constexpr absl::Duration kDecreaseDelay = absl::Seconds(5);
// A shard that has reported nothing for this long after its owner took over or lowered its limit is
// assumed to use nothing.
constexpr absl::Duration kFirstReportTimeout = absl::Seconds(10);
// All idle shards together keep 1/kIdleDivisor of the cap, so that work can start without a store
// call. With 1/8 of the cap, a new customer's first jobs waited up to 2 s for their first slice.
constexpr int64_t kIdleDivisor = 2;
constexpr double kHeadroom = 1.25;
constexpr double kThousandthsPerUnit = 1000;
// The first report after the limit was lowered may have been made before that, so two are required.
constexpr int64_t kMinReportsAfterLowering = 2;

int64_t RoundUp(int64_t value, int64_t step) { return (value + step - 1) / step * step; }

int64_t WithHeadroom(int64_t value) {
  return static_cast<int64_t>(std::ceil(static_cast<double>(value) * kHeadroom));
}

SliceVector ToVector(const SliceDemand& demand) {
  SliceVector vector = {};
  vector[kSliceCpu] = demand.resources.cpu.value();
  vector[kSliceMemory] = demand.resources.memory.value();
  vector[kSliceAccelerators] = demand.resources.accelerators.value();
  vector[kSliceSlots] = demand.resources.slots.value();
  vector[kSliceRate] =
      static_cast<int64_t>(std::ceil(demand.rate_per_second * kThousandthsPerUnit));
  vector[kSliceJobs] = demand.jobs;
  return vector;
}

// Returns the amount that a shard keeps while it is idle.
int64_t IdleMinimum(size_t dimension, int64_t cap, int64_t shards) {
  const int64_t idle = cap / (kIdleDivisor * std::max<int64_t>(shards, 1));
  const bool at_least_one =
      dimension == kSliceJobs || dimension == kSliceBurst || dimension == kSliceSlots;
  return at_least_one ? std::max<int64_t>(idle, 1) : idle;
}

}  // namespace

SliceVector CapFromContract(const Contract& contract) {
  SliceVector cap =
      ToVector(SliceDemand{contract.hold, contract.rate_per_second, contract.max_jobs});
  cap[kSliceRate] = static_cast<int64_t>(contract.rate_per_second * kThousandthsPerUnit);
  cap[kSliceBurst] = contract.burst;
  return cap;
}

SliceLimits ToLimits(const SliceVector& amounts) {
  SliceLimits limits;
  limits.resources =
      Resources{MilliCores(amounts[kSliceCpu]), MebiBytes(amounts[kSliceMemory]),
                AcceleratorCount(amounts[kSliceAccelerators]), SlotCount(amounts[kSliceSlots])};
  limits.rate_per_second = static_cast<double>(amounts[kSliceRate]) / kThousandthsPerUnit;
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

void DemandTracker::OnLimitLowered(absl::Time now) {
  reports_since_lowered_ = 0;
  last_limit_change_ = now;
}

SliceVector DemandTracker::InUse() const {
  SliceVector in_use = ToVector(in_use_);
  // A rate is not held over time, so a lower rate limit takes effect at once.
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

SliceVector DemandTracker::RequestedAmounts(const SliceVector& cap, const SliceVector& recorded,
                                            int64_t shards, absl::Time now) {
  const SliceVector demand = Demand(cap);
  SliceVector requested = recorded;
  for (size_t i = 0; i < kSliceDimensionCount; ++i) {
    const int64_t step = std::max<int64_t>(cap[i] / kRequestSteps, 1);
    const int64_t idle = IdleMinimum(i, cap[i], shards);
    const int64_t needed = std::min(cap[i], demand[i] > idle ? RoundUp(demand[i], step) : idle);
    const bool decreases =
        needed <= recorded[i] - std::min(kMinDecreaseSteps * step, recorded[i] - idle) &&
        needed < recorded[i];
    if (needed > recorded[i]) {
      requested[i] = needed;
    }
    if (!decreases) {
      demand_is_lower_[i] = false;
    } else if (!demand_is_lower_[i]) {
      demand_is_lower_[i] = true;
      lower_demand_since_[i] = now;
    } else if (now - lower_demand_since_[i] >= kDecreaseDelay && InUseKnown(now)) {
      requested[i] = needed;
      demand_is_lower_[i] = false;
    }
  }
  return requested;
}

bool DemandTracker::InUseKnown(absl::Time now) const {
  return reported_ ? reports_since_lowered_ >= kMinReportsAfterLowering
                   : now - last_limit_change_ >= kFirstReportTimeout;
}

}  // namespace pomelotray
