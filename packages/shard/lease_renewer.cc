#include "shard/lease_renewer.h"

namespace pomelotray {

LeaseRenewer::LeaseRenewer(WorkerPort* port, const Clock* clock, EventLog* events,
                           const WorkerLinkOptions& options)
    : port_(port), clock_(clock), events_(events), options_(options) {}

LeaseRenewer::~LeaseRenewer() { Stop(); }

void LeaseRenewer::UpdateWorkers(const std::vector<VmEntry>& vms) {
  for (const VmEntry& vm : vms) {
    if (links_.count(vm.id) == 0) {
      links_[vm.id] =
          std::make_unique<WorkerLink>(vm.id, vm.address, port_, clock_, this, options_);
      links_[vm.id]->Start();
    }
  }
}

void LeaseRenewer::Stop() {
  for (auto& [worker, link] : links_) {
    link->Stop();
  }
  links_.clear();
}

bool LeaseRenewer::deposed() const {
  absl::MutexLock lock(&mutex_);
  return deposed_;
}

bool LeaseRenewer::ConfirmOwnership(absl::Time /*since*/) {
  // Ownership cannot be read while the store is down. Confirming it is safe because this class
  // starts no tasks, so no task can run twice if a newer owner exists.
  return true;
}

void LeaseRenewer::OnFenced(const WorkerId& worker, const WorkerInventory& inventory) {
  events_->Record(EventCode::kWorkerFenced).Worker(worker).At(options_.epoch).Emit();
  OnInventory(worker, inventory);
}

void LeaseRenewer::OnInventory(const WorkerId& worker, const WorkerInventory& inventory) {
  std::vector<AttemptId> running;
  for (const AttemptReport& report : inventory.attempts) {
    if (report.state == AttemptState::kRunning) {
      running.push_back(report.attempt);
    }
  }
  absl::MutexLock lock(&mutex_);
  running_[worker] = std::move(running);
}

void LeaseRenewer::OnStartOutcome(const WorkerId& /*worker*/, const TaskStart& /*start*/,
                                  StartOutcome /*outcome*/) {}

void LeaseRenewer::OnUnreachable(const WorkerId& worker) {
  events_->Record(EventCode::kWorkerUnreachable).Worker(worker).Emit();
}

void LeaseRenewer::OnLeasesExpired(const WorkerId& /*worker*/) {}

void LeaseRenewer::OnDeposed() {
  absl::MutexLock lock(&mutex_);
  deposed_ = true;
}

HeartbeatPlan LeaseRenewer::PlanHeartbeat(const WorkerId& worker) {
  absl::MutexLock lock(&mutex_);
  HeartbeatPlan plan;
  plan.renew = running_[worker];
  return plan;
}

}  // namespace pomelotray
