#ifndef POMELOTRAY_CELL_CELL_MEMBERSHIP_H_
#define POMELOTRAY_CELL_CELL_MEMBERSHIP_H_

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
#include "cell/part_assignment.h"
#include "cell/part_claim.h"
#include "cell/pool_part.h"
#include "cell/prefix_mirror.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Keeps this instance's lease, shows it to the others, and claims pools that have no owner. A claim
// lasts as long as its instance's lease and carries a term that no other claim of the pool has.
class CellMembership {
 public:
  struct Callbacks {
    // Called on the membership's threads, in order for each pool.
    std::function<void(const PartClaim&)> claimed;
    std::function<void(const PartName&)> lost;
    // Asks all other members whether the store answers them. True when each of them says that it
    // does not. Called while this instance owns parts only.
    std::function<bool()> store_is_down_for_all;
  };

  CellMembership(CellMember self, std::string incarnation, TransactionalStore* store,
                 const Clock* clock, EventLog* events, Callbacks callbacks);
  ~CellMembership();

  void Start();
  // Resigns and stops the threads.
  void Stop();

  // Gives up all claims and the place among the members, so that others take over at once, but
  // goes on following the others. `last_writes` are made together with the end of the claims.
  void Resign(std::vector<StoreWrite> last_writes = {});
  // The pools of the configuration; those whose number of parts is known are claimed.
  void SetPools(const std::vector<PoolName>& pools);
  // Pools of the configuration whose number of parts is not stored yet.
  std::vector<PoolName> UncountedPools() const;
  // No value: not known yet.
  std::optional<int> PartCount(const PoolName& pool) const;
  std::vector<CellMember> members() const;
  std::optional<PartClaim> ClaimOf(const PartName& pool) const;
  // The last contact with the store, or the last try, is recent. False after this process stood
  // still: another instance may have claimed its pools meanwhile, so nothing may be ordered.
  bool CheckedRecently() const;
  // No other instance can have claimed this one's pools: the lease is good by this instance's
  // clock, or the store is down for all members, so that nobody can claim.
  bool MayStart() const;
  // The last call of the lease's keeper was answered.
  bool StoreAnswers() const;
  // A write got no answer or was turned away: the store counts as not answering until the next
  // renewal, which is made at once.
  void NoteStoreFailure();
  // A worker has seen a newer owner of the pool.
  void ReportFenced(const PartName& pool);

 private:
  struct TermEntry {
    int64_t term = 0;
    Revision revision;
  };

  void Keep();
  // Time from one contact with the store, or try, to the next.
  absl::Duration CheckInterval() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool OwnsAnyPart() const;
  void KeepOnce();
  bool Register();
  void ConsiderClaims();
  void TryClaim(const PartName& pool);
  void Apply(const WatchBatch& batch, bool complete);
  std::vector<PartName> Parts() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplyEntry(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // An entry among the members or a claim. Fails when it cannot be read.
  Result<void> ApplyRecord(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Tells the callbacks about claims that were won or lost since the last call.
  void Reconcile();
  bool IsOwn(const PartClaim& claim) const;
  // The claim of this VM's process before the present one.
  bool IsFormerOwn(const PartName& part) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Whether this instance should claim a part without an owner.
  bool MayClaim(const PartName& part, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const CellMember self_;
  const std::string incarnation_;
  TransactionalStore* const store_;
  const Clock* const clock_;
  EventLog* const events_;
  const Callbacks callbacks_;
  std::unique_ptr<PrefixMirror> mirror_;
  std::thread keeper_;

  // Serializes Reconcile().
  absl::Mutex reconcile_mutex_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool resigned_ ABSL_GUARDED_BY(mutex_) = false;
  bool view_complete_ ABSL_GUARDED_BY(mutex_) = false;
  std::optional<StoreLeaseId> lease_ ABSL_GUARDED_BY(mutex_);
  absl::Time registered_at_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  absl::Time last_checked_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // When the last renewal that succeeded was sent.
  absl::Time renewed_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time outage_confirmed_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  bool check_now_ ABSL_GUARDED_BY(mutex_) = false;
  bool store_answers_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<PoolName> pools_ ABSL_GUARDED_BY(mutex_);
  std::map<InstanceId, CellMember> members_ ABSL_GUARDED_BY(mutex_);
  std::map<PartName, PartClaim> claims_ ABSL_GUARDED_BY(mutex_);
  std::map<PoolName, int> part_counts_ ABSL_GUARDED_BY(mutex_);
  std::map<PartName, TermEntry> terms_ ABSL_GUARDED_BY(mutex_);
  // Since when a pool has had no owner.
  std::map<PartName, absl::Time> unowned_since_ ABSL_GUARDED_BY(mutex_);
  // Pools that the callbacks know to be owned by this instance, with their terms.
  std::map<PartName, int64_t> owned_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_MEMBERSHIP_H_
