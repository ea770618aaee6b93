#ifndef POMELOTRAY_CELL_WORKERS_WORKER_LOSS_H_
#define POMELOTRAY_CELL_WORKERS_WORKER_LOSS_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "cell/cell_ports.h"

namespace pomelotray {

// A task that crashes its workers does so within this time of its start. So a long-running attempt
// that has run for longer says nothing against its task when its worker is lost.
constexpr absl::Duration kSettleTime = absl::Seconds(10);

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
  // All attempts of other jobs on the worker had run for so much longer than this one that their
  // starts do not explain the loss.
  bool started_apart = false;
  // The worker was lost in a wave of losses, as IsInWave() defines it.
  bool in_wave = false;
};

// Whether the loss of a worker at `lost_at` says nothing about an attempt that had run there for
// `ran_for`, since ordinary losses explain it. `losses_of_others` contains the times at which
// other workers of the pool were lost, each worker once, and `workers` is the size of the pool.
//
// Losses from other causes hit each worker alike, so the share of the other workers that were lost
// while the attempt ran is the probability that its worker is among them by chance. The loss is in
// a wave if that share is an eighth at least, so that the three losses that raise a suspicion are
// not rare among the many tasks of a pool. Fewer than three other losses are never a wave: a task
// or two that crash their workers at the same moment must not hide one another. For losses right
// after the start of an attempt this leaves only those that happened at the same moment; the longer
// an attempt has run, the more it takes to make its loss remarkable.
//
// If the run time is unknown, since an earlier owner started the attempt, the losses of the last
// kSettleTime count, as far as this owner has noticed them.
bool IsInWave(absl::Duration ran_for, absl::Time lost_at,
              const std::vector<absl::Time>& losses_of_others, size_t workers);

// The workers that were lost while they ran attempts of one task, and what follows from them.
//
// A task that crashes its workers does so each time after about the same run time. Any number of
// losses is possible for a task that was merely on the same worker as such a task, or whose workers
// were lost for other causes. So a task is suspected first and then started only on workers that
// run no other job; it is given up only if a worker is lost then, too, after a similar run time.
// Losses in a wave are kept but are no evidence. The later after the start the losses happen, the
// more of them it takes, since ordinary crashes at a regular interval look the same.
//
// A suspected long-running task that finds no such worker starts beside others after a wait. It is
// given up after the third similar loss in the first second of an attempt that was started apart;
// other losses in the first second count half.
class WorkerLossHistory {
 public:
  // Adds the attempt unless one with the same number is known. Returns whether it was added.
  bool Add(const LostAttempt& attempt);
  // Replaces what is known of whether the attempt was lost in a wave: other losses may be noticed
  // later. Returns whether that is a change.
  bool SetInWave(RunNumber run, bool in_wave);
  // Removes an attempt that turned out not to be lost. Returns whether it was known.
  bool Remove(RunNumber run);
  void Clear() { attempts_.clear(); }
  bool Contains(RunNumber run) const;

  bool empty() const { return attempts_.empty(); }
  const std::vector<LostAttempt>& attempts() const { return attempts_; }

  // Whether the task may start only on workers that run no attempts of other jobs.
  bool IsSuspected() const;
  // The same for a long-running task, which is suspected later: it is out of service while it waits
  // for a worker of its own, and there may be more suspected tasks than workers to isolate. Losses
  // of attempts that an earlier owner started do not count, since this owner cannot tell how many
  // workers the pool lost while they ran.
  bool IsLongRunningTaskSuspected() const;
  // Whether the task crashes its workers.
  bool CrashesWorkers() const;
  // How long an attempt has to run without the loss of its worker to clear the task of suspicion.
  absl::Duration Probation() const;
  // The same for a long-running task. Never longer than kSettleTime, since its worker is isolated
  // meanwhile.
  absl::Duration LongRunningTaskProbation() const;

 private:
  // The losses that were not in a wave.
  std::vector<LostAttempt> Evidence() const;

  // In the order in which they were added.
  std::vector<LostAttempt> attempts_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKERS_WORKER_LOSS_H_
