#include "scheduler/worker_health.h"

#include <algorithm>

namespace pomelotray {

void WorkerHealth::RecordStart(const WorkerId& worker, const JobId& job, bool ok, absl::Time now,
                               size_t workers) {
  if (ok) {
    RemoveWorker(worker);
    return;
  }
  Record& record = records_[worker];
  if (record.quarantined) {
    record.backoff = std::min(2 * record.backoff, kMaxBackoff);
    record.next_probe = now + record.backoff;
    return;
  }
  record.recent_failures.push_back(job);
  if (record.recent_failures.size() > kFailuresToQuarantine) {
    record.recent_failures.pop_front();
  }
  // Failures of a single job indicate a fault of the job, not of the worker.
  const std::deque<JobId>& failures = record.recent_failures;
  const bool several_jobs =
      std::any_of(failures.begin(), failures.end(),
                  [&failures](const JobId& other) { return other != failures.front(); });
  const size_t allowed = std::max<size_t>(1, workers / kQuarantineDivisor);
  if (failures.size() < kFailuresToQuarantine || !several_jobs || quarantined_count_ >= allowed) {
    return;
  }
  record.quarantined = true;
  record.backoff = kFirstBackoff;
  record.next_probe = now + record.backoff;
  ++quarantined_count_;
}

void WorkerHealth::RecordPlacement(const WorkerId& worker, absl::Time now) {
  const auto it = records_.find(worker);
  if (it != records_.end() && it->second.quarantined) {
    it->second.next_probe = now + std::max(it->second.backoff, kProbeTimeout);
  }
}

void WorkerHealth::RemoveWorker(const WorkerId& worker) {
  const auto it = records_.find(worker);
  if (it == records_.end()) {
    return;
  }
  if (it->second.quarantined) {
    --quarantined_count_;
  }
  records_.erase(it);
}

bool WorkerHealth::IsQuarantined(const WorkerId& worker) const {
  const auto it = records_.find(worker);
  return it != records_.end() && it->second.quarantined;
}

bool WorkerHealth::MayPlace(const WorkerId& worker, bool repeatable, absl::Time now) const {
  const auto it = records_.find(worker);
  if (it == records_.end() || !it->second.quarantined) {
    return true;
  }
  return repeatable && now >= it->second.next_probe;
}

}  // namespace pomelotray
