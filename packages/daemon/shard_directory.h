#ifndef POMELOTRAY_DAEMON_SHARD_DIRECTORY_H_
#define POMELOTRAY_DAEMON_SHARD_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/shard_id.h"
#include "model/vm.h"
#include "state/shard_claims.h"

namespace pomelotray {

// This instance's view of the shards that exist and of the last known claim to each. Thread-safe.
class ShardDirectory {
 public:
  // Replaces the VM list.
  void SetVms(std::vector<VmEntry> vms);
  // Merges claims read from the store. A claim with a lower revision than the known one is ignored,
  // so that a lower term never replaces a higher one.
  void MergeClaims(const std::vector<ShardClaim>& claims);

  std::vector<VmEntry> vms() const;
  std::vector<VmEntry> UpstreamsOf(const ShardId& shard) const;
  // Returns the shards that have at least one upstream in the VM list.
  std::vector<ShardId> Shards() const;
  // Returns the failure domains that have a shard of the pool.
  std::vector<FailureDomainId> DomainsOf(const PoolName& pool) const;
  std::optional<RegionId> RegionOf(const FailureDomainId& domain) const;
  std::optional<ShardClaim> ClaimOf(const ShardId& shard) const;
  bool HasVms() const;

 private:
  mutable absl::Mutex mutex_;
  bool vms_read_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<VmEntry> vms_ ABSL_GUARDED_BY(mutex_);
  std::map<ShardId, ShardClaim> claims_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_SHARD_DIRECTORY_H_
