#ifndef POMELOTRAY_CELL_WORKER_LOSS_H_
#define POMELOTRAY_CELL_WORKER_LOSS_H_

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

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKER_LOSS_H_
