#ifndef POMELOTRAY_SHARD_SLICE_LIMITS_SOURCE_H_
#define POMELOTRAY_SHARD_SLICE_LIMITS_SOURCE_H_

#include "base/shard_id.h"
#include "shard/shard_limits.h"
#include "state/configuration_cache.h"

namespace pomelotray {

// Limits of one shard, taken from the shares (slices) of the customers' contracts that the
// SliceManager assigns to the shard.
class SliceLimitsSource : public ShardLimits {
 public:
  SliceLimitsSource(const ShardId& shard, const ConfigurationCache* contracts,
                    SliceManager* slices);

  Resources ResourceLimit(const CustomerId& customer) const override;
  double Weight(const CustomerId& customer) const override;
  SliceLimits Limits(const CustomerId& customer) const override;
  void ReportDemand(const CustomerId& customer, const SliceDemand& in_use,
                    const SliceDemand& wanted) override;

 private:
  const ShardId shard_;
  const ConfigurationCache* const contracts_;
  SliceManager* const slices_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_SLICE_LIMITS_SOURCE_H_
