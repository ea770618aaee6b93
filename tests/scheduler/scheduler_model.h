#ifndef POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_MODEL_H_
#define POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/scheduler/scheduler_fixture.h"

namespace pomelotray {

// One random call of the scheduler: the call number and two numbers that select its arguments.
struct Step {
  uint8_t call = 0;
  uint8_t first = 0;
  uint8_t second = 0;
};

// Makes random calls to a ShardScheduler and compares its state with a simple reference model.
// Each violation fails a RapidCheck assertion.
class SchedulerModel {
 public:
  void Run(const std::vector<Step>& steps);
  // Replaces the workers by ones with ample capacity and checks that all queued tasks run, except
  // those of expired jobs.
  void CheckAllTasksEnd();

 private:
  enum class TaskState { kQueued, kHeld, kReserved, kEnded };
  struct Task {
    JobId job;
    TaskState state = TaskState::kQueued;
    WorkerId worker;
  };
  struct Worker {
    Resources capacity;
    bool known = false;
    bool available = true;
  };

  void Apply(const Step& step);
  void UpsertWorker(const Step& step);
  void RemoveWorker(const Step& step);
  void Enqueue(const Step& step);
  void Adopt(const Step& step);
  void Schedule(int max_placements);
  void CheckPlacement(const Placement& placement);
  void CheckGangs(const ScheduleDecisions& round, const std::map<TaskId, Task>& before) const;
  void CheckPreemption(const Preemption& preemption) const;
  // When a task of a gang is preempted with StopMode::kCheckpoint, all reserved tasks of the gang
  // must be preempted too.
  void CheckStoppedGangs(const ScheduleDecisions& round) const;
  void EndTask(const Step& step, bool requeue);
  void Hold(const Step& step);
  void RemoveJob(const Step& step);
  void ChangeLimit(const Step& step);
  void CheckAccounting() const;
  Resources ReservedOn(const WorkerId& worker) const;
  Resources Sum(const CustomerId& customer, bool reserved) const;
  // Selects one of the tasks in this state; returns null when there is none.
  const TaskId* PickTask(TaskState state, uint8_t choice) const;

  SchedulerFixture fixture_;
  std::map<WorkerId, Worker> workers_;
  std::map<JobId, JobRecord> jobs_;
  std::map<JobId, bool> ever_placed_;
  std::map<JobId, bool> removed_;
  std::map<TaskId, Task> tasks_;
  int next_job_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_MODEL_H_
