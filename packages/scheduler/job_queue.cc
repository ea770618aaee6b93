#include "scheduler/job_queue.h"

#include <algorithm>

namespace pomelotray {

QueuedJob* JobQueue::FindOrAdd(const JobRecord& record, double task_cost) {
  std::unique_ptr<QueuedJob>& entry = jobs_[record.id];
  if (entry != nullptr) {
    return entry.get();
  }
  entry = std::make_unique<QueuedJob>();
  QueuedJob* job = entry.get();
  job->id = record.id;
  job->spec = record.spec;
  job->spec.payload.clear();
  job->arrival = record.accepted_at;
  job->sequence = next_sequence_++;
  job->key = policy_->JobOrderKey(job->spec, job->arrival);
  job->tie_break = policy_->TieBreak(job->spec);
  job->task_cost = task_cost;
  job->ever_placed = record.started_at.has_value();
  std::unique_ptr<CustomerQueue>& customer = customers_[job->spec.customer];
  if (customer == nullptr) {
    customer = std::make_unique<CustomerQueue>(job->spec.customer);
  }
  return job;
}

QueuedJob* JobQueue::Find(const JobId& job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() ? it->second.get() : nullptr;
}

QueuedJob* JobQueue::JobOf(const TaskId& task) const {
  const auto it = tasks_.find(task);
  return it != tasks_.end() ? it->second.job : nullptr;
}

bool JobQueue::IsInState(const TaskId& task, QueueState state) const {
  const auto it = tasks_.find(task);
  return it != tasks_.end() && it->second.state == state;
}

const CustomerQueue* JobQueue::FindCustomer(const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  return it != customers_.end() ? it->second.get() : nullptr;
}

CustomerQueue* JobQueue::CustomerOf(const QueuedJob& job) {
  return customers_.find(job.spec.customer)->second.get();
}

void JobQueue::CountQueued(const QueuedJob& job, int64_t tasks) {
  CustomerQueue* customer = CustomerOf(job);
  const double cost = job.task_cost * static_cast<double>(tasks);
  customer->queued_demand += job.spec.demand * tasks;
  // The backlog is reset to zero when nothing is queued, so that rounding errors do not add up.
  customer->backlog =
      customer->queued_demand.IsZero() ? 0 : std::max(0.0, customer->backlog + cost);
  queued_tasks_ = static_cast<size_t>(static_cast<int64_t>(queued_tasks_) + tasks);
  backlog_ = queued_tasks_ == 0 ? 0 : std::max(0.0, backlog_ + cost);
}

void JobQueue::AddReady(QueuedJob* job, const TaskId& task) {
  const auto [it, inserted] = tasks_.try_emplace(task, TaskEntry{job, QueueState::kReady});
  if (!inserted) {
    return;
  }
  job->ready.insert(task);
  CountQueued(*job, 1);
  Refresh(job);
}

void JobQueue::MarkReserved(QueuedJob* job, const TaskId& task) {
  TaskEntry& entry = tasks_[task];
  const int64_t dequeued =
      static_cast<int64_t>(job->ready.erase(task)) + static_cast<int64_t>(job->held.erase(task));
  entry = TaskEntry{job, QueueState::kReserved};
  ++job->reserved;
  job->ever_placed = true;
  CountQueued(*job, -dequeued);
  Refresh(job);
}

void JobQueue::RemoveReserved(const TaskId& task) {
  const auto it = tasks_.find(task);
  QueuedJob* job = it->second.job;
  job->stopping -= it->second.stopping ? 1 : 0;
  tasks_.erase(it);
  --job->reserved;
  Refresh(job);
}

void JobQueue::RequeueReserved(const TaskId& task) {
  TaskEntry& entry = tasks_.find(task)->second;
  QueuedJob* job = entry.job;
  if (job->removed) {
    RemoveReserved(task);
    return;
  }
  entry.state = QueueState::kReady;
  job->stopping -= entry.stopping ? 1 : 0;
  entry.stopping = false;
  --job->reserved;
  job->ready.insert(task);
  CountQueued(*job, 1);
  Refresh(job);
}

void JobQueue::MarkStopping(const TaskId& task) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.state != QueueState::kReserved || it->second.stopping) {
    return;
  }
  it->second.stopping = true;
  ++it->second.job->stopping;
  Refresh(it->second.job);
}

void JobQueue::SetHeld(const TaskId& task, bool held) {
  const auto it = tasks_.find(task);
  const QueueState from = held ? QueueState::kReady : QueueState::kHeld;
  if (it == tasks_.end() || it->second.state != from) {
    return;
  }
  QueuedJob* job = it->second.job;
  it->second.state = held ? QueueState::kHeld : QueueState::kReady;
  (held ? job->ready : job->held).erase(task);
  (held ? job->held : job->ready).insert(task);
  Refresh(job);
}

void JobQueue::RemoveQueued(QueuedJob* job) {
  for (const TaskId& task : job->ready) {
    tasks_.erase(task);
  }
  for (const TaskId& task : job->held) {
    tasks_.erase(task);
  }
  const int64_t dropped = job->QueuedCount();
  job->ready.clear();
  job->held.clear();
  job->removed = true;
  CountQueued(*job, -dropped);
  Refresh(job);
}

void JobQueue::MarkExpired(absl::Time now) {
  while (!by_deadline_.empty() && by_deadline_.begin()->time <= now) {
    const JobOrder order = *by_deadline_.begin();
    by_deadline_.erase(by_deadline_.begin());
    expired_.insert(order);
    order.job->expired = true;
    EraseWaiting(order.job);
  }
}

std::vector<JobId> JobQueue::Expired(absl::Time now) const {
  std::vector<JobId> expired;
  for (const JobOrder& order : expired_) {
    expired.push_back(order.job->id);
  }
  for (const JobOrder& order : by_deadline_) {
    if (order.time > now) {
      break;
    }
    expired.push_back(order.job->id);
  }
  return expired;
}

absl::Time JobQueue::DrainsFrom(const QueuedJob& job) const {
  return job.IsGang() || ServedAsUrgent(job) ? job.arrival : job.arrival + kAgingBound;
}

void JobQueue::InsertWaiting(QueuedJob* job) {
  if (job->waiting) {
    return;
  }
  job->waiting = true;
  drain_candidates_.insert(JobOrder{DrainsFrom(*job), 0, job->sequence, job});
  if (ServedAsUrgent(*job)) {
    urgent_.insert(JobOrder{job->arrival, 0, job->sequence, job});
  } else {
    CustomerOf(*job)->Insert(job);
  }
}

void JobQueue::EraseWaiting(QueuedJob* job) {
  if (!job->waiting) {
    return;
  }
  job->waiting = false;
  drain_candidates_.erase(JobOrder{DrainsFrom(*job), 0, job->sequence, job});
  if (ServedAsUrgent(*job)) {
    urgent_.erase(JobOrder{job->arrival, 0, job->sequence, job});
  } else {
    CustomerOf(*job)->Erase(job);
  }
}

void JobQueue::Refresh(QueuedJob* job) {
  if (job->ever_placed) {
    job->expired = false;
  }
  if (job->CanBePlaced()) {
    InsertWaiting(job);
  } else {
    EraseWaiting(job);
  }
  if (job->spec.deadline.has_value()) {
    const JobOrder order{*job->spec.deadline, 0, job->sequence, job};
    if (!job->ever_placed && job->QueuedCount() > 0) {
      (job->expired ? expired_ : by_deadline_).insert(order);
    } else {
      by_deadline_.erase(order);
      expired_.erase(order);
    }
  }
  if (job->QueuedCount() == 0 && job->reserved == 0) {
    const JobId id = job->id;
    jobs_.erase(id);
  }
}

}  // namespace pomelotray
