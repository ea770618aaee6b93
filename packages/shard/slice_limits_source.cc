#include "shard/slice_limits_source.h"

#include <optional>

namespace pomelotray {

SliceLimitsSource::SliceLimitsSource(const ShardId& shard, const ConfigurationCache* contracts,
                                     SliceManager* slices)
    : shard_(shard), contracts_(contracts), slices_(slices) {}

Resources SliceLimitsSource::ResourceLimit(const CustomerId& customer) const {
  return Limits(customer).resources;
}

double SliceLimitsSource::Weight(const CustomerId& customer) const {
  const std::optional<Contract> contract = contracts_->Find(customer);
  return contract.has_value() ? contract->weight : 1.0;
}

SliceLimits SliceLimitsSource::Limits(const CustomerId& customer) const {
  return slices_->Limit(customer, shard_);
}

void SliceLimitsSource::ReportDemand(const CustomerId& customer, const SliceDemand& in_use,
                                     const SliceDemand& wanted) {
  slices_->ReportDemand(customer, shard_, in_use, wanted);
}

}  // namespace pomelotray
