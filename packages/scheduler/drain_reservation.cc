#include "scheduler/drain_reservation.h"

#include <algorithm>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "scheduler/reservation_ledger.h"
#include "scheduler/task_fit.h"
#include "scheduler/worker_index.h"

namespace pomelotray {
namespace {

// From `time` on, the worker has free capacity for `gained` more tasks.
struct CapacityEvent {
  absl::Time time;
  WorkerSlot slot = 0;
  int64_t gained = 0;
};

// A task that has run longer than estimated is expected to run as long again as it already has,
// but at least one more second.
absl::Time ExpectedEnd(const Reservation& reservation, absl::Time now) {
  if (reservation.expected_end > now) {
    return reservation.expected_end;
  }
  return now + std::max(now - reservation.since, absl::Seconds(1));
}

void AppendCapacityEvents(const DrainReservation::Request& request, const WorkerIndex& index,
                          const ReservationLedger& ledger, WorkerSlot slot,
                          std::vector<CapacityEvent>* events) {
  struct Ending {
    absl::Time end;
    Resources demand;
  };
  std::vector<Ending> endings;
  for (const Reservation* reservation : ledger.ReservationsOnWorker(slot)) {
    const absl::Time end = ExpectedEnd(*reservation, request.now);
    if (end < absl::InfiniteFuture()) {
      endings.push_back(Ending{end, reservation->demand});
    }
  }
  std::sort(endings.begin(), endings.end(),
            [](const Ending& a, const Ending& b) { return a.end < b.end; });
  Resources free = index.At(slot).Free();
  int64_t fitting = TasksThatFit(free, request.demand, request.count);
  if (fitting > 0) {
    events->push_back(CapacityEvent{request.now, slot, fitting});
  }
  for (const Ending& ending : endings) {
    free += ending.demand;
    const int64_t now_fitting = TasksThatFit(free, request.demand, request.count);
    if (now_fitting > fitting) {
      events->push_back(CapacityEvent{ending.end, slot, now_fitting - fitting});
      fitting = now_fitting;
    }
  }
}

// Picks the workers that fit the most tasks until `count` tasks fit in total.
absl::flat_hash_set<WorkerSlot> PickWorkers(
    const absl::flat_hash_map<WorkerSlot, int64_t>& fitting_by_slot, int64_t count) {
  std::vector<std::pair<int64_t, WorkerSlot>> by_fitting;
  for (const auto& [slot, fitting] : fitting_by_slot) {
    by_fitting.emplace_back(-fitting, slot);
  }
  std::sort(by_fitting.begin(), by_fitting.end());
  absl::flat_hash_set<WorkerSlot> picked;
  for (const auto& [negative_fitting, slot] : by_fitting) {
    if (count <= 0) {
      break;
    }
    picked.insert(slot);
    count += negative_fitting;
  }
  return picked;
}

}  // namespace

bool DrainReservation::Plan(const Request& request, const WorkerIndex& index,
                            const ReservationLedger& ledger) {
  Clear();
  std::vector<CapacityEvent> events;
  for (WorkerSlot slot = 0; slot < index.slot_count(); ++slot) {
    const WorkerIndex::Worker& worker = index.At(slot);
    if (worker.Usable() && request.demand.FitsInto(worker.capacity) && request.usable(slot)) {
      AppendCapacityEvents(request, index, ledger, slot, &events);
    }
  }
  std::sort(events.begin(), events.end(), [](const CapacityEvent& a, const CapacityEvent& b) {
    return a.time != b.time ? a.time < b.time : a.slot < b.slot;
  });
  absl::flat_hash_map<WorkerSlot, int64_t> fitting_by_slot;
  int64_t total = 0;
  for (const CapacityEvent& event : events) {
    fitting_by_slot[event.slot] += event.gained;
    total += event.gained;
    if (total >= request.count) {
      job_ = request.job;
      start_ = event.time;
      workers_ = PickWorkers(fitting_by_slot, request.count);
      return true;
    }
  }
  return false;
}

bool DrainReservation::CanStillStart(const Request& request, const WorkerIndex& index,
                                     const ReservationLedger& ledger) const {
  std::vector<CapacityEvent> events;
  for (const WorkerSlot slot : workers_) {
    if (index.At(slot).Usable() && request.usable(slot)) {
      AppendCapacityEvents(request, index, ledger, slot, &events);
    }
  }
  int64_t total = 0;
  for (const CapacityEvent& event : events) {
    total += event.gained;
  }
  return total >= request.count;
}

void DrainReservation::Clear() {
  job_ = JobId();
  workers_.clear();
}

}  // namespace pomelotray
