#ifndef POMELOTRAY_SHARD_WORKER_LINK_LISTENER_H_
#define POMELOTRAY_SHARD_WORKER_LINK_LISTENER_H_

#include <vector>

#include "base/strong_id.h"
#include "ports/worker_port.h"

namespace pomelotray {

// Result of a start command.
enum class StartOutcome {
  kStarted,
  // The worker rejected the command, or the command can no longer take effect.
  kNotStarted,
};

// Contents of the next heartbeat: running attempts whose leases are renewed, and ended attempts
// that are acknowledged.
struct HeartbeatPlan {
  std::vector<AttemptId> renew;
  std::vector<AttemptId> acknowledge;
};

// Receives the events of a WorkerLink. All methods are called on the link's thread, while the link
// holds no lock.
class WorkerLinkListener {
 public:
  virtual ~WorkerLinkListener() = default;

  // Called before each fence. Returns true when a store read that began after `since` shows that
  // this owner still holds the claim. The check is needed because a restarted worker has lost the
  // epochs it had seen, so it would also accept a fence from a deposed owner.
  virtual bool ConfirmOwnership(absl::Time since) = 0;
  // The worker has accepted this owner's epoch. `inventory` is complete: an attempt that is not
  // listed does not run on the worker and can no longer start there.
  virtual void OnFenced(const WorkerId& worker, const WorkerInventory& inventory) = 0;
  // The worker answered a heartbeat. Starts whose answers were lost and that this answer resolves
  // are reported through OnStartOutcome() first.
  virtual void OnInventory(const WorkerId& worker, const WorkerInventory& inventory) = 0;
  virtual void OnStartOutcome(const WorkerId& worker, const TaskStart& start,
                              StartOutcome outcome) = 0;
  virtual void OnUnreachable(const WorkerId& worker) = 0;
  // The worker is unreachable, and by its own clock every lease that this owner granted on it has
  // expired.
  virtual void OnLeasesExpired(const WorkerId& worker) = 0;
  // The worker has seen a higher epoch, so another owner has replaced this one.
  virtual void OnDeposed() = 0;
  // Returns the contents of the next heartbeat to `worker`.
  virtual HeartbeatPlan PlanHeartbeat(const WorkerId& worker) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_LINK_LISTENER_H_
