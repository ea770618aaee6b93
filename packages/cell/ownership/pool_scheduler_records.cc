// The part of PoolScheduler that produces the stored job records, tracks which attempt ends may be
// acknowledged to the workers, answers queries about job states and logs summaries.

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "absl/hash/hash.h"
#include "cell/ownership/pool_scheduler.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kPoolStateInterval = absl::Seconds(5);
// Interval at which waiting long-running steps are examined.
constexpr absl::Duration kWaitReportInterval = absl::Seconds(1);
// A step that waits for the same reason is logged again after this time.
constexpr absl::Duration kSameWaitInterval = absl::Seconds(5);
// Bounds the number of log lines of one report.
constexpr int kMaxWaitLines = 20;

// Returns the given quantile of the workers' run times, in percent of a typical worker's.
int64_t RunTimePercentAt(double quantile, std::vector<double>* log_slowdowns) {
  if (log_slowdowns->empty()) {
    return 100;
  }
  const auto at =
      log_slowdowns->begin() +
      static_cast<std::ptrdiff_t>(quantile * static_cast<double>(log_slowdowns->size() - 1));
  std::nth_element(log_slowdowns->begin(), at, log_slowdowns->end());
  return std::lround(100 * std::exp(*at));
}

}  // namespace

EndNumber PoolScheduler::AcknowledgedEnd(const WorkerId& id) const {
  // After a failed hold the worker may have restarted, which restarts the numbering of its attempt
  // ends.
  return IsTrusted(id) ? workers_.at(id).acknowledged : EndNumber(0);
}

bool PoolScheduler::HasUnacknowledgedEnds(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it != workers_.end() && !it->second.unacknowledged.empty();
}

void PoolScheduler::AdvanceAcknowledged(CellWorker* worker) {
  while (!worker->unacknowledged.empty()) {
    const UnacknowledgedEnd& end = worker->unacknowledged.front();
    const CellJob* job = end.job.empty() ? nullptr : FindJob(end.job);
    if (job != nullptr && job->committed < end.version) {
      return;
    }
    worker->acknowledged = end.number;
    worker->unacknowledged.pop_front();
  }
}

std::vector<ProgressRecord> PoolScheduler::TakeChangedRecords(size_t max_entries, size_t stream,
                                                              size_t stream_count) {
  std::vector<ProgressRecord> records;
  size_t entries = 0;
  for (auto it = changed_.begin(); it != changed_.end() && entries < max_entries;) {
    const JobId id = *it;
    if (absl::Hash<JobId>()(id) % stream_count != stream) {
      ++it;
      continue;
    }
    const CellJob* job = FindJob(id);
    if (job == nullptr) {
      changed_.erase(it++);
      continue;
    }
    ProgressRecord record{
        id, job->version, "", job->state, job->has_stored_progress, job->cancel_requested};
    entries += record.EntryCount();
    if (entries > max_entries) {
      break;
    }
    changed_.erase(it++);
    record.text = EncodeProgress(*job);
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<WorkerId> PoolScheduler::MarkCommitted(const std::vector<ProgressRecord>& records) {
  for (const ProgressRecord& record : records) {
    CellJob* job = FindJob(record.job);
    if (job != nullptr) {
      job->committed = std::max(job->committed, record.version);
      job->has_stored_progress = !IsFinal(record.state);
      job->begun_in_store = record.state != CellJobState::kQueued;
      // The job may have begun since the record was made.
      if (IsFinal(record.state)) {
        job->visible = record.state;
      }
    }
  }
  std::vector<WorkerId> stored;
  for (auto& [id, worker] : workers_) {
    if (worker.unacknowledged.empty()) {
      continue;
    }
    AdvanceAcknowledged(&worker);
    if (worker.unacknowledged.empty()) {
      stored.push_back(id);
    }
  }
  return stored;
}

bool PoolScheduler::HasUnstoredChanges() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    return entry.second.committed < entry.second.version;
  });
}

std::optional<CellJobState> PoolScheduler::VisibleState(const JobId& id) const {
  const std::optional<JobStatus> status = VisibleStatus(id);
  return status.has_value() ? std::optional<CellJobState>(status->state) : std::nullopt;
}

std::optional<JobStatus> PoolScheduler::VisibleStatus(const JobId& id) const {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return std::nullopt;
  }
  return JobStatus{it->second.visible, it->second.intake.customer};
}

std::map<std::string, int64_t> PoolScheduler::PendingByQueue() const {
  std::map<std::string, int64_t> pending;
  for (const auto& [id, job] : open_jobs_) {
    if (job->state == CellJobState::kQueued && !job->cancel_requested) {
      ++pending[job->intake.policy.name];
    }
  }
  return pending;
}

std::vector<JobId> PoolScheduler::TakeExpiredJobs(absl::Time now, size_t limit) {
  std::vector<JobId> expired;
  for (const auto& [id, job] : jobs_) {
    if (expired.size() < limit && job.committed == job.version &&
        now - job.final_since > limits_.retention) {
      expired.push_back(id);
    }
  }
  for (const JobId& id : expired) {
    jobs_.erase(id);
  }
  return expired;
}

bool PoolScheduler::IsWaitReportDue(absl::Time now) const {
  return now - waits_recorded_at_ >= kWaitReportInterval;
}

void PoolScheduler::RecordWaits(const std::vector<StepWait>& waits, absl::Time now) {
  waits_recorded_at_ = now;
  std::map<std::pair<JobId, int>, WaitingStep> still_waiting;
  int lines = 0;
  for (const StepWait& wait : waits) {
    const WaitReason reason = wait.MainReason();
    const std::pair<JobId, int> key(wait.task.job, wait.task.run);
    const auto known = waiting_steps_.find(key);
    WaitingStep step = known == waiting_steps_.end() ? WaitingStep{reason, now} : known->second;
    if (step.reason != reason) {
      step.reason = reason;
      step.reason_since = now;
      step.recorded_at = absl::InfinitePast();
    }
    if (known != waiting_steps_.end() && now - step.recorded_at >= kSameWaitInterval &&
        lines < kMaxWaitLines) {
      ++lines;
      step.recorded_at = now;
      const CellJob& job = *FindJob(wait.task.job);
      const StepRun& run = job.runs[wait.task.run];
      events_->Record(EventCode::kTaskWaiting)
          .Job(wait.task.job)
          .Task(TaskId(TaskName(job, run, wait.task.task)))
          .With(event_field::kReason, WaitReasonName(reason))
          .With("reason_ms", absl::ToInt64Milliseconds(now - step.reason_since))
          .With("waits_ms",
                absl::ToInt64Milliseconds(
                    std::max(now - run.tasks[wait.task.task].waiting_since, absl::ZeroDuration())))
          .With("waiting", static_cast<int64_t>(wait.waiting))
          .With("workers", wait.Summary())
          .Emit();
    }
    still_waiting.emplace(key, step);
  }
  waiting_steps_ = std::move(still_waiting);
}

void PoolScheduler::RecordStarts(const RoundResult& round, absl::Time now) {
  if (statistics_.IsDue(now)) {
    statistics_.Log(events_->Record(EventCode::kStartSummary)
                        .With("part", part_.Name().value())
                        .With("waiting_tasks", round.waiting_tasks),
                    now);
  }
}

void PoolScheduler::RecordPoolState(const RoundResult& round, absl::Time now) {
  if (now - pool_state_recorded_at_ < kPoolStateInterval) {
    return;
  }
  pool_state_recorded_at_ = now;
  const auto count = [this](const auto& matches) {
    return static_cast<int64_t>(
        std::count_if(workers_.begin(), workers_.end(),
                      [&matches](const auto& entry) { return matches(entry.second); }));
  };
  Resources capacity;
  Resources used;
  std::vector<double> slowdowns;
  for (const auto& [id, worker] : workers_) {
    if (worker.AcceptsStarts(now)) {
      slowdowns.push_back(worker.log_slowdown);
      capacity += worker.description.capacity;
      used += worker.used;
    }
  }
  events_->Record(EventCode::kPoolState)
      .With("part", part_.Name().value())
      .With("open_jobs", static_cast<int64_t>(open_jobs_.size()))
      .With("waiting_tasks", round.waiting_tasks)
      .With("listed", count([](const CellWorker& worker) { return worker.listed; }))
      .With("accepting", count([now](const CellWorker& w) { return w.AcceptsStarts(now); }))
      .With("unreachable", count([](const CellWorker& worker) {
              return worker.unreachable_since < absl::InfiniteFuture();
            }))
      .With("quarantined",
            count([now](const CellWorker& worker) { return worker.quarantined_until > now; }))
      .With("slow_workers", count([](const CellWorker& worker) { return worker.slow; }))
      .With("run_time_percent_p5", RunTimePercentAt(0.05, &slowdowns))
      .With("run_time_percent_p95", RunTimePercentAt(0.95, &slowdowns))
      .With("reserved_workers", round.reserved_workers)
      .With("accepting_cpu", capacity.cpu.value())
      .With("used_cpu", used.cpu.value())
      .With("interfering_pairs", static_cast<int64_t>(interference_.pairs().size()))
      .With("neighbors_avoided", interference_.TakePlacementsAvoided())
      .Emit();
}

}  // namespace pomelotray
