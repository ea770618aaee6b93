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
// - No placement takes a worker above its capacity or a customer above its HoldLimit.
// - A queued job that has waited kAgingBound goes before other non-urgent work and may drain
//   workers for itself, one job at a time, the oldest first; a gang may do so from its arrival.
//   With n such jobs before it, a job that is within its customer's limit starts within kAgingBound
//   plus n + 1 times (1 s plus the longest run time of a task in the shard). Not counted: urgent
//   work, and workers that leave. Services that hold all room that a job could use are not drained.
// - Workers are also drained, at most one job for each eight of them, for jobs that find no room
//   though their customer holds less than its part by weight. Urgent work goes to a drained worker
//   only when it can neither be placed nor preempt elsewhere.
// - Urgent work precedes all other work; its customers' HoldLimits bound what it can take. In a
//   full pool it preempts batch tasks and services that are repeatable and not urgent, and such
//   gangs with all their tasks. Schedule must then be called at least every second.
class ShardScheduler {
 public:
  explicit ShardScheduler(std::unique_ptr<SchedulerState> state);
  ~ShardScheduler();
  ShardScheduler(const ShardScheduler&) = delete;
  ShardScheduler& operator=(const ShardScheduler&) = delete;

  void UpsertWorker(const SchedulableWorker& worker);
  // An unavailable worker gets no new placements; its reservations stay.
  void SetAvailable(const WorkerId& worker, bool available);
  // Reservations on the worker count as its customer's use until they are released or requeued.
  void RemoveWorker(const WorkerId& worker);

  // kUnplaceable when the known workers, all empty, could never hold the job.
  Result<void> CheckPlaceable(const JobSpec& spec) const;
  // kDeadlineUnmeetable, with a jittered retry_after, when the estimated wait and run time exceed
  // the deadline.
  Result<void> Admit(const JobSpec& spec) const;

  // Queues the tasks of the job whose state is kQueued. Tasks already known are left alone.
  void Enqueue(const JobRecord& job);
  // Reserves room for a task that already runs on `worker`, even above capacity or limit: the
  // worker has accepted it.
  void Adopt(const JobRecord& job, const TaskId& task, const WorkerId& worker);
  // Reserves room for queued tasks and names running tasks to be stopped for urgent work. A gang
  // larger than `max_placements` is placed when it is the first of its round.
  ScheduleRound Schedule(int max_placements);
  void Release(const TaskId& task);
  // Releases the task's room and queues it again with its job's arrival time.
  void Requeue(const TaskId& task);
  // A held task stays queued but is not placed.
  void Hold(const TaskId& task);
  void Unhold(const TaskId& task);
  // Drops queued tasks; reservations stay until they are released.
  void Remove(const JobId& job);

  // Feeds the detection of faulty workers with the outcome of a start.
  void RecordStart(const WorkerId& worker, const JobId& job, bool ok);
  // Feeds the run-time estimates with the measured run time and use of one task.
  void ObserveRun(const CustomerId& customer, const PoolName& pool, absl::Duration run_time,
                  const Resources& used);

  // Why the job waits, as a sentence; empty when it has no queued task.
  std::string WaitReason(const JobId& job) const;
  // Jobs whose deadline is at or before `now` and of which no task was ever placed or adopted.
  std::vector<JobId> ExpiredJobs(absl::Time now) const;
  Resources Reserved(const WorkerId& worker) const;
  bool IsQuarantined(const WorkerId& worker) const;
  Resources CustomerUse(const CustomerId& customer) const;
  // Demand of the customer's queued tasks.
  Resources CustomerWanted(const CustomerId& customer) const;
  size_t QueuedTasks() const;
  absl::Duration ExpectedWait(const JobSpec& spec) const;

 private:
  std::unique_ptr<SchedulerState> state_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SHARD_SCHEDULER_H_
