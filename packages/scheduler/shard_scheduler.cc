#include "scheduler/shard_scheduler.h"

#include <optional>
#include <utility>

#include "scheduler/schedule_pass.h"
#include "scheduler/scheduler_state.h"
#include "scheduler/wait_estimator.h"

namespace pomelotray {

ShardScheduler::ShardScheduler(std::unique_ptr<SchedulerState> state) : state_(std::move(state)) {}
ShardScheduler::~ShardScheduler() = default;

void ShardScheduler::UpsertWorker(const SchedulableWorker& worker) {
  const std::optional<WorkerSlot> slot = state_->index.Find(worker.id);
  if (slot.has_value()) {
    const WorkerIndex::Worker& known = state_->index.At(*slot);
    if (known.known && known.capacity == worker.capacity && known.rack == worker.rack) {
      return;
    }
  }
  state_->WorkerChanged(state_->index.Upsert(worker));
}

void ShardScheduler::SetAvailable(const WorkerId& worker, bool available) {
  const std::optional<WorkerSlot> slot = state_->index.Find(worker);
  if (!slot.has_value() || state_->index.At(*slot).available == available) {
    return;
  }
  state_->index.SetAvailable(*slot, available);
  state_->WorkerChanged(*slot);
}

void ShardScheduler::RemoveWorker(const WorkerId& worker) {
  const std::optional<WorkerSlot> slot = state_->index.Find(worker);
  if (!slot.has_value()) {
    return;
  }
  state_->index.Remove(*slot);
  state_->health.RemoveWorker(worker);
  state_->WorkerChanged(*slot);
}

Result<void> ShardScheduler::CheckPlaceable(const JobSpec& spec) const {
  return WaitEstimator(state_.get()).CheckPlaceable(spec);
}

Result<void> ShardScheduler::Admit(const JobSpec& spec) const {
  return WaitEstimator(state_.get()).Admit(spec);
}

void ShardScheduler::Enqueue(const JobRecord& job) {
  if (IsFinal(job.state)) {
    return;
  }
  QueuedJob* entry = nullptr;
  for (const TaskStatus& status : job.tasks) {
    if (status.state != TaskState::kQueued || state_->queue.JobOf(status.task) != nullptr) {
      continue;
    }
    if (entry == nullptr) {
      entry = state_->queue.FindOrAdd(job, state_->TaskCost(job.spec));
      entry->removed = false;
    }
    state_->queue.AddReady(entry, status.task);
  }
}

void ShardScheduler::Adopt(const JobRecord& job, const TaskId& task, const WorkerId& worker) {
  if (state_->ledger.Find(task) != nullptr) {
    return;
  }
  QueuedJob* entry = state_->queue.FindOrAdd(job, state_->TaskCost(job.spec));
  const WorkerSlot slot = state_->index.FindOrAdd(worker);
  state_->Reserve(entry, task, slot, job.started_at.value_or(state_->clock->Now()));
}

ScheduleDecisions ShardScheduler::Schedule(int max_placements) {
  return SchedulePass(state_.get(), max_placements).Run();
}

void ShardScheduler::Release(const TaskId& task) {
  if (state_->Unreserve(task)) {
    state_->queue.RemoveReserved(task);
  }
}

void ShardScheduler::Requeue(const TaskId& task) {
  if (state_->Unreserve(task)) {
    state_->queue.RequeueReserved(task);
  }
}

void ShardScheduler::Hold(const TaskId& task) { state_->queue.SetHeld(task, true); }
void ShardScheduler::Unhold(const TaskId& task) { state_->queue.SetHeld(task, false); }

void ShardScheduler::Remove(const JobId& job) {
  QueuedJob* entry = state_->queue.Find(job);
  if (entry == nullptr) {
    return;
  }
  state_->queue.RemoveQueued(entry);
  if (state_->preemptions.TrimEarmarks(job, 0)) {
    state_->CapacityChanged();
  }
  state_->ClearDrainsOf(job);
}

void ShardScheduler::RecordStart(const WorkerId& worker, const JobId& job, bool ok) {
  const bool was_quarantined = state_->health.IsQuarantined(worker);
  state_->health.RecordStart(worker, job, ok, state_->clock->Now(), state_->index.slot_count());
  const std::optional<WorkerSlot> slot = state_->index.Find(worker);
  if (slot.has_value() && state_->health.IsQuarantined(worker) != was_quarantined) {
    state_->WorkerChanged(*slot);
  }
}

void ShardScheduler::ObserveRun(const CustomerId& customer, const PoolName& pool,
                                absl::Duration run_time, const Resources& used) {
  state_->estimator.Observe(customer, pool, run_time, used);
}

std::string ShardScheduler::WaitReason(const JobId& job) const {
  const QueuedJob* entry = state_->queue.Find(job);
  return entry != nullptr ? WaitEstimator(state_.get()).WaitReason(*entry) : "";
}

std::vector<JobId> ShardScheduler::ExpiredJobs(absl::Time now) const {
  return state_->queue.Expired(now);
}

Resources ShardScheduler::Reserved(const WorkerId& worker) const {
  const std::optional<WorkerSlot> slot = state_->index.Find(worker);
  return slot.has_value() ? state_->index.At(*slot).reserved : Resources{};
}

bool ShardScheduler::IsQuarantined(const WorkerId& worker) const {
  return state_->health.IsQuarantined(worker);
}

Resources ShardScheduler::CustomerUsage(const CustomerId& customer) const {
  return state_->ledger.CustomerUsage(customer);
}

Resources ShardScheduler::CustomerDemand(const CustomerId& customer) const {
  const CustomerQueue* queue = state_->queue.FindCustomer(customer);
  return queue != nullptr ? queue->queued_demand : Resources{};
}

size_t ShardScheduler::QueuedTasks() const { return state_->queue.queued_tasks(); }

absl::Duration ShardScheduler::ExpectedWait(const JobSpec& spec) const {
  return WaitEstimator(state_.get()).ExpectedWait(spec);
}

}  // namespace pomelotray
