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

// A job that waited this long may drain workers for itself and goes before younger work.
inline constexpr absl::Duration kAgingBound = absl::Minutes(5);

// The jobs of one shard with the state of each task: ready, held or reserved. Keeps the orders in
// which jobs are served. Thread-compatible.
class JobQueue {
 public:
  enum class TaskPlace { kReady, kHeld, kReserved };

  explicit JobQueue(const QueuePolicy* policy) : policy_(policy) {}

  // The entry for the job; created when the job is not known.
  QueuedJob* FindOrAdd(const JobRecord& record, double task_work);
  QueuedJob* Find(const JobId& job) const;
  // Job of a known task, or null.
  QueuedJob* JobOf(const TaskId& task) const;
  bool IsIn(const TaskId& task, TaskPlace place) const;

  // Queues a task that is not known yet.
  void AddReady(QueuedJob* job, const TaskId& task);
  // Adds a task that is not queued as reserved, or turns a queued one into a reserved one.
  void MarkReserved(QueuedJob* job, const TaskId& task);
  // Ends a reservation. The job is forgotten with its last task.
  void DropReserved(const TaskId& task);
  // Queues a reserved task again; drops it when its job was removed.
  void ReturnReserved(const TaskId& task);
  // The reserved task was told to stop.
  void MarkStopping(const TaskId& task);
  void SetHeld(const TaskId& task, bool held);
  void RemoveQueued(QueuedJob* job);
  // Stops placing jobs whose deadline passed before their first start.
  void ParkExpired(absl::Time now);

  std::vector<JobId> Expired(absl::Time now) const;
  size_t queued_tasks() const { return queued_tasks_; }
  // Customers with waiting jobs that are not urgent.
  const absl::btree_map<CustomerId, std::unique_ptr<CustomerQueue>>& customers() const {
    return customers_;
  }
  const CustomerQueue* FindCustomer(const CustomerId& customer) const;
  CustomerQueue* CustomerOf(const QueuedJob& job);
  const absl::btree_set<JobOrder>& urgent() const { return urgent_; }
  // Jobs by the time from which they may drain workers.
  const absl::btree_set<JobOrder>& drain_candidates() const { return drain_candidates_; }
  // Expected cost of all queued tasks, in seconds of the whole shard.
  double backlog() const { return backlog_; }

 private:
  struct TaskEntry {
    QueuedJob* job = nullptr;
    TaskPlace place = TaskPlace::kReady;
    bool stopping = false;
  };

  bool ServedAsUrgent(const QueuedJob& job) const {
    return policy_->PrefersUrgent() && job.IsUrgent();
  }
  absl::Time DrainsFrom(const QueuedJob& job) const;
  void CountQueued(const QueuedJob& job, int64_t tasks);
  // Brings the orders in line with the state of the job and forgets it when it is done.
  void Refresh(QueuedJob* job);
  void List(QueuedJob* job);
  void Unlist(QueuedJob* job);

  const QueuePolicy* policy_;
  uint64_t next_sequence_ = 1;
  absl::flat_hash_map<JobId, std::unique_ptr<QueuedJob>> jobs_;
  absl::flat_hash_map<TaskId, TaskEntry> tasks_;
  absl::btree_map<CustomerId, std::unique_ptr<CustomerQueue>> customers_;
  absl::btree_set<JobOrder> urgent_;
  absl::btree_set<JobOrder> drain_candidates_;
  // Jobs with a deadline that never started: those that may still start, and the expired ones.
  absl::btree_set<JobOrder> by_deadline_;
  absl::btree_set<JobOrder> parked_;
  size_t queued_tasks_ = 0;
  double backlog_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_JOB_QUEUE_H_
