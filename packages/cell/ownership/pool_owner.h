#ifndef POMELOTRAY_CELL_OWNERSHIP_POOL_OWNER_H_
#define POMELOTRAY_CELL_OWNERSHIP_POOL_OWNER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "cell/advice/advice_dispatcher.h"
#include "cell/membership/cell_membership.h"
#include "cell/ownership/cap_owner.h"
#include "cell/ownership/pool_scheduler.h"
#include "cell/ownership/withdrawal_cleanup.h"
#include "cell/store/commit_stream.h"
#include "cell/store/prefix_watcher.h"
#include "cell/store/revision_history.h"
#include "cell/store/unreadable_entries.h"
#include "cell/workers/worker_session.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Lists the workers that the platform knows. The list may be out of date. Entries that do not
// describe a usable worker are omitted.
class WorkerDirectory {
 public:
  virtual ~WorkerDirectory() = default;
  virtual Result<std::vector<WorkerDescription>> List() = 0;
};

// The dependencies of a PoolOwner; all must outlive it.
struct PoolOwnerContext {
  TransactionalStore* store = nullptr;
  WorkerDirectory* directory = nullptr;
  WorkerConnector* connector = nullptr;
  AdviceDispatcher* advice = nullptr;
  TimerQueue* timers = nullptr;
  const CellMembership* membership = nullptr;
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
  // Dates the inherited roster. If null, it counts as written just before it is read.
  const RevisionHistory* revisions = nullptr;
  // Called when a worker's answer or a failed write shows that another instance has taken over the
  // part.
  std::function<void(const PartName&)> claim_lost;
};

// Schedules one part of a pool while this instance holds the claim on it: loads the state that
// earlier owners stored, watches the store for new jobs, renews the workers' leases, starts tasks
// and stores their results. Thread-safe.
class PoolOwner : public std::enable_shared_from_this<PoolOwner>,
                  public CapOwner,
                  private WorkerSessionListener {
 public:
  PoolOwner(PartClaim claim, PoolLimits limits, PoolOwnerContext context);
  ~PoolOwner() override;

  // Loads the stored state, then starts the threads. Retries until loading succeeds or Halt() is
  // called.
  void Start();
  void SetContracts(const std::vector<Contract>& contracts);
  Result<CapReport> ExchangeCaps(const CapCall& call) override;
  // Stops scheduling. No order is sent after this returns, but calls in progress may continue.
  void Halt();
  // Stops sending orders for a planned handover. Ends of tasks are still stored.
  void StopOrders();
  // For a planned handover: calls StopOrders() and waits until all changes are stored, or until
  // `deadline`. Returns a write that tells the next owner which tasks may be running; it must be
  // committed in the transaction that releases the claim. Returns no value if the state is not
  // loaded, the owner was halted, or the write would be too large for the store.
  std::optional<StoreWrite> PrepareHandover(absl::Time deadline);
  // Delivers a job or cancellation that the VM which accepted the request has just stored, before
  // the store's watch reports it.
  void ApplyNewEntry(const std::string& key, const std::string& value);

  // Returns no value if the job is unknown or the stored state is not loaded yet.
  std::optional<CellJobState> StateOf(const JobId& id) const;
  // The same with the job's customer.
  std::optional<JobStatus> StatusOf(const JobId& id) const;
  // Returns whether the stored state is loaded and the owner was not halted.
  bool IsServing() const;
  std::map<std::string, int64_t> PendingByQueue() const;
  const PartClaim& claim() const { return claim_; }

 private:
  bool MaySendOrders() const override;
  std::optional<HoldOrder> PrepareHold(const WorkerId& id, bool wait_expired) override;
  void HoldAnswered(const WorkerId& id, const Outcome<HoldAnswer>& answer, absl::Time sent,
                    absl::Time received) override;
  std::optional<WorkerTime> PrepareStart(const WorkerId& id, const AttemptKey& key) override;
  FencingToken token() const override { return FencingToken(claim_.term); }
  void StopChecked(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                   absl::Time sent) override;
  void OrderAnswered(const WorkerId& id, const WorkerOrder& order,
                     const OrderOutcome& outcome) override;

  // Number of concurrent transactions. With only one and a store that takes 0.2 s, the end of every
  // task would wait for the previous transaction.
  static constexpr size_t kCommitStreams = 4;

  // The entries that earlier owners left in the store.
  struct StoredState {
    Outcome<std::optional<StoreEntry>> roster = std::optional<StoreEntry>();
    Outcome<StoreListing> progress = StoreListing();
    Outcome<StoreListing> intake = StoreListing();
    Outcome<StoreListing> streams = StoreListing();
  };

  StoredState ReadStoredState() const;
  void CreateCommitStreams(const StoreListing& listing);
  Result<void> Load();
  // Returns no value if the entry cannot be decoded.
  std::optional<std::vector<RosterEntry>> ReadRoster(const StoreEntry& entry);
  // Waits until the membership has contacted the store recently. Returns false if the owner was
  // halted or PrepareHandover() was called.
  bool WaitForPermission();
  void ScheduleLoop();
  void RunSchedulingRound();
  // Logs how many attempts the list for the next owner contains.
  void RecordHandover(const std::vector<RosterEntry>& roster) const;
  // Stores the changes of the jobs that belong to one commit stream.
  void CommitLoop(size_t stream);
  // Returns false if the batch is not known to be stored; the caller then retries with `records`.
  bool CommitBatch(size_t stream, std::vector<ProgressRecord>* records);
  void DirectoryLoop();
  void ApplyIntake(const WatchBatch& batch);
  bool IsKnown(const JobId& id) const;
  // Starts sessions with new workers and with those that have moved to another address, and stops
  // those of removed workers.
  void SyncSessions();
  std::vector<std::shared_ptr<WorkerSession>> RemoveUnusedSessions()
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Stores the roster (see RosterEntry) if it has changed or if the stored one is not known.
  // Returns whether it was written.
  bool SyncRoster();
  // Calls SyncRoster() and starts a scheduling round if that wrote the roster.
  void SyncRosterAndWake();
  // Waits until the directory has to be read again and meanwhile stores the roster whenever that is
  // requested. Returns false if the owner was halted.
  bool WaitForDirectoryRound();
  // Returns when the inherited roster was written at the latest.
  absl::Time RosterWrittenBy(absl::Time now) const;
  // Reads the revision of the roster's entry after a failed write, which may have changed it or may
  // still change it.
  void RereadRosterRevision();
  // Loads the jobs that earlier owners finished. Starting tasks does not depend on them, so this is
  // done later.
  void LoadFinishedJobs();
  void RemoveExpiredJobs();
  // Returns false if the owner was halted.
  bool Pause(absl::Duration pause);
  // Reports, at most once, that another instance has taken over the part.
  void ReportClaimLost(const char* reason);
  void ApplyAdvice(const AdviceRequest& request, const std::optional<Advice>& advice);
  void Wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const PartClaim claim_;
  const absl::Time claimed_at_;
  const PoolPart part_;
  const PoolLimits limits_;
  const PoolOwnerContext context_;
  UnreadableEntries unreadable_;

  mutable absl::Mutex mutex_;
  absl::CondVar halted_changed_;
  // Signaled for the scheduling loop, the commit loops and PrepareHandover(), respectively. With a
  // single condition variable, each worker report would wake all waiting threads (thundering herd).
  absl::CondVar round_needed_;
  absl::CondVar roster_needed_;
  absl::CondVar commit_needed_;
  absl::CondVar commit_done_;
  bool halted_ ABSL_GUARDED_BY(mutex_) = false;
  bool serving_ ABSL_GUARDED_BY(mutex_) = false;
  bool round_requested_ ABSL_GUARDED_BY(mutex_) = false;
  // A worker answers again whose lease may be extended only once the roster says so.
  bool roster_requested_ ABSL_GUARDED_BY(mutex_) = false;
  // Set by PrepareHandover(): no orders are sent any more, but ends of tasks are still stored.
  bool finishing_ ABSL_GUARDED_BY(mutex_) = false;
  bool claim_lost_ ABSL_GUARDED_BY(mutex_) = false;
  // Whether the jobs that earlier owners finished are loaded.
  bool finished_jobs_loaded_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time serving_since_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  // Number of events that may have changed jobs. Each commit loop compares it with the last value
  // that it processed.
  int64_t change_count_ ABSL_GUARDED_BY(mutex_) = 0;
  PoolScheduler scheduler_ ABSL_GUARDED_BY(mutex_);
  std::map<WorkerId, std::shared_ptr<WorkerSession>> sessions_ ABSL_GUARDED_BY(mutex_);

  // Accessed by Load() and then only by the directory thread. `stored_roster_` is the stored roster
  // without times (see EncodeRosterWithoutTimes()). It has no value while the contents of the entry
  // are not known: before the first write and after a failed one, until the next write succeeds.
  // That write invalidates the condition of a late earlier one.
  std::optional<std::string> stored_roster_;
  Revision roster_revision_;

  // Used only by the directory thread.
  WithdrawalCleanup withdrawal_cleanup_;
  std::unique_ptr<PrefixWatcher> intake_;
  std::vector<CommitStream> commit_streams_;
  std::thread schedule_thread_;
  std::vector<std::thread> commit_threads_;
  std::thread directory_thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_OWNERSHIP_POOL_OWNER_H_
