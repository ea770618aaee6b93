#ifndef POMELOTRAY_SHARD_LEASE_RENEWER_H_
#define POMELOTRAY_SHARD_LEASE_RENEWER_H_

#include <map>
#include <memory>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "model/vm.h"
#include "shard/worker_link.h"

namespace pomelotray {

// Owner of a shard after a local takeover, which an instance makes during a store outage without a
// claim in the store (see Epoch). It renews the leases of the tasks that already run on the
// shard's workers. It does not start, stop or acknowledge tasks, because it cannot read the shard's
// journal.
class LeaseRenewer : public WorkerLinkListener {
 public:
  LeaseRenewer(WorkerPort* port, const Clock* clock, EventLog* events,
               const WorkerLinkOptions& options);
  ~LeaseRenewer() override;

  // Starts a link to each listed worker that has none yet.
  void UpdateWorkers(const std::vector<VmEntry>& vms);
  void Stop();
  // Returns true when a worker has seen a higher epoch than that of this local takeover, which
  // means that another instance has claimed the shard in the store since.
  bool deposed() const;

 private:
  bool ConfirmOwnership(absl::Time since) override;
  void OnFenced(const WorkerId& worker, const WorkerInventory& inventory) override;
  void OnInventory(const WorkerId& worker, const WorkerInventory& inventory) override;
  void OnStartOutcome(const WorkerId& worker, const TaskStart& start,
                      StartOutcome outcome) override;
  void OnUnreachable(const WorkerId& worker) override;
  void OnLeasesExpired(const WorkerId& worker) override;
  void OnDeposed() override;
  HeartbeatPlan PlanHeartbeat(const WorkerId& worker) override;

  WorkerPort* const port_;
  const Clock* const clock_;
  EventLog* const events_;
  const WorkerLinkOptions options_;
  mutable absl::Mutex mutex_;
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<WorkerId, std::vector<AttemptId>> running_ ABSL_GUARDED_BY(mutex_);
  std::map<WorkerId, std::unique_ptr<WorkerLink>> links_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_LEASE_RENEWER_H_
