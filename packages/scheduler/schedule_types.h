#ifndef POMELOTRAY_SCHEDULER_SCHEDULE_TYPES_H_
#define POMELOTRAY_SCHEDULER_SCHEDULE_TYPES_H_

#include <string>
#include <vector>

#include "base/resources.h"
#include "base/strong_id.h"
#include "ports/worker_port.h"

namespace pomelotray {

struct SchedulableWorker {
  WorkerId id;
  RackId rack;
  Resources capacity;
};

// A task that was given room on a worker. The room is already reserved.
struct Placement {
  JobId job;
  TaskId task;
  WorkerId worker;
  Resources demand;
};

// A running task to be stopped so that urgent work can start. The task keeps its reservation until
// the caller releases or requeues it.
struct Preemption {
  JobId job;
  TaskId task;
  WorkerId worker;
  StopMode mode = StopMode::kCheckpoint;
  std::string reason;
};

struct ScheduleRound {
  std::vector<Placement> placements;
  std::vector<Preemption> preemptions;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_SCHEDULE_TYPES_H_
