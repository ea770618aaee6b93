#ifndef POMELOTRAY_SHARD_SHARD_OWNER_H_
#define POMELOTRAY_SHARD_SHARD_OWNER_H_

#include <functional>
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
#include "model/contract.h"
#include "model/vm.h"
#include "ports/admin_service.h"
#include "ports/worker_port.h"
#include "scheduler/contract_limiter.h"
#include "scheduler/limit_source.h"
#include "scheduler/shard_scheduler.h"
#include "shard/command_sink.h"
#include "shard/intent_sender.h"
#include "shard/job_reader.h"
#include "shard/job_table.h"
#include "shard/shard_limits.h"
#include "shard/task_lifecycle.h"
#include "shard/worker_links.h"
#include "shard/worker_table.h"
#include "state/journal.h"

namespace pomelotray {

struct ShardOwnerOptions {
  ShardId shard;
  InstanceId self;
  Epoch epoch;
  absl::Duration heartbeat_interval = absl::Seconds(1);
  absl::Duration task_lease = absl::Seconds(10);
  absl::Duration command_validity = absl::Seconds(2);
  // Time for which a final job's record is kept.
  absl::Duration job_retention = absl::Hours(1);
  // Longest time that a submission or a cancellation waits for its record to become durable.
  absl::Duration commit_timeout = absl::Seconds(2);
};

// Dependencies of a ShardOwner. All of them must outlive the owner.
struct ShardOwnerContext {
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
  WorkerPort* workers = nullptr;
  ShardLimits* limits = nullptr;
  std::function<bool()> store_available;
  // Reads the shard's claim from the store. Returns true if this owner still holds it.
  std::function<bool()> claim_is_current;
};

// Owner of one shard, a group of workers. Records accepted jobs in the journal, assigns their tasks
// to workers, sends the start commands and tracks the tasks until they are final. Thread-safe.
class ShardOwner : public WorkerLinkListener, public CommandSink {
 public:
  ShardOwner(const ShardOwnerContext& context, const ShardOwnerOptions& options,
             std::unique_ptr<Journal> journal);
  ~ShardOwner() override;

  // Reads the journal and starts the scheduling thread. May be called again after a failure.
  Result<void> Start();
  // Stops scheduling and waits, up to a time limit, until the latest journal records are durable.
  // Tasks keep running on their workers.
  void Stop();

  Result<JobRecord> Submit(const JobSpec& spec);
  Result<JobRecord> GetJob(const JobId& job);
  Result<JobRecord> CancelJob(const JobId& job);
  Result<JobRecord> WaitForJob(const JobId& job, absl::Duration timeout);
  std::vector<JobRecord> ListJobs(const std::optional<CustomerId>& customer);
  std::vector<WorkerStatus> ListWorkers();

  // Takes the shard's workers from a new VM list.
  void UpdateWorkers(const std::vector<VmEntry>& vms);
  // Sets the complete list of workers that operators have drained.
  void SetDrained(const std::set<VmId>& drained);

  bool deposed() const;
  const ShardId& shard() const { return options_.shard; }
  const Epoch& epoch() const { return options_.epoch; }

 private:
  // WorkerLinkListener:
  bool ConfirmOwnership(absl::Time since) override;
  void OnFenced(const WorkerId& worker, const WorkerInventory& inventory) override;
  void OnInventory(const WorkerId& worker, const WorkerInventory& inventory) override;
  void OnStartOutcome(const WorkerId& worker, const TaskStart& start,
                      StartOutcome outcome) override;
  void OnUnreachable(const WorkerId& worker) override;
  void OnLeasesExpired(const WorkerId& worker) override;
  void OnDeposed() override;
  HeartbeatPlan PlanHeartbeat(const WorkerId& worker) override;

  // CommandSink, called with `mutex_` held:
  void SendStart(const WorkerId& worker, const TaskStart& start) override;
  void SendStartWhenDurable(const WorkerId& worker, const TaskStart& start,
                            uint64_t sequence) override;
  void SendStop(const WorkerId& worker, const AttemptId& attempt, StopMode mode) override;

  void Run();
  void RunRound();
  // Returns the job's record for a caller, after the events of all durable job ends have been
  // recorded.
  JobRecord VisibleRecord(const TrackedJob& job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Records the event for each ended job whose final state has become durable.
  void RecordDurableEnds() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void AcceptDurableJobs() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Releases the held tasks of inherited jobs once every worker has been fenced.
  void CompleteTakeover() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RemoveGoneWorkers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Releases `tasks_awaiting_store_` when the store is available again.
  void UpdateStoreAvailability() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplyRound(const ScheduleDecisions& round) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Removes final jobs whose retention time has passed.
  void PurgeOldJobs() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ReportDemand() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Called when the intent to start a task that may not be repeated is durable.
  void OnIntentDurable(const WorkerId& worker, const TaskStart& start);
  void QueueStart(const WorkerId& worker, const TaskStart& start)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Tells the scheduler whether the worker can take tasks.
  void UpdateWorkerAvailability(const WorkerId& worker) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  Result<void> CheckSubmission(const JobSpec& spec) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Waits until the job's record is durable. `submitter`: this call appended the record, and
  // withdraws it on a timeout if it has not been written.
  Result<JobRecord> AwaitAcceptance(const JobId& job, uint64_t sequence, bool submitter);
  void Wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const ShardOwnerContext context_;
  const ShardOwnerOptions options_;
  const std::unique_ptr<Journal> journal_;

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool running_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool work_pending_ ABSL_GUARDED_BY(mutex_) = false;
  bool fenced_by_worker_ ABSL_GUARDED_BY(mutex_) = false;
  bool takeover_complete_ ABSL_GUARDED_BY(mutex_) = false;
  bool store_was_available_ ABSL_GUARDED_BY(mutex_) = true;
  absl::Time next_demand_report_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  JobTable jobs_ ABSL_GUARDED_BY(mutex_);
  std::set<JobId> pending_jobs_ ABSL_GUARDED_BY(mutex_);
  // Serializes reads of the claim, so that worker links that wait for a read share its result.
  absl::Mutex claim_mutex_ ABSL_ACQUIRED_BEFORE(mutex_);
  // Start time of the latest read that confirmed the claim.
  absl::Time claim_confirmed_at_ ABSL_GUARDED_BY(claim_mutex_) = absl::InfinitePast();
  // Tasks that may not be repeated and are held while the store is unavailable, because the intent
  // to start them cannot be made durable.
  std::set<TaskId> tasks_awaiting_store_ ABSL_GUARDED_BY(mutex_);
  WorkerTable worker_table_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<ShardScheduler> scheduler_ ABSL_GUARDED_BY(mutex_);
  ContractLimiter limiter_ ABSL_GUARDED_BY(mutex_);
  TaskLifecycle lifecycle_ ABSL_GUARDED_BY(mutex_);
  JobReader reader_ ABSL_GUARDED_BY(mutex_);
  WorkerLinks links_;
  IntentSender intents_;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_SHARD_OWNER_H_
