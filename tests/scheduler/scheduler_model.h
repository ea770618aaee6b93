#ifndef POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_MODEL_H_
#define POMELOTRAY_TESTS_SCHEDULER_SCHEDULER_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/scheduler/scheduler_fixture.h"

namespace pomelotray {

// One random call: what to do and two choices for its arguments.
struct Step {
  uint8_t call = 0;
  uint8_t first = 0;
  uint8_t second = 0;
};

// Drives a ShardScheduler with random calls and keeps, in the simplest way, what must be true.
// Every check fails a RapidCheck assertion.
class SchedulerModel {
 public:
  void Run(const std::vector<Step>& steps);
  // With room for everything, all queued work must start, except jobs that expired.
  void CheckEverythingEnds();

 private:
  enum class Place { kQueued, kHeld, kReserved, kGone };
  struct Task {
    JobId job;
    Place place = Place::kQueued;
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
  void CheckGangs(const ScheduleRound& round, const std::map<TaskId, Task>& before) const;
  void CheckPreemption(const Preemption& preemption) const;
  // A gang is stopped with all its running tasks.
  void CheckStoppedGangs(const ScheduleRound& round) const;
  void EndTask(const Step& step, bool requeue);
  void Hold(const Step& step);
  void RemoveJob(const Step& step);
  void ChangeLimit(const Step& step);
  void CheckSums() const;
  Resources ReservedOn(const WorkerId& worker) const;
  Resources Sum(const CustomerId& customer, bool reserved) const;
  // Null when no task is in this place.
  const TaskId* Pick(Place place, uint8_t choice) const;

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
