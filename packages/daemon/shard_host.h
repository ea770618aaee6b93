#ifndef POMELOTRAY_DAEMON_SHARD_HOST_H_
#define POMELOTRAY_DAEMON_SHARD_HOST_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "daemon/shard_directory.h"
#include "peer/membership.h"
#include "ports/vm_list_port.h"
#include "shard/lease_renewer.h"
#include "shard/request_runner.h"
#include "shard/shard_owner.h"
#include "state/budgeted_store.h"
#include "state/configuration_cache.h"
#include "state/instance_lease.h"
#include "state/shard_claims.h"
#include "state/slice_manager.h"

namespace pomelotray {

struct ShardHostOptions {
  InstanceId self;
  FailureDomainId domain;
  absl::Duration task_lease = absl::Seconds(10);
  absl::Duration job_retention = absl::Hours(1);
  // No shard is claimed for this time after the start, so that the members of the failure domain
  // discover each other first.
  absl::Duration settle_time = absl::Milliseconds(1500);
};

// Dependencies of a ShardHost. All of them must outlive it.
struct ShardHostContext {
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
  BudgetedStore* store = nullptr;
  InstanceLease* lease = nullptr;
  ShardClaims* claims = nullptr;
  ShardDirectory* directory = nullptr;
  Membership* membership = nullptr;
  ConfigurationCache* contracts = nullptr;
  SliceManager* slices = nullptr;
  VmListPort* vm_list = nullptr;
  WorkerPort* workers = nullptr;
  ExecutorPort* executors = nullptr;
};

// Claims shards for this instance, runs their ShardOwners and RequestRunners, and hands shards over
// to other instances. Thread-safe.
class ShardHost {
 public:
  ShardHost(const ShardHostContext& context, const ShardHostOptions& options);
  ~ShardHost();

  void Start();
  // Hands all shards over. Their owners stop but leave tasks running; requests in flight complete.
  void Stop();

  // Return null if this instance does not own the shard or the shard has no workers (OwnerOf) or
  // executors (RunnerOf). OwnerOf also returns null until the owner has started.
  std::shared_ptr<ShardOwner> OwnerOf(const ShardId& shard) const;
  std::shared_ptr<RequestRunner> RunnerOf(const ShardId& shard) const;
  std::vector<ShardId> OwnedShards() const;
  std::vector<std::shared_ptr<ShardOwner>> Owners() const;
  std::vector<std::shared_ptr<RequestRunner>> Runners() const;

  // Stores the drain of a VM durably; the owner of the VM's shard applies it within seconds.
  Result<void> Drain(const VmId& vm);
  bool HasVms() const { return context_.directory->HasVms(); }

 private:
  struct HostedShard {
    std::shared_ptr<ShardLimits> limits;
    std::shared_ptr<ShardOwner> owner;
    std::shared_ptr<RequestRunner> runner;
    std::shared_ptr<LeaseRenewer> renewer;
    // The claim in the store; nullopt after a local takeover.
    std::optional<ShardClaim> claim;
    Epoch epoch;
    bool owner_started = false;
  };

  void Run();
  void RunRound();
  void RefreshVms();
  void RefreshClaims();
  void RefreshDrains();
  void StopDeposedShards();
  void ClaimShards();
  void TakeOverLocally();
  void HandOverSurplusShard();
  // Returns the instances that may claim the shard, those with the fewest shards first.
  std::vector<InstanceId> Candidates(const ShardId& shard) const;
  bool OwnerIsLive(const ShardClaim& claim) const;
  bool IsClaimAllowed(const ShardId& shard) const;
  void TryClaim(const ShardId& shard);
  std::shared_ptr<HostedShard> MakeHostedShard(const ShardId& shard, const Epoch& epoch);
  void UpdateShards();
  void UpdateShard(const ShardId& shard, HostedShard* hosted);
  void StopShard(const ShardId& shard, bool hand_over);
  std::map<ShardId, std::shared_ptr<HostedShard>> Snapshot() const;
  void PublishOwnedShards();

  const ShardHostContext context_;
  const ShardHostOptions options_;

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<ShardId, std::shared_ptr<HostedShard>> hosted_shards_ ABSL_GUARDED_BY(mutex_);

  // The following members are used only by `thread_` while it runs.
  absl::Time start_time_;
  absl::Time next_vm_refresh_ = absl::InfinitePast();
  absl::Time next_claim_refresh_ = absl::InfinitePast();
  absl::Time next_drain_refresh_ = absl::InfinitePast();
  absl::Time next_hand_over_ = absl::InfinitePast();
  absl::Time store_unavailable_since_ = absl::InfiniteFuture();
  absl::Time store_available_since_ = absl::InfinitePast();
  // The time at which each shard was first seen without a live owner.
  std::map<ShardId, absl::Time> ownerless_since_;
  std::set<VmId> drained_;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_SHARD_HOST_H_
