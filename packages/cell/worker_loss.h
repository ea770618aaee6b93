#ifndef POMELOTRAY_CELL_WORKER_LOSS_H_
#define POMELOTRAY_CELL_WORKER_LOSS_H_

#include <vector>

#include "absl/time/time.h"
#include "cell/cell_ports.h"

namespace pomelotray {

// How the owner knows that a worker and all attempts on it are gone.
enum class WorkerLossCause {
  // Another process answers in place of the worker: the worker's process ended without notice.
  kCrashed,
  // The lease expired, and the worker has also left the worker directory.
  kVanished,
  // The lease expired, but the worker is still in the directory: it is cut off from this owner.
  kCutOff,
  // The worker had announced that it would leave.
  kLeft,
};

// Returns the name of `cause` for log events.
const char* WorkerLossCauseName(WorkerLossCause cause);
// Whether an attempt on the worker may have caused its loss.
bool MayBeCausedByTask(WorkerLossCause cause);

// An attempt of a task that was on a worker when the worker was lost.
struct LostAttempt {
  RunNumber run;
  // Upper bound of the attempt's run time: from its start order to the first call that the worker
  // did not answer. Infinite if another owner sent the order.
  absl::Duration ran_for = absl::InfiniteDuration();
  // The worker ran attempts of no other job.
  bool alone = false;
  // Hardly any other attempt was started on the worker between this one and the loss.
  bool started_last = false;
};

// The workers that were lost while they ran attempts of one task, and what follows from them.
//
// A task that crashes its workers does so each time after about the same run time. Any number of
// losses is possible for a task that was merely on the same worker as such a task, or whose workers
// were lost for other causes. So a task is suspected first and then started only on workers that
// run no other job; it is given up only if a worker is lost then, too, after a similar run time.
class WorkerLossHistory {
 public:
  // Adds the attempt unless one with the same number is known. Returns whether it was added.
  bool Add(const LostAttempt& attempt);
  // Removes an attempt that turned out not to be lost. Returns whether it was known.
  bool Remove(RunNumber run);
  void Clear() { attempts_.clear(); }
  bool Contains(RunNumber run) const;

  bool empty() const { return attempts_.empty(); }
  const std::vector<LostAttempt>& attempts() const { return attempts_; }

  // Whether the task may start only on workers that run no attempts of other jobs.
  bool IsSuspected() const;
  // The same for a long-running task, which is suspected later: it is out of service while it waits
  // for a worker of its own, and there may be more suspected tasks than workers to isolate.
  bool IsLongRunningTaskSuspected() const;
  // Whether the task crashes its workers.
  bool CrashesWorkers() const;
  // How long an attempt has to run without the loss of its worker to clear the task of suspicion.
  absl::Duration Probation() const;

 private:
  // Number of losses after about the same run time as the last one, which is among them.
  int CountSimilarToLast() const;
  // Number of losses that happened at the start of an attempt.
  int CountAtStart() const;

  // In the order in which they were added.
  std::vector<LostAttempt> attempts_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKER_LOSS_H_
