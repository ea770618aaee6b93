#include "shard/job_reader.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace pomelotray {

JobRecord JobReader::VisibleRecord(const TrackedJob& job) const {
  JobRecord record = job.record;
  if (IsFinal(record.state) && job.last_sequence > context_.journal->durable_sequence()) {
    record.state = JobState::kRunning;
    record.reason = "The job has ended, but its result has not been stored durably yet.";
    record.finished_at.reset();
  } else if (record.state == JobState::kQueued) {
    record.reason = WaitReason(job);
  }
  return record;
}

std::vector<JobRecord> JobReader::UnfinishedJobs(const std::optional<CustomerId>& customer) const {
  std::vector<JobRecord> records;
  for (const auto& [id, job] : context_.jobs->jobs()) {
    if (job->accepted && !IsFinal(job->record.state) &&
        (!customer.has_value() || job->record.spec.customer == *customer)) {
      records.push_back(VisibleRecord(*job));
    }
  }
  return records;
}

std::vector<WorkerStatus> JobReader::Workers() const {
  std::vector<WorkerStatus> workers;
  for (const auto& [id, entry] : context_.worker_table->entries()) {
    WorkerStatus status;
    status.id = id;
    status.shard = context_.shard;
    status.rack = entry.vm.rack;
    status.state =
        entry.Usable() && context_.scheduler->IsQuarantined(id) ? "quarantined" : entry.StateName();
    status.capacity = entry.vm.capacity;
    status.reserved = context_.scheduler->Reserved(id);
    status.running_attempts = static_cast<int64_t>(context_.jobs->TasksOn(id).size());
    workers.push_back(status);
  }
  return workers;
}

std::string JobReader::WaitReason(const TrackedJob& job) const {
  const std::set<TaskId>& held = *context_.tasks_awaiting_store;
  const bool awaits_store =
      std::any_of(job.record.tasks.begin(), job.record.tasks.end(),
                  [&held](const TaskStatus& task) { return held.count(task.task) > 0; });
  if (awaits_store) {
    return "store_unavailable: the start of the job cannot be recorded until the store is "
           "available.";
  }
  const std::optional<WorkerId> unfenced = context_.worker_table->FirstUnfenced();
  if (job.inherited && !*context_.takeover_complete && unfenced.has_value()) {
    return absl::StrCat("worker_unreachable: the job may still be running on worker ",
                        unfenced->value(), ", which does not respond.");
  }
  return context_.scheduler->WaitReason(job.record.id);
}

}  // namespace pomelotray
