// The part of PoolScheduler that moves long-running tasks away from workers that are leaving.

#include "cell/ownership/pool_scheduler.h"

namespace pomelotray {

void PoolScheduler::BeginMoves(const std::vector<TaskMove>& moves, absl::Time now) {
  for (const TaskMove& move : moves) {
    StepRun* const run = FindStepRun(move.task);
    if (run == nullptr || !StopAttempt(move.from, move.attempt)) {
      continue;
    }
    CellTask& task = run->tasks[move.task.task];
    task.moving_to = move.to;
    task.moving_since = now;
    events_->Record(EventCode::kTaskPreempted)
        .Job(move.task.job)
        .Task(TaskId(move.attempt.task))
        .With("run", move.attempt.run.value())
        .Worker(move.from)
        .With(event_field::kReason, "the worker is leaving")
        .With("to", move.to.value())
        .Emit();
  }
}

}  // namespace pomelotray
