#include "shard/health_reporter.h"

#include "scheduler/worker_health.h"

namespace pomelotray {

HealthReporter::HealthReporter(ShardScheduler* scheduler, EventLog* events)
    : scheduler_(scheduler), events_(events) {}

void HealthReporter::HandleRunning(const TaskRef& ref, const AttemptReport& report) {
  if (report.run_time < WorkerHealth::kProvenRunTime) {
    return;
  }
  int64_t& proven = ref.job->proven_attempts[ref.task->task];
  if (proven != ref.task->attempt_number) {
    proven = ref.task->attempt_number;
    Record(ref, /*ok=*/true);
  }
}

void HealthReporter::HandleEnd(const TaskRef& ref, const AttemptReport& report) {
  if (report.state == AttemptState::kSucceeded) {
    Record(ref, /*ok=*/true);
  } else if (report.state == AttemptState::kFailed) {
    if (report.run_time < WorkerHealth::kProvenRunTime) {
      Record(ref, /*ok=*/false);
    } else {
      HandleRunning(ref, report);
    }
  }
}

void HealthReporter::Record(const TaskRef& ref, bool ok) {
  const WorkerId& worker = ref.task->worker;
  const bool was_quarantined = scheduler_->IsQuarantined(worker);
  scheduler_->RecordStart(worker, ref.job->record.id, ok);
  if (scheduler_->IsQuarantined(worker) != was_quarantined) {
    events_->Record(was_quarantined ? EventCode::kWorkerRestored : EventCode::kWorkerQuarantined)
        .Worker(worker)
        .Emit();
  }
}

}  // namespace pomelotray
