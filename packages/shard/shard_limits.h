#ifndef POMELOTRAY_SHARD_SHARD_LIMITS_H_
#define POMELOTRAY_SHARD_SHARD_LIMITS_H_

#include "scheduler/limit_source.h"
#include "state/configuration_cache.h"
#include "state/slice_manager.h"

namespace pomelotray {

// What the contracts in force allow in one shard: this shard's slice of each cap.
class ShardLimits : public LimitSource {
 public:
  ShardLimits(const ShardId& shard, const ConfigurationCache* contracts, SliceManager* slices);

  Resources HoldLimit(const CustomerId& customer) const override;
  double Weight(const CustomerId& customer) const override;

  SliceLimits Limits(const CustomerId& customer) const;
  void ReportDemand(const CustomerId& customer, const SliceDemand& in_use,
                    const SliceDemand& wanted);

 private:
  const ShardId shard_;
  const ConfigurationCache* const contracts_;
  SliceManager* const slices_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_SHARD_LIMITS_H_
