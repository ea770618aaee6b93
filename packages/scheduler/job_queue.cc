#include "scheduler/job_queue.h"

#include <algorithm>

namespace pomelotray {

QueuedJob* JobQueue::FindOrAdd(const JobRecord& record, double task_work) {
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
  job->key = policy_->JobKey(job->spec, job->arrival);
  job->tie_break = policy_->TieBreak(job->spec);
  job->task_work = task_work;
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

bool JobQueue::IsIn(const TaskId& task, TaskPlace place) const {
  const auto it = tasks_.find(task);
  return it != tasks_.end() && it->second.place == place;
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
  const double work = job.task_work * static_cast<double>(tasks);
  customer->wanted += job.spec.demand * tasks;
  // Rounding must not leave a rest when nothing is queued.
  customer->backlog = customer->wanted.IsZero() ? 0 : std::max(0.0, customer->backlog + work);
  queued_tasks_ = static_cast<size_t>(static_cast<int64_t>(queued_tasks_) + tasks);
  backlog_ = queued_tasks_ == 0 ? 0 : std::max(0.0, backlog_ + work);
}

void JobQueue::AddReady(QueuedJob* job, const TaskId& task) {
  const auto [it, inserted] = tasks_.try_emplace(task, TaskEntry{job, TaskPlace::kReady});
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
  entry = TaskEntry{job, TaskPlace::kReserved};
  ++job->reserved;
  job->ever_placed = true;
  CountQueued(*job, -dequeued);
  Refresh(job);
}

void JobQueue::DropReserved(const TaskId& task) {
  const auto it = tasks_.find(task);
  QueuedJob* job = it->second.job;
  job->stopping -= it->second.stopping ? 1 : 0;
  tasks_.erase(it);
  --job->reserved;
  Refresh(job);
}

void JobQueue::ReturnReserved(const TaskId& task) {
  TaskEntry& entry = tasks_.find(task)->second;
  QueuedJob* job = entry.job;
  if (job->removed) {
    DropReserved(task);
    return;
  }
  entry.place = TaskPlace::kReady;
  job->stopping -= entry.stopping ? 1 : 0;
  entry.stopping = false;
  --job->reserved;
  job->ready.insert(task);
  CountQueued(*job, 1);
  Refresh(job);
}

void JobQueue::MarkStopping(const TaskId& task) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.place != TaskPlace::kReserved || it->second.stopping) {
    return;
  }
  it->second.stopping = true;
  ++it->second.job->stopping;
  Refresh(it->second.job);
}

void JobQueue::SetHeld(const TaskId& task, bool held) {
  const auto it = tasks_.find(task);
  const TaskPlace from = held ? TaskPlace::kReady : TaskPlace::kHeld;
  if (it == tasks_.end() || it->second.place != from) {
    return;
  }
  QueuedJob* job = it->second.job;
  it->second.place = held ? TaskPlace::kHeld : TaskPlace::kReady;
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

void JobQueue::ParkExpired(absl::Time now) {
  while (!by_deadline_.empty() && by_deadline_.begin()->time <= now) {
    const JobOrder order = *by_deadline_.begin();
    by_deadline_.erase(by_deadline_.begin());
    parked_.insert(order);
    order.job->parked = true;
    Unlist(order.job);
  }
}

std::vector<JobId> JobQueue::Expired(absl::Time now) const {
  std::vector<JobId> expired;
  for (const JobOrder& order : parked_) {
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

void JobQueue::List(QueuedJob* job) {
  if (job->listed) {
    return;
  }
  job->listed = true;
  drain_candidates_.insert(JobOrder{DrainsFrom(*job), 0, job->sequence, job});
  if (ServedAsUrgent(*job)) {
    urgent_.insert(JobOrder{job->arrival, 0, job->sequence, job});
  } else {
    CustomerOf(*job)->Insert(job);
  }
}

void JobQueue::Unlist(QueuedJob* job) {
  if (!job->listed) {
    return;
  }
  job->listed = false;
  drain_candidates_.erase(JobOrder{DrainsFrom(*job), 0, job->sequence, job});
  if (ServedAsUrgent(*job)) {
    urgent_.erase(JobOrder{job->arrival, 0, job->sequence, job});
  } else {
    CustomerOf(*job)->Erase(job);
  }
}

void JobQueue::Refresh(QueuedJob* job) {
  if (job->ever_placed) {
    job->parked = false;
  }
  if (job->CanBePlaced()) {
    List(job);
  } else {
    Unlist(job);
  }
  if (job->spec.deadline.has_value()) {
    const JobOrder order{*job->spec.deadline, 0, job->sequence, job};
    if (!job->ever_placed && job->QueuedCount() > 0) {
      (job->parked ? parked_ : by_deadline_).insert(order);
    } else {
      by_deadline_.erase(order);
      parked_.erase(order);
    }
  }
  if (job->QueuedCount() == 0 && job->reserved == 0) {
    const JobId id = job->id;
    jobs_.erase(id);
  }
}

}  // namespace pomelotray
