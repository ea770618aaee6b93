#ifndef POMELOTRAY_SCHEDULER_PREEMPTION_PLANNER_H_
#define POMELOTRAY_SCHEDULER_PREEMPTION_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "scheduler/placement_policy.h"
#include "scheduler/reservation_ledger.h"
#include "scheduler/schedule_types.h"
#include "scheduler/worker_index.h"

namespace pomelotray {

// Makes room for urgent tasks by stopping repeatable tasks of lower priority, gangs as a whole. The
// room is
// earmarked: until the urgent task is placed, other jobs get nothing on that worker.
class PreemptionPlanner {
 public:
  // A task that has not checkpointed by then is stopped. Together with the time for a stop and the
  // start itself, this leaves 3.3 s of the 6.3 s within which urgent work starts.
  static constexpr absl::Duration kCheckpointGrace = absl::Seconds(3);
  // An earmark that was not used by then, for example because its worker left, is planned anew.
  static constexpr absl::Duration kEarmarkLifetime = absl::Seconds(8);

  PreemptionPlanner(const WorkerIndex* index, const ReservationLedger* ledger)
      : index_(index), ledger_(ledger) {}

  // Plans room for `count` more tasks of the job, all or none. Returns false, without effect, when
  // there is too little to stop.
  bool Plan(const JobId& job, const Resources& demand, int64_t count, absl::Time now,
            absl::FunctionRef<bool(WorkerSlot)> usable, std::vector<Preemption>* preemptions);
  // Orders a stop of the tasks that have not checkpointed in time. A gang is stopped to the last
  // task even when the urgent job needs no room any more: half of a gang is of no use.
  void Escalate(absl::Time now, std::vector<Preemption>* preemptions);
  // Drops earmarks that are too old; true when there were any.
  bool ExpireEarmarks(absl::Time now);

  // The number of the job's tasks for which room is being made.
  int64_t EarmarksOf(const JobId& job) const;
  bool AllowsPlacement(WorkerSlot slot, const JobId& job) const;
  // A task of the job was placed on the worker; true when that used up an earmark.
  bool RecordPlacement(const JobId& job, WorkerSlot slot);
  // Keeps at most `count` earmarks of the job; true when any was dropped.
  bool Trim(const JobId& job, int64_t count);
  void RecordRelease(const TaskId& victim);

 private:
  struct Victim {
    TaskId task;
    JobId job;
    WorkerSlot slot = 0;
    Resources demand;
    JobId urgent_job;
    bool gang = false;
    bool stop_ordered = false;
    absl::Time ordered_at;
  };
  struct Earmark {
    JobId job;
    WorkerSlot slot = 0;
    Resources demand;
    absl::Time ordered_at;
    bool escalated = false;
    std::vector<TaskId> victims;
  };
  struct SlotPlan {
    int64_t earmarks = 0;
    // Demand of the earmarked tasks, and what the tasks that are being stopped will free.
    Resources earmarked;
    Resources freeing;
  };
  using Choice = std::vector<const Reservation*>;

  // What a new earmark may count on without another victim.
  Resources ExpectedFree(WorkerSlot slot) const;
  // A small set of victims on the worker, or nullopt when all of them free too little.
  std::optional<Choice> ChooseVictims(WorkerSlot slot, const Resources& demand) const;
  bool PlanOne(const JobId& job, const Resources& demand, absl::Time now,
               absl::FunctionRef<bool(WorkerSlot)> usable, std::vector<Preemption>* preemptions);
  void AddEarmark(const JobId& job, const Resources& demand, WorkerSlot slot, const Choice& victims,
                  absl::Time now, std::vector<Preemption>* preemptions);
  void AddVictim(const Reservation& reservation, absl::Time now, const JobId& urgent_job,
                 std::vector<Preemption>* preemptions);
  // The number of tasks that stop when these do.
  size_t StopCount(const Choice& victims) const;
  void DropEarmark(size_t position);
  Preemption Order(const Victim& victim, StopMode mode) const;

  const WorkerIndex* index_;
  const ReservationLedger* ledger_;
  std::vector<Earmark> earmarks_;
  absl::flat_hash_map<WorkerSlot, SlotPlan> slots_;
  absl::flat_hash_map<TaskId, Victim> victims_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PREEMPTION_PLANNER_H_
