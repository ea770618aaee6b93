#ifndef POMELOTRAY_SCHEDULER_JOB_QUEUE_H_
#define POMELOTRAY_SCHEDULER_JOB_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/strong_id.h"
#include "model/job.h"
#include "scheduler/customer_queue.h"
#include "scheduler/queue_policy.h"
#include "scheduler/queued_job.h"

namespace pomelotray {

// Waiting time after which a job is aged: workers may be drained for it, and it is placed before
// younger non-urgent jobs.
inline constexpr absl::Duration kAgingBound = absl::Minutes(5);

// Queued and reserved tasks of one shard's jobs, and the orders in which the jobs are scheduled.
// Each task is ready, held or reserved. Thread-compatible.
class JobQueue {
 public:
  enum class QueueState { kReady, kHeld, kReserved };

  explicit JobQueue(const QueuePolicy* policy) : policy_(policy) {}

  // Returns the entry of the job and creates it if it does not exist.
  QueuedJob* FindOrAdd(const JobRecord& record, double task_cost);
  QueuedJob* Find(const JobId& job) const;
  // Returns the job of the task, or null if the task is unknown.
  QueuedJob* JobOf(const TaskId& task) const;
  bool IsInState(const TaskId& task, QueueState state) const;

  // Queues the task as ready; has no effect if the task is already known.
  void AddReady(QueuedJob* job, const TaskId& task);
  // Marks the task as reserved. Adds it if it is unknown, and dequeues it if it is queued.
  void MarkReserved(QueuedJob* job, const TaskId& task);
  // Removes a reserved task. The job's entry is removed with its last task.
  void RemoveReserved(const TaskId& task);
  // Queues a reserved task again, or removes it if its job was removed.
  void RequeueReserved(const TaskId& task);
  // Records that the reserved task was requested to stop.
  void MarkStopping(const TaskId& task);
  void SetHeld(const TaskId& task, bool held);
  // Removes all queued tasks of the job; its reserved tasks will not be queued again.
  void RemoveQueued(QueuedJob* job);
  // Excludes jobs whose deadline passed before their first start from placement.
  void MarkExpired(absl::Time now);

  // Jobs that never started and whose deadline is at or before `now`.
  std::vector<JobId> Expired(absl::Time now) const;
  size_t queued_tasks() const { return queued_tasks_; }
  // One queue for each customer, with its waiting jobs that are not scheduled as urgent.
  const absl::btree_map<CustomerId, std::unique_ptr<CustomerQueue>>& customers() const {
    return customers_;
  }
  const CustomerQueue* FindCustomer(const CustomerId& customer) const;
  CustomerQueue* CustomerOf(const QueuedJob& job);
  const absl::btree_set<JobOrder>& urgent() const { return urgent_; }
  // Waiting jobs, ordered by the time from which workers may be drained for them.
  const absl::btree_set<JobOrder>& drain_candidates() const { return drain_candidates_; }
  // Expected cost of all queued tasks, in seconds of the whole shard's capacity.
  double backlog() const { return backlog_; }

 private:
  struct TaskEntry {
    QueuedJob* job = nullptr;
    QueueState state = QueueState::kReady;
    bool stopping = false;
  };

  bool ServedAsUrgent(const QueuedJob& job) const {
    return policy_->PrefersUrgent() && job.IsUrgent();
  }
  // Time from which workers may be drained for the job.
  absl::Time DrainsFrom(const QueuedJob& job) const;
  // Adds `tasks`, which may be negative, to the totals of queued tasks.
  void CountQueued(const QueuedJob& job, int64_t tasks);
  // Updates the job's entries in the scheduling orders after a change of its tasks. Deletes the job
  // when it has no tasks left.
  void Refresh(QueuedJob* job);
  void InsertWaiting(QueuedJob* job);
  void EraseWaiting(QueuedJob* job);

  const QueuePolicy* policy_;
  uint64_t next_sequence_ = 1;
  absl::flat_hash_map<JobId, std::unique_ptr<QueuedJob>> jobs_;
  absl::flat_hash_map<TaskId, TaskEntry> tasks_;
  absl::btree_map<CustomerId, std::unique_ptr<CustomerQueue>> customers_;
  absl::btree_set<JobOrder> urgent_;
  absl::btree_set<JobOrder> drain_candidates_;
  // Jobs that have a deadline and never started, ordered by deadline. `by_deadline_` holds those
  // that can still be placed, `expired_` those that MarkExpired() excluded from placement.
  absl::btree_set<JobOrder> by_deadline_;
  absl::btree_set<JobOrder> expired_;
  size_t queued_tasks_ = 0;
  double backlog_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_JOB_QUEUE_H_
