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

// Which shards exist and who owned each of them last, as this instance knows. Thread-safe.
class ShardDirectory {
 public:
  // Takes a fresh VM list over.
  void SetVms(std::vector<VmEntry> vms);
  // Takes claims from the store over; a lower term never replaces a higher one.
  void NoteClaims(const std::vector<ShardClaim>& claims);

  std::vector<VmEntry> vms() const;
  std::vector<VmEntry> UpstreamsOf(const ShardId& shard) const;
  // Shards that have at least one upstream in the list.
  std::vector<ShardId> Shards() const;
  // Failure domains with a shard of this pool.
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
