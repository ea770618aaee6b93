#ifndef POMELOTRAY_SCHEDULER_SHARD_SCHEDULER_H_
#define POMELOTRAY_SCHEDULER_SHARD_SCHEDULER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "model/job.h"
#include "scheduler/limit_source.h"
#include "scheduler/schedule_types.h"

namespace pomelotray {

class SchedulerState;

// Decides which queued task of one shard starts on which worker. Thread-compatible; does no I/O.
// Built by ShardSchedulerBuilder.
//
// - No placement takes a worker above its capacity or a customer above its resource limit.
// - A queued job that has waited for kAgingBound precedes other non-urgent work, and workers may be
//   drained for it. Workers are drained for one such job at a time, the oldest first. For a gang,
//   they may be drained from its arrival on. With n such jobs before it, a job that is within its
//   customer's limit starts within kAgingBound plus n + 1 times (1 s plus the longest run time of a
//   task in the shard). The bound does not cover delays by urgent work or by workers that leave,
//   nor jobs for which all usable capacity is held by services, which are not drained.
// - Workers are also drained for jobs that cannot be placed although their customer holds less than
//   its share by weight, for at most one job per eight workers. Urgent work uses these workers only
//   if it can neither be placed nor preempt other work elsewhere.
// - Urgent work precedes all other work and is bounded by its customers' resource limits. In a full
//   pool it preempts repeatable, non-urgent batch tasks, services and gangs. A gang is always
//   preempted with all its tasks. Schedule must then be called at least every second.
class ShardScheduler {
 public:
  explicit ShardScheduler(std::unique_ptr<SchedulerState> state);
  ~ShardScheduler();
  ShardScheduler(const ShardScheduler&) = delete;
  ShardScheduler& operator=(const ShardScheduler&) = delete;

  void UpsertWorker(const SchedulableWorker& worker);
  // An unavailable worker gets no new placements; its reservations remain.
  void SetAvailable(const WorkerId& worker, bool available);
  // Reservations on the removed worker count towards the use of their customers until they are
  // released or requeued.
  void RemoveWorker(const WorkerId& worker);

  // Fails with kUnplaceable if the job would not fit on the known workers even if all were empty.
  Result<void> CheckPlaceable(const JobSpec& spec) const;
  // Fails with kDeadlineUnmeetable and a jittered retry_after if the estimated wait and run time
  // exceed the time left until the deadline.
  Result<void> Admit(const JobSpec& spec) const;

  // Queues the tasks of the job whose state is kQueued. Tasks that are already known are skipped.
  void Enqueue(const JobRecord& job);
  // Reserves capacity for a task that already runs on `worker`. The worker has accepted the task,
  // so this may exceed the worker's capacity or the customer's limit.
  void Adopt(const JobRecord& job, const TaskId& task, const WorkerId& worker);
  // Reserves capacity for queued tasks and selects running tasks to be stopped for urgent work.
  // Places at most `max_placements` tasks, but a larger gang is placed if it is the first of the
  // round.
  ScheduleDecisions Schedule(int max_placements);
  void Release(const TaskId& task);
  // Releases the task's reservation and queues the task again with its job's arrival time.
  void Requeue(const TaskId& task);
  // A held task stays queued but is not placed.
  void Hold(const TaskId& task);
  void Unhold(const TaskId& task);
  // Removes the job's queued tasks; its reservations remain until they are released.
  void Remove(const JobId& job);

  // Reports the outcome of a task start to the detection of faulty workers. An attempt that has run
  // for WorkerHealth::kProvenRunTime counts as a success.
  void RecordStart(const WorkerId& worker, const JobId& job, bool ok);
  // Updates the run-time estimates with the measured run time and resource use of one task.
  void ObserveRun(const CustomerId& customer, const PoolName& pool, absl::Duration run_time,
                  const Resources& used);

  // Explains in a sentence why the job waits; empty if it has no queued tasks.
  std::string WaitReason(const JobId& job) const;
  // Jobs whose deadline is at or before `now` and none of whose tasks was ever placed or adopted.
  std::vector<JobId> ExpiredJobs(absl::Time now) const;
  Resources Reserved(const WorkerId& worker) const;
  bool IsQuarantined(const WorkerId& worker) const;
  Resources CustomerUsage(const CustomerId& customer) const;
  // Demand of the customer's queued tasks.
  Resources CustomerDemand(const CustomerId& customer) const;
  size_t QueuedTasks() const;
  absl::Duration ExpectedWait(const JobSpec& spec) const;

 private:
  std::unique_ptr<SchedulerState> state_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SHARD_SCHEDULER_H_
