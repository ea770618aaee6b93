#include "shard/worker_links.h"

#include <utility>

namespace pomelotray {

WorkerLinks::WorkerLinks(WorkerPort* port, const Clock* clock, WorkerLinkListener* listener,
                         const WorkerLinkOptions& options)
    : port_(port), clock_(clock), listener_(listener), options_(options) {}

WorkerLinks::~WorkerLinks() { Stop(); }

void WorkerLinks::Add(const VmEntry& vm) {
  absl::MutexLock lock(&mutex_);
  if (stopped_ || links_.count(vm.id) > 0) {
    return;
  }
  std::unique_ptr<WorkerLink> link =
      std::make_unique<WorkerLink>(vm.id, vm.address, port_, clock_, listener_, options_);
  link->Start();
  links_[vm.id] = std::move(link);
}

bool WorkerLinks::QueueStart(const WorkerId& worker, const TaskStart& start) {
  absl::MutexLock lock(&mutex_);
  const auto it = links_.find(worker);
  if (it == links_.end()) {
    return false;
  }
  it->second->QueueStart(start);
  return true;
}

void WorkerLinks::QueueStop(const WorkerId& worker, const AttemptId& attempt, StopMode mode) {
  absl::MutexLock lock(&mutex_);
  const auto it = links_.find(worker);
  if (it != links_.end()) {
    it->second->QueueStop(attempt, mode);
  }
}

void WorkerLinks::Retire(const WorkerId& worker) {
  absl::MutexLock lock(&mutex_);
  const auto it = links_.find(worker);
  if (it != links_.end()) {
    retired_.push_back(std::move(it->second));
    links_.erase(it);
  }
}

void WorkerLinks::JoinRetired() {
  std::vector<std::unique_ptr<WorkerLink>> retired;
  {
    absl::MutexLock lock(&mutex_);
    retired.swap(retired_);
  }
  for (const std::unique_ptr<WorkerLink>& link : retired) {
    link->Stop();
  }
}

void WorkerLinks::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
    for (auto& [worker, link] : links_) {
      retired_.push_back(std::move(link));
    }
    links_.clear();
  }
  JoinRetired();
}

}  // namespace pomelotray
