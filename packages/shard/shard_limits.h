#ifndef POMELOTRAY_SHARD_SHARD_LIMITS_H_
#define POMELOTRAY_SHARD_SHARD_LIMITS_H_

#include "scheduler/limit_source.h"
#include "state/slice_manager.h"

namespace pomelotray {

// The limits that the customers' contracts set for one shard. Receives the shard's demand, from
// which later limits are computed.
class ShardLimits : public LimitSource {
 public:
  virtual SliceLimits Limits(const CustomerId& customer) const = 0;
  // `wanted` includes `in_use`.
  virtual void ReportDemand(const CustomerId& customer, const SliceDemand& in_use,
                            const SliceDemand& wanted) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_SHARD_LIMITS_H_
