#ifndef POMELOTRAY_CELL_POOL_SCHEDULER_H_
#define POMELOTRAY_CELL_POOL_SCHEDULER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "base/event_log.h"
#include "cell/attempt_text.h"
#include "cell/cell_job.h"
#include "cell/cell_ports.h"
#include "cell/job_record.h"
#include "cell/pool_part.h"
#include "cell/schedule_round.h"
#include "cell/worker_book.h"

namespace pomelotray {

// Bounds that the platform gives for one pool.
struct PoolLimits {
  // Lease of everything that runs on a worker, renewed with each hold.
  absl::Duration task_lease = absl::Seconds(6);
  // How slow a worker's clock may be; lengthens its leases.
  double clock_drift = 0.02;
  // How long final jobs stay known.
  absl::Duration retention = absl::Seconds(150);
};

// An order to a worker, with what decided it already logged.
struct WorkerOrder {
  enum class Kind { kStart, kStop };
  Kind kind = Kind::kStart;
  AttemptKey key;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  // After a stop: ask at once whether the attempt ever began.
  bool check = false;
};

struct ScheduledOrders {
  std::vector<std::pair<WorkerId, WorkerOrder>> orders;
  std::vector<AdviceRequest> advice;
  // Cost of the round: how many times a worker was considered for a task.
  int64_t rooms_considered = 0;
};

// Everything that the owner of a pool's part knows and decides: jobs, workers, attempts. Has no
// threads and no input or output, so that each rule can be tested with a clock of the test's own;
// the caller serializes all calls. A task is started again only when its last attempt is known to
// be over.
class PoolScheduler {
 public:
  PoolScheduler(PoolPart part, int64_t term, PoolLimits limits, EventLog* events);

  // Jobs and roster of earlier owners, before the first Schedule(). Their tasks wait until each
  // worker of the roster has reported or its leases are over. Of a frozen worker, and of one whose
  // attempts the owner before this one listed when it handed over, only the tasks that it may run
  // wait. Without a roster, they wait until all leases are over.
  void Inherit(std::vector<JobIntake> jobs, const std::map<JobId, std::string>& progress,
               const std::optional<std::vector<RosterEntry>>& roster, absl::Time now);

  // A job that an earlier owner finished. Does nothing when the job is known.
  void AddFinished(const JobId& id, CellJobState state, absl::Time now);
  // Both are idempotent.
  void AddJob(JobIntake intake, absl::Time now);
  void CancelJob(const JobId& id, absl::Time now);

  // The present directory. Workers that are missing from it get no new starts.
  void UpdateDirectory(const std::vector<WorkerDescription>& workers, absl::Time now);
  // The workers on which tasks may run or start from now on. The others get no starts until they
  // are confirmed again, so that a later owner need not wait for them.
  std::vector<RosterEntry> NextRoster(absl::Time now);
  // The roster for the next owner, once nothing more is ordered: with all that may run.
  std::vector<RosterEntry> HandOverRoster(absl::Time now);
  // The roster that became durable.
  void ConfirmRoster(const std::vector<WorkerId>& ids);

  // `sent` and `received`: when the hold was sent and its answer arrived.
  void ApplyReport(const WorkerId& id, const WorkerReport& report, absl::Time sent,
                   absl::Time received);
  void HoldFailed(const WorkerId& id, absl::Time now);
  // The worker's address answers for another worker: this one is gone with all that it ran.
  void WorkerReplaced(const WorkerId& id, absl::Time now);
  void StartFinished(const WorkerId& id, const AttemptKey& key, const OrderOutcome& outcome,
                     absl::Time now);
  // A report that was asked for, at `sent`, after the stop of a start without an answer had been
  // confirmed: an attempt that it does not list can no longer begin. Returns whether it was
  // dropped.
  bool StopChecked(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                   absl::Time sent);
  void StopFinished(const WorkerId& id, const AttemptKey& key, const OrderOutcome& outcome,
                    absl::Time now);
  // No value: the question failed and may be asked again.
  void AdviceFinished(const AdviceRequest& request, const std::optional<Advice>& advice,
                      absl::Time now);

  // Requeues what is over, then decides what starts, stops and is asked now.
  // Without `may_start` it only stops.
  ScheduledOrders Schedule(absl::Time now, bool may_start = true);

  // The worker's clock `limits.task_lease` from now; extends the worker's lease. No value before
  // the first report.
  std::optional<WorkerTime> ExtendLease(const WorkerId& id, absl::Time now);
  // Called right before a start is sent: extends the lease and returns its end. No value when the
  // attempt is not wanted any more; then it must not be sent.
  std::optional<WorkerTime> PrepareStart(const WorkerId& id, const AttemptKey& key, absl::Time now);
  // The worker has reported since anything was wrong with it.
  bool IsTrusted(const WorkerId& id) const;
  EndNumber Acknowledged(const WorkerId& id) const;
  // Some change of a job is not stored yet.
  bool HasUnstored() const;
  // The worker lists ends that are not stored yet.
  bool HasUnacknowledged(const WorkerId& id) const;

  // Changed jobs for the next transaction of one of `lanes` lanes, which may change `max_entries`
  // keys. A job always belongs to the same lane, so its records are stored in order.
  std::vector<ProgressRecord> TakeChanged(size_t max_entries, size_t lane = 0, size_t lanes = 1);
  // Returns the workers whose listed ends are all stored now and were not before.
  std::vector<WorkerId> Committed(const std::vector<ProgressRecord>& records);

  std::optional<CellJobState> VisibleState(const JobId& id) const;
  std::map<std::string, int64_t> PendingByQueue() const;
  const std::map<WorkerId, CellWorker>& workers() const { return workers_; }
  const std::map<JobId, CellJob>& jobs() const { return jobs_; }
  // Final jobs whose retention is over; forgets them.
  std::vector<JobId> TakeExpired(absl::Time now, size_t limit);
  // Tasks of inherited jobs without a known attempt may be started.
  bool InheritedMayStart(absl::Time now) const;

 private:
  CellJob* FindJob(const JobId& id);
  CellWorker* FindWorker(const WorkerId& id);
  StepRun* FindRun(const TaskRef& ref);
  std::optional<TaskRef> Locate(const std::string& task_name);
  CellWorker& WorkerFor(const WorkerDescription& description);

  void Touch(CellJob* job);
  void Finish(CellJob* job, CellJobState state, absl::Time now, const std::string& reason);
  void FinishIfComplete(CellJob* job, absl::Time now);
  void WantStops(const CellJob& job);
  void StopAttempt(const WorkerId& id, const AttemptKey& key);

  void BeginAttempt(const PlacedTask& placed, absl::Time now, ScheduledOrders* result);
  void StopAttempts(CellWorker* worker, absl::Time now, ScheduledOrders* result);
  // Removes the attempt and lets its task wait again if it was the task's attempt. `reason` is
  // logged; null: the task has succeeded.
  void DropAttempt(CellWorker* worker, const AttemptKey& key, const char* reason,
                   bool avoid_worker);
  void DropAllAttempts(CellWorker* worker, const char* reason);
  void DropGoneWorkers(absl::Time now);
  // Begins to measure anew how long the worker's attempts make no progress.
  static void RestartProgress(CellWorker* worker, absl::Time now);
  void ApplyRunning(CellWorker* worker, const RunningAttempt& running, absl::Time now);
  // The attempts that the earlier owner listed; only these can run on the worker.
  void InheritAttempts(CellWorker* worker, const RosterEntry& entry);
  // Binds the attempt to its task if that waits for one, and reserves its room.
  bool BindAttempt(CellWorker* worker, Attempt* attempt);
  void Adopt(CellWorker* worker, const RunningAttempt& running, absl::Time now);
  // Room for an attempt that belongs to no task that still runs.
  void ReserveUnwanted(Attempt* attempt);
  void ApplyEnd(CellWorker* worker, const EndedAttempt& ended, absl::Time now);
  void ApplySuccess(CellJob* job, StepRun* run, const TaskRef& ref, absl::Time now);
  void ApplyFailure(CellJob* job, StepRun* run, const TaskRef& ref, const EndedAttempt& ended,
                    absl::Time now);
  void RecordWorkerFailure(CellWorker* worker, const JobId& job, absl::Time now);
  void DropVanished(CellWorker* worker, const WorkerReport& report, absl::Time sent);
  void StopStalled(CellWorker* worker, absl::Time now);
  void AdvanceAcknowledged(CellWorker* worker);
  bool IsCurrent(const CellWorker& worker, const Attempt& attempt);
  absl::Duration LeaseBound() const;

  const PoolPart part_;
  const int64_t term_;
  const PoolLimits limits_;
  EventLog* const events_;
  // Numbers of this owner's attempts are above those of all earlier owners.
  const RunNumber first_run_;
  std::map<JobId, CellJob> jobs_;
  // Those that are not final: a day leaves ten finished jobs for each open one.
  std::map<JobId, const CellJob*> open_jobs_;
  std::map<WorkerId, CellWorker> workers_;
  absl::flat_hash_set<JobId> changed_;
  // Workers of the inherited roster that have not reported yet.
  std::set<WorkerId> unreported_;
  absl::Time inherited_leases_over_ = absl::InfinitePast();
  // Jobs that arrive before this time may be known to the earlier owner, which may not have noticed
  // its replacement yet.
  absl::Time stale_owner_until_ = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_POOL_SCHEDULER_H_
