#ifndef POMELOTRAY_CELL_OWNERSHIP_POOL_SCHEDULER_H_
#define POMELOTRAY_CELL_OWNERSHIP_POOL_SCHEDULER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "base/event_log.h"
#include "cell/advice/advice_shares.h"
#include "cell/cell_job.h"
#include "cell/cell_ports.h"
#include "cell/limits/cap_policy.h"
#include "cell/limits/share_policy.h"
#include "cell/membership/pool_part.h"
#include "cell/placement/interference_model.h"
#include "cell/placement/schedule_round.h"
#include "cell/placement/start_statistics.h"
#include "cell/placement/worker_speeds.h"
#include "cell/records/attempt_names.h"
#include "cell/records/job_record.h"
#include "cell/workers/cell_worker.h"
#include "cell/workers/worker_loss.h"

namespace pomelotray {

// Limits for one pool, set by the platform.
struct PoolLimits {
  // Duration of a worker's lease, which covers all attempts on the worker and is renewed by each
  // hold.
  absl::Duration task_lease = absl::Seconds(6);
  // Largest relative error of a worker's clock. The scheduler waits longer for the end of a lease
  // by this margin, since a slow clock lets the worker hold its lease longer.
  double clock_drift = 0.02;
  // How far customers may exceed their rates.
  RateTolerance rate_tolerance;
  // How long a job in a final state is kept in memory.
  absl::Duration retention = absl::Seconds(150);
};

// A start or stop order for a worker. The decision behind it has already been logged.
struct WorkerOrder {
  enum class Kind { kStart, kStop };
  Kind kind = Kind::kStart;
  AttemptKey key;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  // For a start order: the worker has to answer first, so that the order is not lost on a worker
  // that has just stopped answering. Whether that worker carries it out stays unknown until its
  // lease is over.
  bool probe_first = false;
  // For a stop order: request a report as soon as the stop is confirmed, to learn whether the
  // attempt ever began.
  bool check = false;
};

struct ScheduledOrders {
  std::vector<std::pair<WorkerId, WorkerOrder>> orders;
  std::vector<AdviceRequest> advice;
  // Number of pairs of a task and a worker that were examined; measures the cost of the round.
  int64_t workers_examined = 0;
};

// Times by the clock of a new owner that bound the leases that earlier owners have granted.
struct InheritedTimes {
  absl::Time now;
  // When this owner claimed the part: no earlier owner grants a lease much later.
  absl::Time claimed;
  // The inherited roster was written before this time.
  absl::Time roster_written;
};

// Scheduling state and decisions of the owner of one pool part: its jobs, workers and attempts.
// Starts no threads and does no I/O, so that tests can drive each rule with a simulated clock. Not
// thread-safe: the caller serializes all calls. A task is started again only when its last attempt
// is known to be over.
class PoolScheduler {
 public:
  PoolScheduler(PoolPart part, int64_t term, PoolLimits limits, EventLog* events);

  // Loads the jobs and the roster that earlier owners stored; called before the first Schedule().
  // Tasks of these jobs are not started until every worker of the roster has reported or its lease
  // has expired. Two kinds of workers delay only the tasks that they may be running: a worker that
  // is recorded as unreachable, and a worker whose attempts the immediately preceding owner listed
  // in its handover. Without a roster, the tasks wait until all leases must have expired.
  void LoadInheritedState(std::vector<JobIntake> jobs, const std::map<JobId, std::string>& progress,
                          const std::optional<std::vector<RosterEntry>>& roster,
                          const InheritedTimes& times);

  // Sets the contracts in force, on which the limits of all customers depend.
  void SetContracts(const std::vector<Contract>& contracts);

  // Takes the allowances of a call of the coordinator of the caps and returns the part's state for
  // the answer. Fails with kFenced if a later call was applied before.
  Result<CapReport> ExchangeCaps(const CapCall& call, absl::Time now);

  // Adds a job that an earlier owner finished. Does nothing if the job is already known.
  void AddFinishedJob(const JobId& id, const JobStatus& status, absl::Time now);
  // AddJob() and CancelJob() are idempotent.
  void AddJob(JobIntake intake, absl::Time now);
  void CancelJob(const JobId& id, absl::Time now);

  // Takes the current contents of the worker directory. Workers that are missing from it get no new
  // starts.
  void UpdateDirectory(const std::vector<WorkerDescription>& workers, absl::Time now);
  // Returns the roster to store next: the workers on which tasks may run or be started. All other
  // workers get no starts until ConfirmRoster() names them again, so that a later owner does not
  // have to wait for them. Leases on workers that do not answer are not extended any more, for the
  // same reason.
  std::vector<RosterEntry> BuildRoster(absl::Time now);
  // Returns the roster for a planned handover to the next owner, with all attempts that may be
  // running. Called when no more orders will be sent.
  std::vector<RosterEntry> BuildHandoverRoster(absl::Time now);
  // Allows starts and lease extensions on the workers of a roster that has been stored durably.
  // `ids` names those that the roster does not list as unreachable and whose leases it does not
  // bound.
  void ConfirmRoster(const std::vector<WorkerId>& ids);
  // Whether the worker answers and the roster has to be stored before its lease is extended again.
  bool NeedsRosterToExtendLease(const WorkerId& id) const;

  // `sent` is the time at which the hold was sent, `received` the time of its answer.
  void ApplyReport(const WorkerId& id, const WorkerReport& report, absl::Time sent,
                   absl::Time received);
  void HoldFailed(const WorkerId& id, absl::Time now);
  // Called when another worker answers at the worker's address. The worker no longer exists, and
  // none of its attempts runs any more.
  void WorkerReplaced(const WorkerId& id, absl::Time now);
  // Called when the worker is at another address, so that orders to the former one get no answer
  // any more.
  void WorkerMoved(const WorkerId& id, absl::Time now);
  void StartFinished(const WorkerId& id, const AttemptKey& key, const OrderOutcome& outcome,
                     absl::Time now);
  // Takes a report that was requested at `sent`, after the worker had confirmed the stop of an
  // attempt whose start was not answered. If the report does not list the attempt, it can no longer
  // begin and is dropped. Returns whether the attempt was dropped.
  bool ResolveStoppedAttempt(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                             absl::Time sent, absl::Time now);
  void StopFinished(const WorkerId& id, const AttemptKey& key, const OrderOutcome& outcome,
                    absl::Time now);
  // `advice` has no value if the call to the adviser failed. The question is then retried.
  void AdviceFinished(const AdviceRequest& request, const std::optional<Advice>& advice,
                      absl::Time now);

  // Requeues the tasks of workers whose lease has expired, then returns the start and stop orders
  // and the questions to the adviser to send now. If `may_start` is false, it returns stop orders
  // only.
  ScheduledOrders Schedule(absl::Time now, bool may_start = true);

  // Extends the worker's lease by `limits.task_lease` from `now` and returns its end by the
  // worker's clock. Returns no value if the worker is unknown or not trusted, for example before
  // its first report.
  std::optional<WorkerTime> ExtendLease(const WorkerId& id, absl::Time now);
  // Called immediately before a start is sent: extends the lease and returns its end. Returns no
  // value if the attempt is no longer wanted or the worker is not trusted. The start must not be
  // sent then.
  std::optional<WorkerTime> PrepareStart(const WorkerId& id, const AttemptKey& key, absl::Time now);
  // Returns whether the worker has answered a report request sent after CellWorker::unanswered_at.
  bool IsTrusted(const WorkerId& id) const;
  EndNumber AcknowledgedEnd(const WorkerId& id) const;
  // Returns whether any change of a job is not stored yet.
  bool HasUnstoredChanges() const;
  // Returns whether the worker lists attempt ends that are not stored yet.
  bool HasUnacknowledgedEnds(const WorkerId& id) const;

  // Returns records of changed jobs for the next transaction of commit stream `stream` out of
  // `stream_count`. The records change at most `max_entries` keys in the store. A job always
  // belongs to the same stream, so that its records are stored in order.
  std::vector<ProgressRecord> TakeChangedRecords(size_t max_entries, size_t stream = 0,
                                                 size_t stream_count = 1);
  // Called when `records` have been stored. Returns the workers whose last unstored attempt ends
  // were stored by this transaction.
  std::vector<WorkerId> MarkCommitted(const std::vector<ProgressRecord>& records);

  std::optional<CellJobState> VisibleState(const JobId& id) const;
  // The same with the job's customer.
  std::optional<JobStatus> VisibleStatus(const JobId& id) const;
  std::map<std::string, int64_t> PendingByQueue() const;
  const std::map<WorkerId, CellWorker>& workers() const { return workers_; }
  const std::map<JobId, CellJob>& jobs() const { return jobs_; }
  // Removes up to `limit` jobs in a final state whose retention has expired, and returns their ids.
  std::vector<JobId> TakeExpiredJobs(absl::Time now, size_t limit);
  // Returns whether tasks of inherited jobs that have no known attempt may be started.
  bool CanStartInheritedTasks(absl::Time now) const;

 private:
  // Returns what the other modules contribute to the decisions of the next round.
  RoundPolicies PrepareRound(absl::Time now);
  UnknownUse FindUnknownUse(absl::Time now) const;
  // Logs which workers have become slow or have recovered.
  void RecordSpeedChanges(const std::vector<SpeedChange>& changes);
  // Counts the placements that avoided interfering neighbors, and logs the pairs that interfere
  // when they have changed.
  void RecordInterference(const RoundResult& round, absl::Time now);
  // Tells the modules that learn from attempts about one that has just succeeded.
  void LearnFromSuccess(const CellWorker& worker, const Attempt& attempt, absl::Time now);
  CellJob* FindJob(const JobId& id);
  // Returns the job that the name of a task contains, also if it is in a final state.
  CellJob* FindJobOfTask(const std::string& task_name);
  CellWorker* FindWorker(const WorkerId& id);
  StepRun* FindStepRun(const TaskRef& ref);
  std::optional<TaskRef> ResolveTaskName(const std::string& task_name);
  CellWorker& UpsertCellWorker(const WorkerDescription& description);

  void MarkChanged(CellJob* job);
  void Finish(CellJob* job, CellJobState state, absl::Time now, const std::string& reason);
  void FinishIfComplete(CellJob* job, absl::Time now);
  void RequestStops(const CellJob& job);
  // Marks the attempt to be stopped. Returns false if it is unknown or already marked.
  bool StopAttempt(const WorkerId& id, const AttemptKey& key);

  // Notes when the waits of long-running tasks begin, and stores those that are long.
  void NoteWaits(absl::Time now);
  // Ends the wait of the attempt's task, which has begun to run on the worker.
  void EndWait(const TaskRef& task, const WorkerId& worker, absl::Time now);
  void BeginAttempt(const PlacedTask& placed, absl::Time now, ScheduledOrders* result);
  // Stops the attempts of tasks that are moved away from leaving workers.
  void BeginMoves(const std::vector<TaskMove>& moves, absl::Time now);
  void StopAttempts(CellWorker* worker, absl::Time now, ScheduledOrders* result);
  // Removes the attempt. If it was the current attempt of its task, the task waits to be started
  // again and `reason` is logged, unless it is null.
  void DropAttempt(CellWorker* worker, const AttemptKey& key, const char* reason, bool avoid_worker,
                   absl::Time now);
  // Takes note that the worker has said that the attempt, and so its job, has begun.
  void NoteBegun(Attempt* attempt);
  static void NoteBegun(CellJob* job);
  // Lets the step renew the ticket that the attempt used, unless it has a newer one.
  void ExpireTicket(const WorkerId& id, const Attempt& attempt);
  // Keeps the checkpoint of an attempt that is over for the next start of its task. All tasks of a
  // gang get the checkpoint that was received last, since they must start with the same one.
  void KeepCheckpoint(const Attempt& attempt);
  // Stops the active members of the task's gang, if it belongs to one: without the task they could
  // only wait. With `run`, only members of that attempt are stopped.
  void StopGang(const TaskRef& task, std::optional<RunNumber> run);
  // Requeues the tasks of all attempts on a worker that is gone.
  void LoseAttempts(CellWorker* worker, WorkerLossCause cause, absl::Time now);
  // Keeps the certain loss of the worker at `lost_at` for the judgement of other losses.
  void RememberLoss(const CellWorker& worker, absl::Time lost_at);
  // Returns the times at which other workers were lost: of those whose loss is certain, and of
  // those that do not answer, since the loss of one becomes certain before that of the next.
  std::vector<absl::Time> LossesOfOthers(const CellWorker& worker) const;
  size_t CountListedWorkers() const;
  // Describes what the loss of the worker says about the task of one of its attempts.
  static LostAttempt DescribeLoss(const CellWorker& worker, const Attempt& attempt,
                                  absl::Time lost_at);
  // Adds the loss of the worker to the histories of the tasks that may have caused it. If the loss
  // is not certain, only to those of tasks that are or will be suspected.
  void RecordLosses(CellWorker* worker, absl::Time now, bool certain);
  // Removes the attempts on a worker from these histories: the worker has not crashed.
  void RetractLosses(CellWorker* worker);
  void RetractLoss(const TaskRef& task, RunNumber attempt);
  void RecordTaskWorkerLost(const CellWorker& worker, const Attempt& attempt, WorkerLossCause cause,
                            absl::Time lost_at);
  // Ends the job as failed if the task crashes its workers. Returns whether the job has ended.
  bool GiveUpIfItCrashesWorkers(const TaskRef& task, absl::Time now);
  // Clears tasks that have run long enough without crashing the worker of their losses, and ends
  // their isolation. Long-running tasks are cleared whether they are isolated or not: they may have
  // started beside others, and their losses would add up for as long as they run.
  void ClearSurvivors(CellWorker* worker);
  static void MarkUnreachable(CellWorker* worker, absl::Time now);
  void DropExpiredWorkers(absl::Time now);
  // Whether the next round has to explain why long-running steps wait.
  bool IsWaitReportDue(absl::Time now) const;
  // Logs the long-running steps that have waited since the last report.
  void RecordWaits(const std::vector<StepWait>& waits, absl::Time now);
  // Logs the starts and questions of the last second.
  void RecordStarts(const RoundResult& round, absl::Time now);
  // Logs the customers that are over their shares, at most once every few seconds.
  void RecordOverShare(absl::Time now);
  // Logs a summary of the part, at most once every few seconds.
  void RecordPoolState(const RoundResult& round, absl::Time now);
  // Restarts the measurement of how long each running attempt of the worker has made no progress.
  static void ResetProgressTimers(CellWorker* worker, absl::Time now);
  void ApplyRunning(CellWorker* worker, const RunningAttempt& running, absl::Time now);
  // Adds the attempts that the earlier owner listed for the worker. No others can run on it.
  void InheritAttempts(CellWorker* worker, const RosterEntry& entry, absl::Time now);
  // Makes the attempt the current one of its task if the task has no newer one, also if the attempt
  // is to be stopped: the task must not start again while it may run. Any other attempt is marked
  // to be stopped. Reserves its capacity on the worker in all cases. Returns whether the attempt is
  // wanted.
  bool BindAttempt(CellWorker* worker, Attempt* attempt);
  void AdoptAttempt(CellWorker* worker, const RunningAttempt& running, absl::Time now);
  // Logs how the owner learned of an attempt that an earlier owner started: "roster" or "report".
  void RecordAdoption(const CellWorker& worker, const Attempt& attempt, bool wanted,
                      const char* source) const;
  // Sets the reserved capacity of an attempt that has no task here, because its job is in a final
  // state or unknown.
  void ReserveForUnboundAttempt(Attempt* attempt);
  void ApplyEnd(CellWorker* worker, const EndedAttempt& ended, absl::Time now);
  void ApplySuccess(CellJob* job, StepRun* run, const TaskRef& ref, absl::Time now);
  // Records the end of a long-running task's attempt, after which the task is started again.
  void ApplyLongRunningEnd(CellJob* job, StepRun* run, const TaskRef& ref);
  // Delays the next start of a long-running task whose attempts end soon after their start.
  static void DelayRestart(const Attempt& attempt, CellTask* task, absl::Time now);
  void ApplyFailure(CellJob* job, StepRun* run, const TaskRef& ref, const EndedAttempt& ended,
                    absl::Time now);
  void RecordWorkerFailure(CellWorker* worker, const JobId& job, absl::Time now);
  void DropUnlistedAttempts(CellWorker* worker, const WorkerReport& report, absl::Time sent,
                            absl::Time received);
  void StopStalledAttempts(CellWorker* worker, absl::Time now);
  void AdvanceAcknowledged(CellWorker* worker);
  bool IsCurrent(const CellWorker& worker, const Attempt& attempt);
  // Whether attempts of earlier owners that are not known here may be running on the worker or have
  // ended there.
  bool MayHaveUnknownAttempts(const WorkerId& id) const;
  // Applies what follows from the absence of attempts from a report.
  void ApplyAbsences(CellWorker* worker, const WorkerReport& report, absl::Time sent,
                     absl::Time received);
  absl::Duration MaxLeaseDuration() const;
  void InheritWorker(const RosterEntry& entry, const InheritedTimes& times);
  // Whether the roster says from now on that the worker's leases are not extended.
  bool IsLeaseToBeWithheld(const WorkerId& id, const CellWorker& worker, absl::Time now) const;

  const PoolPart part_;
  const int64_t term_;
  const PoolLimits limits_;
  EventLog* const events_;
  // All attempt numbers of this owner are greater than this, and so than those of earlier owners.
  const RunNumber first_run_;
  std::map<JobId, CellJob> jobs_;
  // The jobs that are not in a final state. Kept apart because after a day there are ten finished
  // jobs for each open one.
  std::map<JobId, const CellJob*> open_jobs_;
  std::map<WorkerId, CellWorker> workers_;
  CapPolicy caps_;
  SharePolicy shares_;
  WorkerSpeeds speeds_;
  InterferenceModel interference_;
  // The version of the interfering pairs that was logged last, and when.
  int64_t recorded_interference_ = 0;
  absl::Time interference_recorded_at_ = absl::InfinitePast();
  StartStatistics statistics_;
  absl::Time pool_state_recorded_at_ = absl::InfinitePast();
  absl::Time over_share_recorded_at_ = absl::InfinitePast();
  // A waiting long-running step, identified by its job and its index in CellJob::runs.
  struct WaitingStep {
    WaitReason reason = WaitReason::kCapacity;
    absl::Time reason_since;
    absl::Time recorded_at = absl::InfinitePast();
  };
  std::map<std::pair<JobId, int>, WaitingStep> waiting_steps_;
  absl::Time waits_recorded_at_ = absl::InfinitePast();
  AdviceShares advice_shares_;
  absl::flat_hash_set<JobId> changed_;
  // When the workers whose loss was certain were lost, as far as it matters to later losses.
  std::map<WorkerId, absl::Time> lost_workers_;
  // Workers of the inherited roster that have not reported yet, and when the leases there are over.
  std::map<WorkerId, absl::Time> unreported_workers_;
  // Workers of the inherited roster whose reports so far may have omitted ended attempts.
  std::set<WorkerId> partly_reported_workers_;
  absl::Time loaded_at_ = absl::InfinitePast();
  // The earlier owner may not have noticed its replacement before this time. It may know, and have
  // started, jobs that arrive until then.
  absl::Time stale_owner_until_ = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_OWNERSHIP_POOL_SCHEDULER_H_
