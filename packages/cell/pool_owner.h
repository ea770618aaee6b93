#ifndef POMELOTRAY_CELL_POOL_OWNER_H_
#define POMELOTRAY_CELL_POOL_OWNER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "cell/advice_desk.h"
#include "cell/cell_membership.h"
#include "cell/commit_lane.h"
#include "cell/pool_scheduler.h"
#include "cell/prefix_mirror.h"
#include "cell/worker_session.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// The platform's lagging list of workers. Entries that name no usable worker are left out.
class WorkerDirectory {
 public:
  virtual ~WorkerDirectory() = default;
  virtual Result<std::vector<WorkerDescription>> List() = 0;
};

// What the owner of a pool works with; all outlive it.
struct PoolOwnerContext {
  TransactionalStore* store = nullptr;
  WorkerDirectory* directory = nullptr;
  WorkerConnector* connector = nullptr;
  AdviceDesk* advice = nullptr;
  TimerQueue* timers = nullptr;
  const CellMembership* membership = nullptr;
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
  // A worker, or a write under the claim's condition, showed that another instance took over.
  std::function<void(const PartName&)> deposed;
};

// Runs one part of a pool while this instance's claim lasts: reads what earlier owners stored,
// follows new jobs in the store, keeps the workers' leases, starts tasks and stores their ends.
class PoolOwner : public std::enable_shared_from_this<PoolOwner>, private WorkerSessionListener {
 public:
  PoolOwner(PartClaim claim, PoolLimits limits, PoolOwnerContext context);
  ~PoolOwner() override;

  // Reads the stored state, then starts the threads. Retries until it succeeds or Halt().
  void Start();
  // No order is sent after this returns, but calls in progress may go on.
  void Halt();
  // For a planned hand-over: stops ordering and stores what is known, waiting at most `limit`.
  // Returns the write, to be made together with the end of the claim, that tells the next owner
  // what may run. No value: it is too large for the store.
  std::optional<StoreWrite> Finish(absl::Duration limit);
  // A job or cancellation that an entry VM has just stored; the store's watch brings it as well.
  void Notify(const std::string& key, const std::string& value);

  // No value: unknown here, or the stored state has not been read yet.
  std::optional<CellJobState> StateOf(const JobId& id) const;
  bool IsServing() const;
  std::map<std::string, int64_t> PendingByQueue() const;
  const PartClaim& claim() const { return claim_; }

 private:
  bool MayOrder() const override;
  std::optional<HoldOrder> NextHold(const WorkerId& id, bool wait_over) override;
  void HoldAnswered(const WorkerId& id, const Outcome<HoldAnswer>& answer, absl::Time sent,
                    absl::Time received) override;
  std::optional<WorkerTime> PrepareStart(const WorkerId& id, const AttemptKey& key) override;
  FencingToken token() const override { return FencingToken(claim_.term); }
  void StopChecked(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                   absl::Time sent) override;
  void OrderAnswered(const WorkerId& id, const WorkerOrder& order,
                     const OrderOutcome& outcome) override;

  // Transactions on their way at the same time. When the store takes 0.2 s, one would make each end
  // wait for the transaction in front.
  static constexpr size_t kCommitLanes = 4;

  // What earlier owners left in the store.
  struct StoredState {
    Outcome<std::optional<StoreEntry>> roster = std::optional<StoreEntry>();
    Outcome<StoreListing> progress = StoreListing();
    Outcome<StoreListing> intake = StoreListing();
    Outcome<StoreListing> lanes = StoreListing();
  };

  StoredState ReadStored() const;
  void MakeLanes(const StoreListing& listing);
  Result<void> Load();
  // No value: it cannot be read.
  std::optional<std::vector<RosterEntry>> ReadRoster(const StoreEntry& entry) const;
  void RecordUnreadable(const std::string& key, const Error& error) const;
  // False when the owner was halted, or is handing over.
  bool WaitForPermission();
  void ScheduleLoop();
  void ScheduleOnce();
  // Stores the changes of one lane's jobs.
  void CommitLoop(size_t lane);
  // Returns false when the store did not take the batch; `records` is then tried again.
  bool CommitBatch(size_t lane, std::vector<ProgressRecord>* records);
  void DirectoryLoop();
  void ApplyIntake(const WatchBatch& batch);
  bool IsKnown(const JobId& id) const;
  // Begins sessions with new workers and ends those with workers that are gone.
  void SyncSessions();
  std::vector<std::shared_ptr<WorkerSession>> TakeUnneededSessions()
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool SyncRoster();
  void RereadRoster();
  // Learns which jobs earlier owners finished. Not needed for starts, so it follows them.
  void ReadFinished();
  void Purge();
  bool Pause(absl::Duration pause);
  void Depose(const char* reason);
  void ApplyAdvice(const AdviceRequest& request, const std::optional<Advice>& advice);
  void Wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const PartClaim claim_;
  const PoolPart part_;
  const PoolLimits limits_;
  const PoolOwnerContext context_;

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  // For the scheduling loop, for the lanes, and for Finish(). Apart, since each report would
  // otherwise wake all that wait (thundering herd).
  absl::CondVar work_;
  absl::CondVar to_store_;
  absl::CondVar stored_;
  bool halted_ ABSL_GUARDED_BY(mutex_) = false;
  bool serving_ ABSL_GUARDED_BY(mutex_) = false;
  bool wake_ ABSL_GUARDED_BY(mutex_) = false;
  // Finish() was called: nothing is ordered any more, ends are still stored.
  bool finishing_ ABSL_GUARDED_BY(mutex_) = false;
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  // The jobs that earlier owners finished are known.
  bool finished_known_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time serving_since_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  // Counts the events that may have changed jobs; each lane remembers what it has seen.
  int64_t change_count_ ABSL_GUARDED_BY(mutex_) = 0;
  PoolScheduler scheduler_ ABSL_GUARDED_BY(mutex_);
  std::map<WorkerId, std::shared_ptr<WorkerSession>> sessions_ ABSL_GUARDED_BY(mutex_);

  // Used by the directory thread only.
  std::string stored_roster_;
  Revision roster_revision_;

  std::unique_ptr<PrefixMirror> intake_;
  std::vector<CommitLane> lanes_;
  std::thread schedule_thread_;
  std::vector<std::thread> commit_threads_;
  std::thread directory_thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_POOL_OWNER_H_
