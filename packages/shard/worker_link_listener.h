#ifndef POMELOTRAY_SHARD_WORKER_LINK_LISTENER_H_
#define POMELOTRAY_SHARD_WORKER_LINK_LISTENER_H_

#include <vector>

#include "base/strong_id.h"
#include "ports/worker_port.h"

namespace pomelotray {

// What became of a start that was sent.
enum class StartOutcome {
  kStarted,
  // The worker refused it, or it can no longer take effect.
  kNotStarted,
};

// Attempts to renew and ended attempts to acknowledge with the next heartbeat.
struct HeartbeatPlan {
  std::vector<AttemptId> renew;
  std::vector<AttemptId> acknowledge;
};

// Receives what a WorkerLink learns. Called on the link's thread without any lock held by the link.
class WorkerLinkListener {
 public:
  virtual ~WorkerLinkListener() = default;

  // Asked before each fence: true when this owner's claim is still the current one, by a store read
  // that began after `since`. A worker that restarted has forgotten every epoch, so a deposed owner
  // could fence it.
  virtual bool ConfirmOwnership(absl::Time since) = 0;
  // The worker obeys this owner now. `inventory` is complete: an attempt that is not in it does not
  // run there and cannot start there any more.
  virtual void OnFenced(const WorkerId& worker, const WorkerInventory& inventory) = 0;
  // A heartbeat answer. Attempts whose start is unresolved are reported through OnStartOutcome()
  // first.
  virtual void OnInventory(const WorkerId& worker, const WorkerInventory& inventory) = 0;
  virtual void OnStartOutcome(const WorkerId& worker, const TaskStart& start,
                              StartOutcome outcome) = 0;
  virtual void OnUnreachable(const WorkerId& worker) = 0;
  // The worker is unreachable and every lease that this owner granted on it is over by the worker's
  // own clock.
  virtual void OnLeasesOver(const WorkerId& worker) = 0;
  // The worker has seen a higher epoch: this owner is deposed.
  virtual void OnDeposed() = 0;
  virtual HeartbeatPlan PlanHeartbeat(const WorkerId& worker) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_LINK_LISTENER_H_
