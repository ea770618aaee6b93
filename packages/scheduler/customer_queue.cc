#include "scheduler/customer_queue.h"

namespace pomelotray {
namespace {

JobOrder OrderOf(QueuedJob* job) { return JobOrder{job->key, job->tie_break, job->sequence, job}; }

}  // namespace

CustomerQueue::Shape CustomerQueue::ShapeOf(const QueuedJob& job) {
  const Resources& demand = job.spec.demand;
  // Uses the declared gang size: the number of ready tasks changes while the job is in the queue,
  // and the group key must not.
  return {demand.accelerators.value(),
          demand.cpu.value(),
          demand.memory.value(),
          demand.slots.value(),
          job.IsGang() ? job.spec.task_count : 0,
          job.spec.repeatable};
}

void CustomerQueue::Insert(QueuedJob* job) { groups_[ShapeOf(*job)].jobs.insert(OrderOf(job)); }

void CustomerQueue::Erase(QueuedJob* job) {
  const auto it = groups_.find(ShapeOf(*job));
  if (it == groups_.end()) {
    return;
  }
  it->second.jobs.erase(OrderOf(job));
  if (it->second.jobs.empty()) {
    groups_.erase(it);
  }
}

QueuedJob* CustomerQueue::Head(uint64_t round) const {
  const JobOrder* best = nullptr;
  for (const auto& [shape, group] : groups_) {
    if (group.skipped_round == round) {
      continue;
    }
    const JobOrder& first = *group.jobs.begin();
    if (best == nullptr || first < *best) {
      best = &first;
    }
  }
  return best != nullptr ? best->job : nullptr;
}

void CustomerQueue::SkipShapeOf(const QueuedJob& job, uint64_t round) {
  const auto it = groups_.find(ShapeOf(job));
  if (it != groups_.end()) {
    it->second.skipped_round = round;
  }
}

}  // namespace pomelotray
