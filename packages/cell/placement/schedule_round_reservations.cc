// The part of ScheduleRound that reserves workers for large tasks and gangs, and isolates suspected
// tasks.

#include <algorithm>
#include <vector>

#include "cell/placement/schedule_round.h"

namespace pomelotray {
namespace {

// Share of the available workers that may be isolated, and of those that may be isolated or
// reserved; a larger share would leave too much of the pool idle. Reservations do not keep a
// suspected task from a worker that is open to it already.
constexpr double kMaxReservedShare = 0.34;
// A ticket for a worker whose capacity is held is renewed this long before the capacity is expected
// to be free: a question takes up to 1.5 s, and tickets are valid for 2 s.
constexpr absl::Duration kRenewalLead = absl::Seconds(1);

}  // namespace

bool ScheduleRound::MayShareWorker(const Candidate& candidate, const CellTask& task,
                                   const AvailableWorker& available) const {
  const bool own_job =
      available.sole_job != nullptr && *available.sole_job == candidate.job->intake.id;
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  const StartUrgency urgency(step, task, now_);
  if (available.isolated && !own_job && !urgency.Overrides(WithholdingRule::kIsolation)) {
    return false;
  }
  return !NeedsIsolation(step, task) || own_job ||
         (available.open_to_suspects && isolated_workers_ < MaxReservedWorkers()) ||
         urgency.Overrides(available.worker->HasRecentStarts(now_)
                               ? WithholdingRule::kSuspicionAmongRecentStarts
                               : WithholdingRule::kSuspicion);
}

bool ScheduleRound::IsIsolatedOn(const Candidate& candidate, const CellTask& task,
                                 const AvailableWorker& available) const {
  const bool own_job =
      available.sole_job != nullptr && *available.sole_job == candidate.job->intake.id;
  return NeedsIsolation(candidate.job->Step(candidate.job->runs[candidate.run]), task) &&
         (own_job || isolated_workers_ < MaxReservedWorkers());
}

size_t ScheduleRound::MaxReservedWorkers() const {
  return std::max<size_t>(
      static_cast<size_t>(kMaxReservedShare * static_cast<double>(available_workers_.size())), 1);
}

void ScheduleRound::ReserveWorkers(const Candidate& candidate, size_t tasks) {
  if (candidate.job->no_value_after < now_) {
    return;
  }
  const Resources needed = ReservedFor(candidate.job->Step(candidate.job->runs[candidate.run]));
  std::vector<AvailableWorker*> usable;
  for (const EligibleWorker& eligible : FindEligibleWorkers(candidate)) {
    if (!eligible.available->reserved &&
        needed.FitsInto(eligible.available->worker->description.capacity)) {
      usable.push_back(eligible.available);
    }
  }
  // The least loaded workers are likely to have enough free capacity first.
  std::stable_sort(usable.begin(), usable.end(),
                   [](const AvailableWorker* a, const AvailableWorker* b) {
                     return DominantShare(a->worker->used, a->worker->description.capacity) <
                            DominantShare(b->worker->used, b->worker->description.capacity);
                   });
  size_t placeable = 0;
  std::vector<AvailableWorker*> reserved;
  for (AvailableWorker* available : usable) {
    if (placeable >= tasks) {
      break;
    }
    Resources left = available->worker->description.capacity;
    for (; placeable < tasks && needed.FitsInto(left); ++placeable) {
      left -= needed;
    }
    reserved.push_back(available);
  }
  // Workers reserved for a gang that does not fit on all of them together would idle to no purpose.
  const bool gang = candidate.job->Step(candidate.job->runs[candidate.run]).gang;
  if ((gang && placeable < tasks) || !MayReserve(reserved.size())) {
    return;
  }
  reserved_workers_ += reserved.size();
  result_.reserved_workers = static_cast<int64_t>(reserved_workers_);
  for (AvailableWorker* available : reserved) {
    available->reserved = true;
    available->reserved_for_large = true;
    available->reserved_until = available->worker->ExpectedFree(needed, now_);
  }
}

std::pair<ScheduleRound::AvailableWorker*, absl::Time> ScheduleRound::FindWorkerToHold(
    const Candidate& candidate, const CellTask& task,
    const std::vector<EligibleWorker>& eligible_workers, const TaskCounts& per_worker) {
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  AvailableWorker* first = nullptr;
  absl::Time first_free = absl::InfiniteFuture();
  for (const EligibleWorker& eligible : eligible_workers) {
    AvailableWorker* const available = eligible.available;
    const CellWorker& worker = *available->worker;
    if (available->held || HasReachedWorkerLimit(step, worker.description.id, per_worker) ||
        (available->reserved && !MayUseReservation(candidate, task, *available)) ||
        !MayShareWorker(candidate, task, *available)) {
      continue;
    }
    // What this round has placed on the worker has to fit as well.
    const Resources placed = worker.Free() - available->free;
    const absl::Time free = worker.ExpectedFree(ReservedFor(step) + placed, now_);
    if (free < first_free) {
      first = available;
      first_free = free;
    }
  }
  return {first, first_free};
}

void ScheduleRound::HoldCapacity(const Candidate& candidate, const std::vector<int>& unplaced,
                                 TaskCounts* per_worker, std::set<WorkerId>* to_renew) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  if (candidate.urgent_since == absl::InfiniteFuture() || unplaced.empty()) {
    return;
  }
  const std::vector<EligibleWorker> eligible_workers = FindEligibleWorkers(candidate);
  for (const int index : unplaced) {
    const CellTask& task = run.tasks[index];
    if (!MayHold() || !StartUrgency(step, task, now_).Overrides(WithholdingRule::kOrder)) {
      continue;
    }
    const auto [worker, free] = FindWorkerToHold(candidate, task, eligible_workers, *per_worker);
    if (worker == nullptr) {
      continue;
    }
    const WorkerId& id = worker->worker->description.id;
    worker->held = true;
    worker->free -= ReservedFor(step);
    free_capacity_ -= ReservedFor(step);
    ++held_slots_;
    ++(*per_worker)[id.value()];
    const bool needs_ticket = candidate.job->intake.policy.advice.has_value();
    if (needs_ticket && free <= now_ + kRenewalLead && !HasTicket(run, id, /*valid=*/true)) {
      to_renew->insert(id);
    }
  }
}

const std::vector<WorkerId>* ScheduleRound::FindWorkersAskedAbout(
    const Candidate& candidate) const {
  const StepAdvice& advice = candidate.job->runs[candidate.run].advice;
  if (advice.question_pending) {
    return &advice.pending_workers;
  }
  const auto asks = [&candidate](const AdviceRequest& request) {
    return request.step.job == candidate.job->intake.id && request.step.run == candidate.run;
  };
  return !result_.advice.empty() && asks(result_.advice.back())
             ? &result_.advice.back().question.workers
             : nullptr;
}

void ScheduleRound::HoldCapacityAskedAbout(const Candidate& candidate, size_t tasks) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const std::vector<WorkerId>* const asked =
      step.long_running && tasks > 0 ? FindWorkersAskedAbout(candidate) : nullptr;
  if (asked == nullptr) {
    return;
  }
  const double share = advice_shares_.Share(candidate.job->intake.policy.name);
  const Resources needed = ReservedFor(step);
  double expected = 0;
  for (const WorkerId& id : *asked) {
    const auto index = available_index_.find(id.value());
    // Capacity of workers that are known to be allowed is held for single tasks.
    if (index == available_index_.end() || HasTicket(run, id, /*valid=*/false)) {
      continue;
    }
    AvailableWorker& available = available_workers_[index->second];
    const int limit = step.max_per_worker > 0 ? step.max_per_worker : run.waiting;
    for (int slot = 0; slot < limit && expected < static_cast<double>(tasks) && MayHold() &&
                       needed.FitsInto(available.free);
         ++slot) {
      available.free -= needed;
      free_capacity_ -= needed;
      ++held_slots_;
      expected += share;
    }
  }
}

bool ScheduleRound::MayReserve(size_t workers) const {
  return reserved_workers_ + isolated_workers_ + workers <= MaxReservedWorkers();
}

void ScheduleRound::ReserveWorkerForSuspect(const Candidate& candidate) {
  const Resources needed = ReservedFor(candidate.job->Step(candidate.job->runs[candidate.run]));
  AvailableWorker* first = nullptr;
  absl::Time first_open = absl::InfiniteFuture();
  for (const EligibleWorker& eligible : FindEligibleWorkers(candidate)) {
    const CellWorker& worker = *eligible.available->worker;
    if (eligible.available->reserved || eligible.available->isolated ||
        !needed.FitsInto(worker.description.capacity)) {
      continue;
    }
    const absl::Time open = worker.ExpectedOpenToSuspects(now_);
    if (open < first_open) {
      first = eligible.available;
      first_open = open;
    }
  }
  if (first == nullptr || !MayReserve(1)) {
    return;
  }
  ++reserved_workers_;
  result_.reserved_workers = static_cast<int64_t>(reserved_workers_);
  first->reserved = true;
  first->reserved_until = first_open;
}

}  // namespace pomelotray
