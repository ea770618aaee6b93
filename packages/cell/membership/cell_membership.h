#ifndef POMELOTRAY_CELL_MEMBERSHIP_CELL_MEMBERSHIP_H_
#define POMELOTRAY_CELL_MEMBERSHIP_CELL_MEMBERSHIP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/strong_id.h"
#include "cell/membership/instance_lease_renewer.h"
#include "cell/membership/ownerless_claims.h"
#include "cell/membership/part_assignment.h"
#include "cell/membership/part_claim.h"
#include "cell/membership/part_owner_report.h"
#include "cell/membership/pool_part.h"
#include "cell/store/prefix_watcher.h"
#include "cell/store/store_availability.h"
#include "cell/store/unreadable_entries.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Registers this instance in the store under a lease, renews the lease, and claims parts of
// pools that have no owner. A claim ends with the lease of its instance. Each claim of a part has a
// term that no other claim of that part has.
class CellMembership : public StoreAvailability {
 public:
  struct Callbacks {
    // `claimed` and `lost` are called on threads of the membership. Calls about one part are made
    // in the order of the events.
    std::function<void(const PartClaim&)> claimed;
    std::function<void(const PartName&)> lost;
    // Asks all other members whether the store is available to them. Returns true if every member
    // answers that it is not. Called only while this instance owns parts.
    std::function<bool()> store_down_for_all_members;
  };

  CellMembership(CellMember self, std::string incarnation, TransactionalStore* store,
                 const Clock* clock, EventLog* events, Callbacks callbacks);
  ~CellMembership() override;

  void Start();
  // Calls Resign() and stops the threads.
  void Stop();

  // Releases all claims and revokes the lease, so that other instances can take over at once. A
  // claim whose answer is outstanding ends with the lease. From then on, no part is claimed and no
  // task may be started. Keeps watching the members and claims. The write of a part in
  // `last_writes` is committed in the transaction that releases its claim, and dropped if this
  // instance has no claim of the part.
  void Resign(std::map<PartName, StoreWrite> last_writes = {});
  // Sets the pools of the configuration. Only parts of pools whose part count is stored are
  // claimed.
  void SetPools(const std::vector<PoolName>& pools);
  // Returns the pools of the configuration whose part count is not stored yet.
  std::vector<PoolName> PoolsWithoutPartCount() const;
  // Returns the number of parts of the pool, or no value if it is not known yet.
  std::optional<int> PartCount(const PoolName& pool) const;
  std::vector<CellMember> members() const;
  std::optional<PartClaim> ClaimOf(const PartName& part) const;
  // Returns whether the last call to the store, answered or not, was recent. Returns false after
  // this process was suspended: another instance may have claimed its parts in the meantime, so the
  // process must not send orders to workers.
  bool ContactedStoreRecently() const;
  // Returns whether tasks may be started because no other instance can have claimed the parts of
  // this one: either the lease is valid by the local clock, or the store is down for all members
  // and no claim can be made.
  bool MayStartTasks() const;
  bool IsStoreAvailable() const override;
  // Returns whether the store is available and no lease call has been unanswered for long. Becomes
  // false sooner than IsStoreAvailable() when the store stops responding.
  bool IsStoreResponding() const;
  void ReportStoreFailure() override;
  // Reports that a worker has seen a newer owner of the part. Drops this instance's claim.
  void ReportFenced(const PartName& part);

 private:
  struct TermEntry {
    int64_t term = 0;
    Revision revision;
  };

  // A claim and the transaction that writes it.
  struct PreparedClaim {
    PartClaim claim;
    StoreTransaction transaction;
  };

  void RunLeaseLoop();
  // Returns when the next renewal of the lease is due.
  absl::Time NextRenewal() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool IsStopping() const;
  bool OwnsAnyPart() const;
  void RenewLeaseIfDue();
  bool Register();
  // Makes `lease` the lease of this instance, unless it has resigned.
  bool AdoptLease(const StoreLeaseId& lease);
  void EndLease(const StoreLeaseId& lease);
  // Releases claims of this instance in one transaction.
  void Release(const StoreTransaction& release);
  // Returns whether the entry of this instance was written.
  bool WriteMemberEntry(const StoreLeaseId& lease);
  // Writes the entry of this instance again if another writer has made it unreadable, or if the
  // store has deleted it although the lease is valid. The lease stays the same, since the claims of
  // this instance end with it.
  void RestoreMemberEntry(const StoreLeaseId& lease);
  void ClaimEligibleParts();
  std::vector<PartName> EligibleParts();
  // Returns whether this instance should claim the part now. Never true after Resign() or without a
  // lease.
  bool IsEligible(const PartName& part, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns no value if the part is not eligible any more.
  std::optional<PreparedClaim> PrepareClaim(const PartName& part);
  void WriteClaim(PreparedClaim prepared);
  void Apply(const WatchBatch& batch, bool complete);
  std::vector<PartName> Parts() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void PrepareForListing(const WatchBatch& batch) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplyEntry(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplyDeletion(const std::string& key, Revision next) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // The functions below fail if the entry cannot be decoded.
  Result<void> DecodeEntry(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<void> ApplyMember(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<void> ApplyClaim(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<void> ApplyTerm(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<void> ApplyPartCount(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Takes note of an entry that cannot be decoded but whose key tells what it replaces.
  void ApplyUnreadable(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Sets the term of a part unless a newer entry is known. A term never decreases.
  void RaiseTerm(const PartName& part, int64_t term, Revision revision)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Calls the callbacks for the claims that were gained or lost since the previous call.
  void Reconcile();
  bool IsOwnClaim(const PartClaim& claim) const;
  // Returns whether the claim of the part was made by an earlier process of this instance.
  bool IsClaimOfPreviousProcess(const PartName& part) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns whether the part has a claim that nothing will end: it has no lease, and its owner has
  // not been a member for so long that it can have no valid lease either.
  bool IsAbandoned(const PartName& part, absl::Time now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RecordPartOwners();
  // Returns whether this instance should claim the part, which has no claim or an abandoned one. A
  // preferred instance claims at once, the others after a delay.
  bool MayClaim(const PartName& part, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const CellMember self_;
  const std::string incarnation_;
  TransactionalStore* const store_;
  const Clock* const clock_;
  EventLog* const events_;
  const Callbacks callbacks_;
  InstanceLeaseRenewer renewer_;
  UnreadableEntries unreadable_;
  std::unique_ptr<PrefixWatcher> control_watcher_;
  std::thread lease_thread_;
  // Used only by the lease thread.
  PartOwnerReport part_owner_report_;

  // Serializes Reconcile().
  absl::Mutex reconcile_mutex_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool resigned_ ABSL_GUARDED_BY(mutex_) = false;
  bool view_complete_ ABSL_GUARDED_BY(mutex_) = false;
  std::optional<StoreLeaseId> lease_ ABSL_GUARDED_BY(mutex_);
  absl::Time registered_at_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  // A lease call is in progress. `renewal_began_` is when it, or the last one, began.
  bool renewing_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time renewal_began_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time last_store_contact_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // Send time of the last successful renewal. The lease is valid for at least its TTL from then on.
  absl::Time renewed_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time outage_confirmed_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  bool renew_now_ ABSL_GUARDED_BY(mutex_) = false;
  bool store_available_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<PoolName> pools_ ABSL_GUARDED_BY(mutex_);
  std::map<InstanceId, CellMember> members_ ABSL_GUARDED_BY(mutex_);
  std::map<PartName, PartClaim> claims_ ABSL_GUARDED_BY(mutex_);
  // Revisions of claims that cannot be decoded. They have no owner and may be replaced.
  std::map<PartName, Revision> unreadable_claims_ ABSL_GUARDED_BY(mutex_);
  // Another writer has replaced this instance's entry by one that cannot be decoded.
  bool own_entry_unreadable_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<PoolName, int> part_counts_ ABSL_GUARDED_BY(mutex_);
  std::map<PartName, TermEntry> terms_ ABSL_GUARDED_BY(mutex_);
  OwnerlessClaims ownerless_claims_ ABSL_GUARDED_BY(mutex_);
  // Time from which on each part has had no claim, or only an abandoned one.
  std::map<PartName, absl::Time> unowned_since_ ABSL_GUARDED_BY(mutex_);
  // Parts last reported as claimed to the callbacks, with the terms of their claims.
  std::map<PartName, int64_t> owned_terms_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_CELL_MEMBERSHIP_H_
