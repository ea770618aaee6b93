#include "scheduler/drain_reservation.h"

#include <algorithm>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "scheduler/reservation_ledger.h"
#include "scheduler/task_fit.h"
#include "scheduler/worker_index.h"

namespace pomelotray {
namespace {

// At `time` the worker gets room for `gained` more tasks.
struct RoomEvent {
  absl::Time time;
  WorkerSlot slot = 0;
  int64_t gained = 0;
};

// A task that has outlived its estimate is expected to run as long again as it already has.
absl::Time ExpectedEnd(const Reservation& reservation, absl::Time now) {
  if (reservation.expected_end > now) {
    return reservation.expected_end;
  }
  return now + std::max(now - reservation.since, absl::Seconds(1));
}

void AppendRoomEvents(const DrainReservation::Request& request, const WorkerIndex& index,
                      const ReservationLedger& ledger, WorkerSlot slot,
                      std::vector<RoomEvent>* events) {
  struct Ending {
    absl::Time end;
    Resources demand;
  };
  std::vector<Ending> endings;
  for (const Reservation* reservation : ledger.OnWorker(slot)) {
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
    events->push_back(RoomEvent{request.now, slot, fitting});
  }
  for (const Ending& ending : endings) {
    free += ending.demand;
    const int64_t now_fitting = TasksThatFit(free, request.demand, request.count);
    if (now_fitting > fitting) {
      events->push_back(RoomEvent{ending.end, slot, now_fitting - fitting});
      fitting = now_fitting;
    }
  }
}

// Picks the workers with the most room until `count` tasks fit.
absl::flat_hash_set<WorkerSlot> PickWorkers(const absl::flat_hash_map<WorkerSlot, int64_t>& room,
                                            int64_t count) {
  std::vector<std::pair<int64_t, WorkerSlot>> by_room;
  for (const auto& [slot, fitting] : room) {
    by_room.emplace_back(-fitting, slot);
  }
  std::sort(by_room.begin(), by_room.end());
  absl::flat_hash_set<WorkerSlot> picked;
  for (const auto& [negative_room, slot] : by_room) {
    if (count <= 0) {
      break;
    }
    picked.insert(slot);
    count += negative_room;
  }
  return picked;
}

}  // namespace

bool DrainReservation::Plan(const Request& request, const WorkerIndex& index,
                            const ReservationLedger& ledger) {
  Clear();
  std::vector<RoomEvent> events;
  for (WorkerSlot slot = 0; slot < index.slot_count(); ++slot) {
    const WorkerIndex::Worker& worker = index.At(slot);
    if (worker.Usable() && request.demand.FitsInto(worker.capacity) && request.usable(slot)) {
      AppendRoomEvents(request, index, ledger, slot, &events);
    }
  }
  std::sort(events.begin(), events.end(), [](const RoomEvent& a, const RoomEvent& b) {
    return a.time != b.time ? a.time < b.time : a.slot < b.slot;
  });
  absl::flat_hash_map<WorkerSlot, int64_t> room;
  int64_t total = 0;
  for (const RoomEvent& event : events) {
    room[event.slot] += event.gained;
    total += event.gained;
    if (total >= request.count) {
      job_ = request.job;
      start_ = event.time;
      workers_ = PickWorkers(room, request.count);
      return true;
    }
  }
  return false;
}

bool DrainReservation::CanStillStart(const Request& request, const WorkerIndex& index,
                                     const ReservationLedger& ledger) const {
  std::vector<RoomEvent> events;
  for (const WorkerSlot slot : workers_) {
    if (index.At(slot).Usable() && request.usable(slot)) {
      AppendRoomEvents(request, index, ledger, slot, &events);
    }
  }
  int64_t total = 0;
  for (const RoomEvent& event : events) {
    total += event.gained;
  }
  return total >= request.count;
}

void DrainReservation::Clear() {
  job_ = JobId();
  workers_.clear();
}

}  // namespace pomelotray
