#include "scheduler/preemption_planner.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Number of suitable workers compared for one task. The best of a few is close to the best of all.
constexpr int kMaxCandidateWorkers = 16;

// Preemption preference by job kind; the lowest is preempted first.
int CostRank(const Reservation& reservation) {
  return reservation.kind == JobKind::kBatch ? 0 : reservation.kind == JobKind::kService ? 1 : 2;
}

// Orders victims: batch tasks before services before gangs. Within a kind, the task that started
// last comes first, because it loses the least work.
bool CheaperVictim(const Reservation* a, const Reservation* b) {
  return CostRank(*a) != CostRank(*b) ? CostRank(*a) < CostRank(*b) : a->since > b->since;
}

}  // namespace

Resources PreemptionPlanner::ExpectedFree(WorkerSlot slot) const {
  Resources free = index_->At(slot).Free();
  const auto it = slots_.find(slot);
  if (it != slots_.end()) {
    free += it->second.freeing;
    free -= it->second.earmarked;
  }
  return free;
}

std::optional<PreemptionPlanner::VictimList> PreemptionPlanner::ChooseVictims(
    WorkerSlot slot, const Resources& demand) const {
  VictimList candidates;
  for (const Reservation* reservation : ledger_->ReservationsOnWorker(slot)) {
    if (reservation->Preemptible() && !victims_.contains(reservation->task)) {
      candidates.push_back(reservation);
    }
  }
  std::sort(candidates.begin(), candidates.end(), CheaperVictim);
  Resources free = ExpectedFree(slot);
  VictimList chosen;
  for (const Reservation* candidate : candidates) {
    if (demand.FitsInto(free)) {
      break;
    }
    free += candidate->demand;
    chosen.push_back(candidate);
  }
  if (!demand.FitsInto(free)) {
    return std::nullopt;
  }
  // Removes victims that are not needed because one chosen later frees enough capacity.
  for (size_t i = 0; i < chosen.size();) {
    if (demand.FitsInto(free - chosen[i]->demand)) {
      free -= chosen[i]->demand;
      chosen.erase(chosen.begin() + static_cast<VictimList::difference_type>(i));
    } else {
      ++i;
    }
  }
  return chosen;
}

bool PreemptionPlanner::PlanTask(const JobId& job, const Resources& demand, absl::Time now,
                                 absl::FunctionRef<bool(WorkerSlot)> usable,
                                 std::vector<Preemption>* preemptions) {
  std::optional<VictimList> best;
  WorkerSlot best_slot = 0;
  int candidates = 0;
  for (WorkerSlot slot = 0; slot < index_->slot_count() && candidates < kMaxCandidateWorkers;
       ++slot) {
    const WorkerIndex::Worker& worker = index_->At(slot);
    const bool may_fit = worker.Usable() &&
                         demand.FitsInto(worker.Free() + ledger_->PreemptibleOn(slot)) &&
                         usable(slot);
    if (!may_fit) {
      continue;
    }
    std::optional<VictimList> choice = ChooseVictims(slot, demand);
    if (!choice.has_value()) {
      continue;
    }
    ++candidates;
    if (!best.has_value() || StopCount(*choice) < StopCount(*best)) {
      best = std::move(choice);
      best_slot = slot;
    }
  }
  if (!best.has_value()) {
    return false;
  }
  AddEarmark(job, demand, best_slot, *best, now, preemptions);
  return true;
}

bool PreemptionPlanner::Plan(const JobId& job, const Resources& demand, int64_t count,
                             absl::Time now, absl::FunctionRef<bool(WorkerSlot)> usable,
                             std::vector<Preemption>* preemptions) {
  const size_t earmarks_before = earmarks_.size();
  const size_t preemptions_before = preemptions->size();
  for (int64_t i = 0; i < count; ++i) {
    if (PlanTask(job, demand, now, usable, preemptions)) {
      continue;
    }
    for (size_t added = preemptions_before; added < preemptions->size(); ++added) {
      RecordRelease((*preemptions)[added].task);
    }
    while (earmarks_.size() > earmarks_before) {
      DropEarmark(earmarks_.size() - 1);
    }
    preemptions->resize(preemptions_before);
    return false;
  }
  return true;
}

void PreemptionPlanner::AddEarmark(const JobId& job, const Resources& demand, WorkerSlot slot,
                                   const VictimList& victims, absl::Time now,
                                   std::vector<Preemption>* preemptions) {
  Earmark earmark{job, slot, demand, now, false, {}};
  // Holds no reference to the entry: AddVictim may insert entries for other workers, which can move
  // this one.
  ++slots_[slot].earmarks;
  slots_[slot].earmarked += demand;
  for (const Reservation* reservation : victims) {
    if (reservation->kind != JobKind::kGang) {
      AddVictim(*reservation, now, job, preemptions);
      continue;
    }
    for (const Reservation* member : ledger_->ReservationsOfGang(reservation->job)) {
      AddVictim(*member, now, job, preemptions);
    }
  }
  // Includes the victims of earlier earmarks on this worker, because ExpectedFree() counts the
  // capacity that they free.
  for (const auto& [task, victim] : victims_) {
    if (victim.slot == slot) {
      earmark.victims.push_back(task);
    }
  }
  earmarks_.push_back(std::move(earmark));
}

void PreemptionPlanner::AddVictim(const Reservation& reservation, absl::Time now,
                                  const JobId& urgent_job, std::vector<Preemption>* preemptions) {
  const Victim victim{reservation.task,
                      reservation.job,
                      reservation.slot,
                      reservation.demand,
                      urgent_job,
                      reservation.kind == JobKind::kGang,
                      false,
                      now};
  if (!victims_.emplace(victim.task, victim).second) {
    return;
  }
  slots_[victim.slot].freeing += victim.demand;
  preemptions->push_back(MakePreemption(victim, StopMode::kCheckpoint));
}

size_t PreemptionPlanner::StopCount(const VictimList& victims) const {
  size_t count = 0;
  for (const Reservation* victim : victims) {
    count += victim->kind == JobKind::kGang ? ledger_->ReservationsOfGang(victim->job).size() : 1;
  }
  return count;
}

Preemption PreemptionPlanner::MakePreemption(const Victim& victim, StopMode mode) const {
  return Preemption{
      victim.job, victim.task, index_->At(victim.slot).id, mode,
      absl::StrCat("Stopped to free capacity for the urgent job ", victim.urgent_job.value(), ".")};
}

void PreemptionPlanner::Escalate(absl::Time now, std::vector<Preemption>* preemptions) {
  for (Earmark& earmark : earmarks_) {
    if (earmark.escalated || now - earmark.requested_at < kCheckpointGrace) {
      continue;
    }
    earmark.escalated = true;
    for (const TaskId& task : earmark.victims) {
      const auto it = victims_.find(task);
      if (it != victims_.end() && !it->second.stop_requested) {
        it->second.stop_requested = true;
        it->second.requested_at = now;
        preemptions->push_back(MakePreemption(it->second, StopMode::kStop));
      }
    }
  }
  for (auto& [task, victim] : victims_) {
    const absl::Duration repeat_after = victim.stop_requested ? kEarmarkLifetime : kCheckpointGrace;
    if (victim.gang && now - victim.requested_at >= repeat_after) {
      victim.stop_requested = true;
      victim.requested_at = now;
      preemptions->push_back(MakePreemption(victim, StopMode::kStop));
    }
  }
}

bool PreemptionPlanner::ExpireEarmarks(absl::Time now) {
  const size_t before = earmarks_.size();
  for (size_t i = earmarks_.size(); i-- > 0;) {
    if (now - earmarks_[i].requested_at >= kEarmarkLifetime) {
      // Lets the next earmark request the stops again, since they had no effect.
      for (const TaskId& task : earmarks_[i].victims) {
        const auto victim = victims_.find(task);
        if (victim != victims_.end()) {
          victim->second.stop_requested = false;
        }
      }
      DropEarmark(i);
    }
  }
  return earmarks_.size() < before;
}

void PreemptionPlanner::DropEarmark(size_t position) {
  const Earmark& earmark = earmarks_[position];
  const auto it = slots_.find(earmark.slot);
  it->second.earmarked -= earmark.demand;
  --it->second.earmarks;
  if (it->second.earmarks == 0 && it->second.freeing.IsZero()) {
    slots_.erase(it);
  }
  earmarks_.erase(earmarks_.begin() + static_cast<std::ptrdiff_t>(position));
}

int64_t PreemptionPlanner::EarmarksOf(const JobId& job) const {
  return std::count_if(earmarks_.begin(), earmarks_.end(),
                       [&job](const Earmark& earmark) { return earmark.job == job; });
}

bool PreemptionPlanner::AllowsPlacement(WorkerSlot slot, const JobId& job) const {
  const auto it = slots_.find(slot);
  if (it == slots_.end() || it->second.earmarks == 0) {
    return true;
  }
  return std::any_of(earmarks_.begin(), earmarks_.end(), [slot, &job](const Earmark& earmark) {
    return earmark.slot == slot && earmark.job == job;
  });
}

bool PreemptionPlanner::RecordPlacement(const JobId& job, WorkerSlot slot) {
  for (size_t i = 0; i < earmarks_.size(); ++i) {
    if (earmarks_[i].slot == slot && earmarks_[i].job == job) {
      DropEarmark(i);
      return true;
    }
  }
  return false;
}

bool PreemptionPlanner::TrimEarmarks(const JobId& job, int64_t count) {
  int64_t excess = EarmarksOf(job) - count;
  const bool any = excess > 0;
  for (size_t i = earmarks_.size(); i-- > 0 && excess > 0;) {
    if (earmarks_[i].job == job) {
      DropEarmark(i);
      --excess;
    }
  }
  return any;
}

void PreemptionPlanner::RecordRelease(const TaskId& victim) {
  const auto it = victims_.find(victim);
  if (it == victims_.end()) {
    return;
  }
  const auto slot = slots_.find(it->second.slot);
  slot->second.freeing -= it->second.demand;
  if (slot->second.earmarks == 0 && slot->second.freeing.IsZero()) {
    slots_.erase(slot);
  }
  victims_.erase(it);
}

}  // namespace pomelotray
