#include "shard/job_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"

namespace pomelotray {

TrackedJob* JobTable::Insert(JobRecord record) {
  std::unique_ptr<TrackedJob> job = std::make_unique<TrackedJob>();
  const JobId id = record.id;
  job->record = std::move(record);
  TrackedJob* const inserted = job.get();
  jobs_[id] = std::move(job);
  return inserted;
}

TrackedJob* JobTable::Find(const JobId& job) {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const TrackedJob* JobTable::Find(const JobId& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : it->second.get();
}

std::optional<TaskRef> JobTable::FindTask(const TaskId& task) {
  const std::string& text = task.value();
  const size_t slash = text.rfind('/');
  size_t index = 0;
  if (slash == std::string::npos || !absl::SimpleAtoi(text.substr(slash + 1), &index)) {
    return std::nullopt;
  }
  TrackedJob* const job = Find(JobId(text.substr(0, slash)));
  if (job == nullptr || index >= job->record.tasks.size()) {
    return std::nullopt;
  }
  return TaskRef{job, &job->record.tasks[index]};
}

void JobTable::Remove(const JobId& job) { jobs_.erase(job); }

void JobTable::AddToWorker(const TaskStatus& task) {
  tasks_by_worker_[task.worker].insert(task.task);
}

void JobTable::RemoveFromWorker(const TaskStatus& task) {
  const auto it = tasks_by_worker_.find(task.worker);
  if (it == tasks_by_worker_.end()) {
    return;
  }
  it->second.erase(task.task);
  if (it->second.empty()) {
    tasks_by_worker_.erase(it);
  }
}

std::vector<TaskId> JobTable::TasksOn(const WorkerId& worker) const {
  const auto it = tasks_by_worker_.find(worker);
  if (it == tasks_by_worker_.end()) {
    return {};
  }
  return std::vector<TaskId>(it->second.begin(), it->second.end());
}

int64_t JobTable::UnfinishedJobCount(const CustomerId& customer) const {
  return std::count_if(jobs_.begin(), jobs_.end(), [&customer](const auto& entry) {
    const JobRecord& record = entry.second->record;
    return record.spec.customer == customer && !IsFinal(record.state);
  });
}

}  // namespace pomelotray
