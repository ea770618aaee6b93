#ifndef POMELOTRAY_SCHEDULER_SCHEDULE_TYPES_H_
#define POMELOTRAY_SCHEDULER_SCHEDULE_TYPES_H_

#include <string>
#include <vector>

#include "base/resources.h"
#include "base/strong_id.h"
#include "ports/worker_port.h"

namespace pomelotray {

// Worker that the scheduler may place tasks on.
struct SchedulableWorker {
  WorkerId id;
  RackId rack;
  Resources capacity;
};

// Assignment of a task to a worker. The capacity is already reserved.
struct Placement {
  JobId job;
  TaskId task;
  WorkerId worker;
  Resources demand;
};

// Request to stop a running task so that urgent work can start. The task keeps its reservation
// until the caller releases or requeues it.
struct Preemption {
  JobId job;
  TaskId task;
  WorkerId worker;
  StopMode mode = StopMode::kCheckpoint;
  std::string reason;
};

// Result of one call of ShardScheduler::Schedule.
struct ScheduleDecisions {
  std::vector<Placement> placements;
  std::vector<Preemption> preemptions;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SCHEDULE_TYPES_H_
