#include "state/job_table.h"

#include <algorithm>

namespace pomelotray {

void JobTable::Apply(const JournalRecord& record) {
  if (const JobUpsert* upsert = std::get_if<JobUpsert>(&record)) {
    jobs_[upsert->job.id] = upsert->job;
  } else if (const TaskUpdate* update = std::get_if<TaskUpdate>(&record)) {
    ApplyUpdate(*update);
  } else if (const JobRemoval* removal = std::get_if<JobRemoval>(&record)) {
    jobs_.erase(removal->job);
  }
}

std::vector<JobRecord> JobTable::All() const {
  std::vector<JobRecord> all;
  all.reserve(jobs_.size());
  for (const auto& [id, job] : jobs_) {
    all.push_back(job);
  }
  return all;
}

void JobTable::ApplyUpdate(const TaskUpdate& update) {
  const auto found = jobs_.find(update.job);
  if (found == jobs_.end()) {
    return;
  }
  JobRecord& job = found->second;
  job.state = update.job_state;
  job.reason = update.reason;
  job.started_at = update.started_at;
  job.finished_at = update.finished_at;
  const auto task = std::find_if(
      job.tasks.begin(), job.tasks.end(),
      [&update](const TaskStatus& status) { return status.task == update.status.task; });
  if (task != job.tasks.end()) {
    *task = update.status;
  } else {
    job.tasks.push_back(update.status);
  }
}

}  // namespace pomelotray
