#ifndef POMELOTRAY_SCHEDULER_QUEUED_JOB_H_
#define POMELOTRAY_SCHEDULER_QUEUED_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/strong_id.h"
#include "model/job.h"
#include "scheduler/placement_policy.h"

namespace pomelotray {

// A job with queued or reserved tasks.
struct QueuedJob {
  JobId id;
  // Without the payload.
  JobSpec spec;
  absl::Time arrival;
  // Order of arrival among jobs of equal time.
  uint64_t sequence = 0;
  // Position within its customer, from the queue policy.
  absl::Time key;
  int64_t tie_break = 0;
  // Expected cost of one task in seconds of the whole shard, as counted in the customer's backlog.
  double task_work = 0;

  absl::btree_set<TaskId> ready;
  absl::btree_set<TaskId> held;
  int64_t reserved = 0;
  bool ever_placed = false;
  // Reserved tasks that are being stopped for urgent work.
  int64_t stopping = 0;
  // Cancelled: its reserved tasks are not queued again.
  bool removed = false;
  // Its deadline passed before a start: it is not placed any more.
  bool parked = false;
  // Present in the order of waiting jobs.
  bool listed = false;
  // Workers could not be drained for it when this was last tried.
  absl::Time no_drain_before = absl::InfinitePast();

  // Tasks per rack and worker, kept for services only.
  absl::flat_hash_map<RackId, int64_t> tasks_in_rack;
  absl::flat_hash_map<WorkerSlot, int64_t> tasks_on_worker;

  bool IsGang() const { return spec.kind == JobKind::kGang; }
  bool IsUrgent() const { return spec.priority == Priority::kUrgent; }
  int64_t QueuedCount() const { return static_cast<int64_t>(ready.size() + held.size()); }
  // A gang waits until none of its queued tasks is held and none is still being stopped; otherwise
  // it would start in part.
  bool CanBePlaced() const {
    return !parked && !ready.empty() && (!IsGang() || (held.empty() && stopping == 0));
  }
  // Tasks that are placed together.
  int64_t TasksPerPlacement() const { return IsGang() ? static_cast<int64_t>(ready.size()) : 1; }
};

// Orders jobs by a time, then by the policy's tie break, then by order of arrival.
struct JobOrder {
  absl::Time time;
  int64_t tie_break = 0;
  uint64_t sequence = 0;
  QueuedJob* job = nullptr;

  friend bool operator<(const JobOrder& a, const JobOrder& b) {
    return std::tie(a.time, a.tie_break, a.sequence) < std::tie(b.time, b.tie_break, b.sequence);
  }
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_QUEUED_JOB_H_
