// The part of PoolScheduler that keeps how long long-running tasks wait.

#include <algorithm>

#include "cell/ownership/pool_scheduler.h"

namespace pomelotray {
namespace {

// Waits of at least this length are stored, so that the next owner continues them. Most waits are
// shorter and cost no write.
constexpr absl::Duration kMinStoredWait = absl::Seconds(1);

}  // namespace

void PoolScheduler::NoteWaits(absl::Time now) {
  for (const auto& [id, open_job] : open_jobs_) {
    for (size_t i = 0; i < open_job->runs.size(); ++i) {
      if (!open_job->Step(open_job->runs[i]).long_running ||
          !IsStartable(*open_job, open_job->runs[i], now)) {
        continue;
      }
      CellJob* const job = FindJob(id);
      for (CellTask& task : job->runs[i].tasks) {
        if (task.phase != TaskPhase::kWaiting) {
          continue;
        }
        task.waiting_since = std::min(task.waiting_since, now);
        if (!task.wait_stored && now - task.waiting_since >= kMinStoredWait) {
          task.wait_stored = true;
          MarkChanged(job);
        }
      }
    }
  }
}

void PoolScheduler::EndWait(const TaskRef& task, const WorkerId& worker, absl::Time now) {
  StepRun* const run = FindStepRun(task);
  if (run == nullptr) {
    return;
  }
  CellTask& ended = run->tasks[task.task];
  if (ended.restart.WasOrdered()) {
    EventBuilder event = events_->Record(EventCode::kTaskRestarted);
    event.Job(task.job).Task(TaskId(TaskName(*FindJob(task.job), *run, task.task))).Worker(worker);
    ended.restart.Describe(&event, now);
    event.Emit();
  }
  ended.restart.End();
  ended.waiting_since = absl::InfiniteFuture();
  if (ended.wait_stored) {
    ended.wait_stored = false;
    MarkChanged(FindJob(task.job));
  }
}

}  // namespace pomelotray
