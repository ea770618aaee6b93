#include "scheduler/scheduler_state.h"

#include <algorithm>

namespace pomelotray {

SchedulerState::SchedulerState(const Clock* the_clock, const LimitSource* the_limits,
                               std::unique_ptr<QueuePolicy> the_queue_policy,
                               std::unique_ptr<PlacementPolicy> the_placement_policy, uint64_t seed)
    : clock(the_clock),
      limits(the_limits),
      queue_policy(std::move(the_queue_policy)),
      placement_policy(std::move(the_placement_policy)),
      queue(queue_policy.get()),
      preemptions(&index, &ledger),
      last_aged_drain(absl::InfinitePast()),
      last_fair_drain(absl::InfinitePast()),
      jitter(seed) {}

void SchedulerState::WorkerChanged(WorkerSlot slot) {
  if (oldest_job_drain.Contains(slot)) {
    oldest_job_drain.Clear();
  }
  fair_drains.erase(std::remove_if(fair_drains.begin(), fair_drains.end(),
                                   [slot](const DrainReservation& fair_drain) {
                                     return fair_drain.Contains(slot);
                                   }),
                    fair_drains.end());
  CapacityChanged();
}

const DrainReservation* SchedulerState::DrainOf(const JobId& job) const {
  if (oldest_job_drain.active() && oldest_job_drain.job() == job) {
    return &oldest_job_drain;
  }
  const auto it =
      std::find_if(fair_drains.begin(), fair_drains.end(),
                   [&job](const DrainReservation& fair_drain) { return fair_drain.job() == job; });
  return it != fair_drains.end() ? &*it : nullptr;
}

bool SchedulerState::FairDrainsAllow(const JobId& job, WorkerSlot slot,
                                     absl::Time expected_end) const {
  return std::all_of(
      fair_drains.begin(), fair_drains.end(), [&](const DrainReservation& fair_drain) {
        return fair_drain.job() == job || fair_drain.AllowsBackfill(slot, expected_end);
      });
}

bool SchedulerState::DrainsAllow(const JobId& job, WorkerSlot slot, absl::Time expected_end) const {
  const bool allowed = !oldest_job_drain.active() || oldest_job_drain.job() == job ||
                       oldest_job_drain.AllowsBackfill(slot, expected_end);
  return allowed && FairDrainsAllow(job, slot, expected_end);
}

void SchedulerState::ClearDrainsOf(const JobId& job) {
  if (!IsDrainedFor(job)) {
    return;
  }
  if (oldest_job_drain.job() == job) {
    oldest_job_drain.Clear();
  }
  fair_drains.erase(std::remove_if(fair_drains.begin(), fair_drains.end(),
                                   [&job](const DrainReservation& fair_drain) {
                                     return fair_drain.job() == job;
                                   }),
                    fair_drains.end());
  CapacityChanged();
}

absl::Duration SchedulerState::TypicalRunTime(const JobSpec& spec) const {
  return estimator.MedianRunTime(spec.customer, spec.pool, spec.expected_run);
}

double SchedulerState::TaskCost(const JobSpec& spec) const {
  return DominantShare(spec.demand, index.usable_capacity()) *
         absl::ToDoubleSeconds(TypicalRunTime(spec));
}

void SchedulerState::Reserve(QueuedJob* job, const TaskId& task, WorkerSlot slot,
                             absl::Time since) {
  const JobSpec& spec = job->spec;
  Reservation reservation;
  reservation.task = task;
  reservation.job = job->id;
  reservation.customer = spec.customer;
  reservation.demand = spec.demand;
  reservation.slot = slot;
  reservation.kind = spec.kind;
  reservation.priority = spec.priority;
  reservation.repeatable = spec.repeatable;
  reservation.since = since;
  reservation.expected_end =
      spec.kind == JobKind::kService ? absl::InfiniteFuture() : since + TypicalRunTime(spec);
  index.Reserve(slot, spec.demand);
  ledger.Add(std::move(reservation));
  if (spec.kind == JobKind::kService) {
    ++job->tasks_in_rack[index.At(slot).rack];
    ++job->tasks_on_worker[slot];
  }
  queue.MarkReserved(job, task);
}

bool SchedulerState::Unreserve(const TaskId& task) {
  const Reservation* reservation = ledger.Find(task);
  if (reservation == nullptr) {
    return false;
  }
  const WorkerSlot slot = reservation->slot;
  const Resources demand = reservation->demand;
  QueuedJob* job = queue.Find(reservation->job);
  if (job != nullptr && job->spec.kind == JobKind::kService) {
    --job->tasks_in_rack[index.At(slot).rack];
    --job->tasks_on_worker[slot];
  }
  preemptions.RecordRelease(task);
  ledger.Remove(task);
  index.Release(slot, demand);
  CapacityChanged();
  return true;
}

}  // namespace pomelotray
