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

// Frees capacity for urgent tasks by preempting repeatable tasks of normal priority. A gang is
// always preempted as a whole. The worker on which capacity is freed gets an earmark for the urgent
// job: until its task is placed or the earmark expires, only jobs with an earmark on that worker
// are placed there.
class PreemptionPlanner {
 public:
  // A task that has not checkpointed and exited within this time is stopped. Urgent work must start
  // within 6.3 s, so 3.3 s are left for the stop and the start.
  static constexpr absl::Duration kCheckpointGrace = absl::Seconds(3);
  // An earmark that was not used within this time, for example because its worker left, is dropped
  // and planned again.
  static constexpr absl::Duration kEarmarkLifetime = absl::Seconds(8);

  PreemptionPlanner(const WorkerIndex* index, const ReservationLedger* ledger)
      : index_(index), ledger_(ledger) {}

  // Plans preemptions and earmarks for `count` more tasks of the job. If preempting all eligible
  // tasks would not free enough capacity for all of them, returns false and changes nothing.
  bool Plan(const JobId& job, const Resources& demand, int64_t count, absl::Time now,
            absl::FunctionRef<bool(WorkerSlot)> usable, std::vector<Preemption>* preemptions);
  // Requests a stop of the tasks that have not checkpointed within kCheckpointGrace. All tasks of a
  // gang are stopped even when the urgent job no longer needs the capacity, because a gang cannot
  // run with only some of its tasks.
  void Escalate(absl::Time now, std::vector<Preemption>* preemptions);
  // Drops earmarks older than kEarmarkLifetime. Returns true if any was dropped.
  bool ExpireEarmarks(absl::Time now);

  // Number of the job's tasks for which capacity is being freed.
  int64_t EarmarksOf(const JobId& job) const;
  // Returns true if the worker has no earmarks, or one for this job.
  bool AllowsPlacement(WorkerSlot slot, const JobId& job) const;
  // Records that a task of the job was placed on the worker. Returns true if an earmark was used.
  bool RecordPlacement(const JobId& job, WorkerSlot slot);
  // Keeps at most `count` earmarks of the job. Returns true if any was dropped.
  bool TrimEarmarks(const JobId& job, int64_t count);
  // Records that the reservation of a preempted task has ended.
  void RecordRelease(const TaskId& victim);

 private:
  struct Victim {
    TaskId task;
    JobId job;
    WorkerSlot slot = 0;
    Resources demand;
    JobId urgent_job;
    bool gang = false;
    bool stop_requested = false;
    absl::Time requested_at;
  };
  struct Earmark {
    JobId job;
    WorkerSlot slot = 0;
    Resources demand;
    absl::Time requested_at;
    bool escalated = false;
    std::vector<TaskId> victims;
  };
  struct SlotPlan {
    int64_t earmarks = 0;
    // Total demand of the tasks with an earmark on this worker.
    Resources earmarked;
    // Total reservations of the tasks that are being stopped on this worker.
    Resources freeing;
  };
  using VictimList = std::vector<const Reservation*>;

  // Capacity available to a new earmark without another preemption: free now or being freed, less
  // the demand of the existing earmarks.
  Resources ExpectedFree(WorkerSlot slot) const;
  // Returns a small set of tasks to preempt on the worker, or nullopt if preempting all eligible
  // tasks would not free enough capacity.
  std::optional<VictimList> ChooseVictims(WorkerSlot slot, const Resources& demand) const;
  bool PlanTask(const JobId& job, const Resources& demand, absl::Time now,
                absl::FunctionRef<bool(WorkerSlot)> usable, std::vector<Preemption>* preemptions);
  void AddEarmark(const JobId& job, const Resources& demand, WorkerSlot slot,
                  const VictimList& victims, absl::Time now, std::vector<Preemption>* preemptions);
  void AddVictim(const Reservation& reservation, absl::Time now, const JobId& urgent_job,
                 std::vector<Preemption>* preemptions);
  // Number of tasks that stop when the victims are preempted, including the rest of their gangs.
  size_t StopCount(const VictimList& victims) const;
  void DropEarmark(size_t position);
  Preemption MakePreemption(const Victim& victim, StopMode mode) const;

  const WorkerIndex* index_;
  const ReservationLedger* ledger_;
  std::vector<Earmark> earmarks_;
  absl::flat_hash_map<WorkerSlot, SlotPlan> slots_;
  absl::flat_hash_map<TaskId, Victim> victims_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PREEMPTION_PLANNER_H_
