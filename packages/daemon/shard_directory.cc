#include "daemon/shard_directory.h"

#include <set>
#include <utility>

namespace pomelotray {

void ShardDirectory::SetVms(std::vector<VmEntry> vms) {
  absl::MutexLock lock(&mutex_);
  vms_read_ = true;
  vms_ = std::move(vms);
}

void ShardDirectory::MergeClaims(const std::vector<ShardClaim>& claims) {
  absl::MutexLock lock(&mutex_);
  for (const ShardClaim& claim : claims) {
    const auto known = claims_.find(claim.shard);
    if (known == claims_.end() || known->second.revision <= claim.revision) {
      claims_[claim.shard] = claim;
    }
  }
}

std::vector<VmEntry> ShardDirectory::vms() const {
  absl::MutexLock lock(&mutex_);
  return vms_;
}

std::vector<VmEntry> ShardDirectory::UpstreamsOf(const ShardId& shard) const {
  std::vector<VmEntry> upstreams;
  absl::MutexLock lock(&mutex_);
  for (const VmEntry& vm : vms_) {
    if (vm.role != VmRole::kEntry && vm.shard() == shard) {
      upstreams.push_back(vm);
    }
  }
  return upstreams;
}

std::vector<ShardId> ShardDirectory::Shards() const {
  std::set<ShardId> shards;
  absl::MutexLock lock(&mutex_);
  for (const VmEntry& vm : vms_) {
    if (vm.role != VmRole::kEntry) {
      shards.insert(vm.shard());
    }
  }
  return std::vector<ShardId>(shards.begin(), shards.end());
}

std::vector<FailureDomainId> ShardDirectory::DomainsOf(const PoolName& pool) const {
  std::vector<FailureDomainId> domains;
  for (const ShardId& shard : Shards()) {
    if (shard.pool == pool) {
      domains.push_back(shard.domain);
    }
  }
  return domains;
}

std::optional<RegionId> ShardDirectory::RegionOf(const FailureDomainId& domain) const {
  absl::MutexLock lock(&mutex_);
  for (const VmEntry& vm : vms_) {
    if (vm.domain == domain) {
      return vm.region;
    }
  }
  return std::nullopt;
}

std::optional<ShardClaim> ShardDirectory::ClaimOf(const ShardId& shard) const {
  absl::MutexLock lock(&mutex_);
  const auto it = claims_.find(shard);
  if (it == claims_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool ShardDirectory::HasVms() const {
  absl::MutexLock lock(&mutex_);
  return vms_read_;
}

}  // namespace pomelotray
