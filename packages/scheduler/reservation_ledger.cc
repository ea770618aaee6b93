#include "scheduler/reservation_ledger.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace pomelotray {

const Reservation* ReservationLedger::Find(const TaskId& task) const {
  const auto it = by_task_.find(task);
  return it != by_task_.end() ? it->second.get() : nullptr;
}

void ReservationLedger::Add(Reservation reservation) {
  const TaskId task = reservation.task;
  std::unique_ptr<Reservation>& entry = by_task_[task];
  entry = std::make_unique<Reservation>(std::move(reservation));
  if (by_worker_.size() <= entry->slot) {
    by_worker_.resize(entry->slot + 1);
  }
  WorkerEntry& worker = by_worker_[entry->slot];
  worker.reservations.push_back(entry.get());
  if (entry->Preemptible()) {
    worker.preemptible += entry->demand;
  }
  by_customer_[entry->customer] += entry->demand;
  if (entry->kind == JobKind::kGang) {
    gangs_[entry->job].insert(task);
  }
}

void ReservationLedger::Remove(const TaskId& task) {
  const auto it = by_task_.find(task);
  if (it == by_task_.end()) {
    return;
  }
  const Reservation* reservation = it->second.get();
  WorkerEntry& worker = by_worker_[reservation->slot];
  const auto position =
      std::find(worker.reservations.begin(), worker.reservations.end(), reservation);
  *position = worker.reservations.back();
  worker.reservations.pop_back();
  if (reservation->Preemptible()) {
    worker.preemptible -= reservation->demand;
  }
  const auto use = by_customer_.find(reservation->customer);
  use->second -= reservation->demand;
  if (use->second.IsZero()) {
    by_customer_.erase(use);
  }
  const auto gang = gangs_.find(reservation->job);
  if (gang != gangs_.end()) {
    gang->second.erase(task);
    if (gang->second.empty()) {
      gangs_.erase(gang);
    }
  }
  by_task_.erase(it);
}

const std::vector<const Reservation*>& ReservationLedger::ReservationsOnWorker(
    WorkerSlot slot) const {
  static const std::vector<const Reservation*>* const kNone = new std::vector<const Reservation*>();
  return slot < by_worker_.size() ? by_worker_[slot].reservations : *kNone;
}

std::vector<const Reservation*> ReservationLedger::ReservationsOfGang(const JobId& job) const {
  std::vector<const Reservation*> reservations;
  const auto it = gangs_.find(job);
  if (it != gangs_.end()) {
    for (const TaskId& task : it->second) {
      reservations.push_back(Find(task));
    }
  }
  return reservations;
}

const Resources& ReservationLedger::PreemptibleOn(WorkerSlot slot) const {
  static const Resources kNothing;
  return slot < by_worker_.size() ? by_worker_[slot].preemptible : kNothing;
}

Resources ReservationLedger::CustomerUsage(const CustomerId& customer) const {
  const auto it = by_customer_.find(customer);
  return it != by_customer_.end() ? it->second : Resources{};
}

}  // namespace pomelotray
