#ifndef POMELOTRAY_STATE_SHARD_CLAIMS_H_
#define POMELOTRAY_STATE_SHARD_CLAIMS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/reported_faults.h"
#include "base/shard_id.h"
#include "state/state_context.h"

namespace pomelotray {

// The ownership of a shard as recorded in the store. The owner is empty if the shard was released.
struct ShardClaim {
  ShardId shard;
  InstanceId owner;
  std::string address;
  int64_t term = 0;
  // Store revision of the claim key.
  Revision revision;
};

// Reads and changes the shard claims under the store keys `shards/<domain>/<pool>`. Terms only
// increase and the keys are never deleted, so that no term is assigned twice.
class ShardClaims {
 public:
  // `address` is the peer address that other instances use to reach `self`.
  ShardClaims(const StateContext& context, InstanceId self, std::string address);

  // Lists the claims in one failure domain. A claim that cannot be read is left out and logged
  // once. Listing all domains would cost about 2 KB/s of traffic for each of 57 instances.
  Result<std::vector<ShardClaim>> List(const FailureDomainId& domain);
  Result<std::optional<ShardClaim>> Find(const ShardId& shard);
  // Claims the shard with the next term if the shard has no owner, or if its owner holds no
  // instance lease, has released the shard, or is this instance. Otherwise fails with kConflict and
  // a message that names the owner. kOutcomeUnknown: the claim may have taken effect; it is safe to
  // retry.
  Result<ShardClaim> TryClaim(const ShardId& shard);
  // Clears the owner and keeps the term. Also succeeds if the claim has already been replaced.
  Result<void> Release(const ShardClaim& claim);

 private:
  Result<bool> IsReplaceable(const ShardClaim& claim);
  Result<Revision> Write(const ShardClaim& claim, Revision expected);

  const StateContext context_;
  const InstanceId self_;
  const std::string address_;
  // On the heap, so that a ShardClaims can be moved.
  std::unique_ptr<ReportedFaults> faults_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SHARD_CLAIMS_H_
