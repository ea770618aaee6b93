#ifndef POMELOTRAY_SHARD_LEASE_KEEPER_H_
#define POMELOTRAY_SHARD_LEASE_KEEPER_H_

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

// A local owner of a shard during a store outage: it keeps the tasks that run on the shard's
// workers running. It starts, ends and acknowledges nothing, because it cannot read the journal.
class LeaseKeeper : public WorkerLinkListener {
 public:
  LeaseKeeper(WorkerPort* port, const Clock* clock, EventLog* events,
              const WorkerLinkOptions& options);
  ~LeaseKeeper() override;

  void UpdateWorkers(const std::vector<VmEntry>& vms);
  void Stop();
  // True when a worker has seen a claim from the store that is newer than this takeover.
  bool deposed() const;

 private:
  bool ConfirmOwnership(absl::Time since) override;
  void OnFenced(const WorkerId& worker, const WorkerInventory& inventory) override;
  void OnInventory(const WorkerId& worker, const WorkerInventory& inventory) override;
  void OnStartOutcome(const WorkerId& worker, const TaskStart& start,
                      StartOutcome outcome) override;
  void OnUnreachable(const WorkerId& worker) override;
  void OnLeasesOver(const WorkerId& worker) override;
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

#endif  // POMELOTRAY_SHARD_LEASE_KEEPER_H_
