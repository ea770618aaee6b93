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
  // Infinite for services.
  absl::Time expected_end;

  // Urgent work may have it stopped; a task of a gang only together with all others of the gang.
  bool Preemptible() const { return repeatable && priority == Priority::kNormal; }
};

// The reservations of a shard by task, by worker and by customer. Thread-compatible.
class ReservationLedger {
 public:
  const Reservation* Find(const TaskId& task) const;
  void Add(Reservation reservation);
  void Remove(const TaskId& task);

  // Tasks with a reservation on the worker, in no particular order.
  const std::vector<const Reservation*>& OnWorker(WorkerSlot slot) const;
  // Reservations of the gang's tasks, in no particular order.
  std::vector<const Reservation*> OfGang(const JobId& job) const;
  // Sum over the preemptible reservations on the worker.
  const Resources& PreemptibleOn(WorkerSlot slot) const;
  Resources CustomerUse(const CustomerId& customer) const;
  size_t size() const { return by_task_.size(); }

 private:
  struct WorkerEntry {
    std::vector<const Reservation*> reservations;
    Resources preemptible;
  };

  absl::flat_hash_map<TaskId, std::unique_ptr<Reservation>> by_task_;
  std::vector<WorkerEntry> by_worker_;
  absl::flat_hash_map<CustomerId, Resources> by_customer_;
  // Of gangs only.
  absl::flat_hash_map<JobId, absl::flat_hash_set<TaskId>> gangs_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_RESERVATION_LEDGER_H_
