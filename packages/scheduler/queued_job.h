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

// Scheduling state of a job with queued or reserved tasks.
struct QueuedJob {
  JobId id;
  // The payload is left empty.
  JobSpec spec;
  absl::Time arrival;
  // Order in which the jobs were added; breaks ties between equal times.
  uint64_t sequence = 0;
  // Position among the jobs of the same customer, assigned by the queue policy.
  absl::Time key;
  int64_t tie_break = 0;
  // Expected cost of one task, in seconds of the whole shard's capacity. Fixed when the job is
  // added, so that the customer's backlog is reduced by the amount that was added to it.
  double task_cost = 0;

  absl::btree_set<TaskId> ready;
  absl::btree_set<TaskId> held;
  int64_t reserved = 0;
  bool ever_placed = false;
  // Reserved tasks that are being stopped for urgent work.
  int64_t stopping = 0;
  // The job was cancelled; its reserved tasks are not queued again.
  bool removed = false;
  // The deadline passed before the job's first start; the job is no longer placed.
  bool expired = false;
  // The job is in the scheduling orders of JobQueue.
  bool waiting = false;
  // Earliest time of the next attempt to drain workers for the job, after one that failed.
  absl::Time next_drain_attempt = absl::InfinitePast();

  // Number of reserved tasks per rack and per worker; maintained only for services.
  absl::flat_hash_map<RackId, int64_t> tasks_in_rack;
  absl::flat_hash_map<WorkerSlot, int64_t> tasks_on_worker;

  bool IsGang() const { return spec.kind == JobKind::kGang; }
  bool IsUrgent() const { return spec.priority == Priority::kUrgent; }
  int64_t QueuedCount() const { return static_cast<int64_t>(ready.size() + held.size()); }
  // A gang can be placed only when none of its queued tasks is held and none of its reserved tasks
  // is being stopped; otherwise only some of its tasks would start.
  bool CanBePlaced() const {
    return !expired && !ready.empty() && (!IsGang() || (held.empty() && stopping == 0));
  }
  // Number of tasks that are placed together.
  int64_t TasksPerPlacement() const { return IsGang() ? static_cast<int64_t>(ready.size()) : 1; }
};

// Orders jobs by a time, then by the tie break of the queue policy, then by sequence.
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
