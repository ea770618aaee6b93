#ifndef POMELOTRAY_CELL_PLACEMENT_STEP_WAIT_H_
#define POMELOTRAY_CELL_PLACEMENT_STEP_WAIT_H_

#include <map>
#include <string>

#include "cell/cell_job.h"

namespace pomelotray {

// Why a task cannot start on a worker, or at all.
enum class WaitReason {
  // An earlier owner may have started the task, and not all workers have reported yet.
  kInheritedAttempts,
  // The customer has no allowance left under its cap.
  kCap,
  // The step leaves headroom for more urgent work.
  kHeadroom,
  // The worker has too little free capacity.
  kCapacity,
  kLabel,
  // The task has ended soon after several starts in a row.
  kRestartDelay,
  // Best-effort and serving tasks do not share a worker.
  kBestEffort,
  // The worker is reserved for another task.
  kReservation,
  // The adviser has not answered a question about the worker yet.
  kNoTicket,
  // The adviser does not allow the worker.
  kNotAllowed,
  // The ticket for the worker has to be renewed.
  kExpiredTicket,
  // The step already has its maximum number of tasks on the worker.
  kWorkerLimit,
  // The task, or one on the worker, is suspected of crashing its workers.
  kIsolation,
};

// Returns the name of `reason` for log events.
const char* WaitReasonName(WaitReason reason);

// A step with waiting tasks, and what keeps the first of them from starting.
struct StepWait {
  TaskRef task;
  int waiting = 0;
  // Numbers of workers that accept starts but cannot run the task, by the first reason that
  // applies. A reason that does not depend on a worker counts once.
  std::map<WaitReason, int> workers;

  // Returns the reason that excludes most of the workers with enough free capacity; kCapacity if
  // there is no such worker.
  WaitReason MainReason() const;
  // Returns the numbers as text, for example "capacity 3, reservation 2".
  std::string Summary() const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_STEP_WAIT_H_
