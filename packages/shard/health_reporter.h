#ifndef POMELOTRAY_SHARD_HEALTH_REPORTER_H_
#define POMELOTRAY_SHARD_HEALTH_REPORTER_H_

#include "base/event_log.h"
#include "ports/worker_port.h"
#include "scheduler/shard_scheduler.h"
#include "shard/job_table.h"

namespace pomelotray {

// Reports the outcomes of attempts to the scheduler's detection of faulty workers and records an
// event when a worker's quarantine begins or ends. Not thread-safe.
//
// An attempt that has run for WorkerHealth::kProvenRunTime counts as a success, once, whether it
// keeps running or fails later. Services are not meant to end, so without this rule only their
// failures would count.
class HealthReporter {
 public:
  HealthReporter(ShardScheduler* scheduler, EventLog* events);

  // Both are called with a report of the task's current attempt, before the task leaves its worker.
  void HandleRunning(const TaskRef& ref, const AttemptReport& report);
  // An attempt that was stopped says nothing about its worker and is ignored.
  void HandleEnd(const TaskRef& ref, const AttemptReport& report);

 private:
  void Record(const TaskRef& ref, bool ok);

  ShardScheduler* const scheduler_;
  EventLog* const events_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_HEALTH_REPORTER_H_
