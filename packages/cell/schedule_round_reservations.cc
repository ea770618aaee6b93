// The part of ScheduleRound that reserves workers for large tasks and gangs, and isolates suspected
// tasks.

#include <algorithm>
#include <vector>

#include "cell/schedule_round.h"

namespace pomelotray {
namespace {

// Share of the available workers that may be isolated, and of those that may be isolated or
// reserved; a larger share would leave too much of the pool idle. Reservations do not keep a
// suspected task from a worker that is open to it already.
constexpr double kMaxReservedShare = 0.34;

}  // namespace

bool ScheduleRound::MayShareWorker(const Candidate& candidate, const CellTask& task,
                                   const AvailableWorker& available) const {
  const bool own_job =
      available.sole_job != nullptr && *available.sole_job == candidate.job->intake.id;
  if (!NeedsIsolation(candidate.job->Step(candidate.job->runs[candidate.run]), task)) {
    return !available.isolated || own_job;
  }
  return own_job || (available.open_to_suspects && isolated_workers_ < MaxReservedWorkers());
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
