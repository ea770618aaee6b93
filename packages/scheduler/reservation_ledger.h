#ifndef POMELOTRAY_SCHEDULER_RESERVATION_LEDGER_H_
#define POMELOTRAY_SCHEDULER_RESERVATION_LEDGER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "model/job.h"
#include "scheduler/placement_policy.h"

namespace pomelotray {

// Capacity that is reserved on a worker for one task.
struct Reservation {
  TaskId task;
  JobId job;
  CustomerId customer;
  Resources demand;
  WorkerSlot slot = 0;
  JobKind kind = JobKind::kBatch;
  Priority priority = Priority::kNormal;
  bool repeatable = true;
  absl::Time since;
  // InfiniteFuture for services.
  absl::Time expected_end;

  // Returns true if urgent work may preempt the task. A task of a gang is preempted only together
  // with all other tasks of the gang.
  bool Preemptible() const { return repeatable && priority == Priority::kNormal; }
};

// Reservations of a shard, indexed by task, worker, customer and gang. Thread-compatible.
class ReservationLedger {
 public:
  const Reservation* Find(const TaskId& task) const;
  void Add(Reservation reservation);
  void Remove(const TaskId& task);

  // Reservations on the worker, in no particular order.
  const std::vector<const Reservation*>& ReservationsOnWorker(WorkerSlot slot) const;
  // Reservations of the gang's tasks, in no particular order.
  std::vector<const Reservation*> ReservationsOfGang(const JobId& job) const;
  // Total demand of the preemptible reservations on the worker.
  const Resources& PreemptibleOn(WorkerSlot slot) const;
  // Total demand of the customer's reservations.
  Resources CustomerUsage(const CustomerId& customer) const;
  size_t size() const { return by_task_.size(); }

 private:
  struct WorkerEntry {
    std::vector<const Reservation*> reservations;
    Resources preemptible;
  };

  absl::flat_hash_map<TaskId, std::unique_ptr<Reservation>> by_task_;
  std::vector<WorkerEntry> by_worker_;
  absl::flat_hash_map<CustomerId, Resources> by_customer_;
  // Reserved tasks of each gang.
  absl::flat_hash_map<JobId, absl::flat_hash_set<TaskId>> gangs_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_RESERVATION_LEDGER_H_
