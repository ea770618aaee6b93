// The part of PoolSimulation that lets workers leave, shrink and be lost for good.

#include <iterator>

#include "absl/strings/str_cat.h"
#include "tests/cell/pool_simulation.h"

namespace pomelotray {

void PoolSimulation::InjectWorkerChanges() {
  if (faults_.departures > 0 && Happens(faults_.departures)) {
    DrainRandomWorker();
  }
  if (faults_.shrinks > 0 && Happens(faults_.shrinks)) {
    ShrinkRandomWorker();
  }
  if (faults_.final_losses > 0 && Happens(faults_.final_losses)) {
    LoseRandomWorker();
  }
  if (faults_.refusals > 0 && Happens(faults_.refusals)) {
    RefuseOnRandomWorker();
  }
}

void PoolSimulation::RefuseOnRandomWorker() {
  Worker* const worker = ChooseStayingWorker();
  if (worker != nullptr) {
    worker->refuses_until = Now() + Millis(500, 5000);
    Note(absl::StrCat(worker->description.id.value(), " refuses starts"));
  }
}

PoolSimulation::Worker* PoolSimulation::ChooseStayingWorker() {
  const WorkerEntry it = std::next(workers_.begin(), Below(static_cast<int>(workers_.size())));
  return it->second.up && !it->second.description.draining ? &it->second : nullptr;
}

void PoolSimulation::DrainRandomWorker() {
  Worker* const worker = ChooseStayingWorker();
  if (worker == nullptr) {
    return;
  }
  worker->description.draining = true;
  // The worker publishes this at once.
  worker->next_beat = Now();
  worker->draining_counts_at = Now() + kDrainNotice;
  worker->leaves_at = Now() + Millis(2000, 8000);
  Note(absl::StrCat(worker->description.id.value(), " drains"));
}

void PoolSimulation::EndDrainedWorkers() {
  for (auto& [id, worker] : workers_) {
    if (!worker.up || Now() < worker.leaves_at) {
      continue;
    }
    Note(absl::StrCat(id, " leaves"));
    CrashWorker(&worker, "");
    worker.back_at = absl::InfiniteFuture();
    // Its entry is removed.
    worker.last_beat = absl::InfinitePast();
    After(Millis(2000, 5000), [this, machine = worker.description.address] { AddWorker(machine); });
  }
}

void PoolSimulation::ShrinkRandomWorker() {
  Worker* const worker = ChooseStayingWorker();
  if (worker != nullptr) {
    SetCapacity(worker, nominal_cpu_.at(worker->description.address) / 4 * (1 + Below(2)));
  }
}

void PoolSimulation::LoseRandomWorker() {
  Worker* const worker = ChooseStayingWorker();
  if (worker == nullptr || lost_machines_ >= static_cast<int>(nominal_cpu_.size() / 2)) {
    return;
  }
  ++lost_machines_;
  Note(absl::StrCat(worker->description.address, " is lost"));
  CrashWorker(worker, "");
  worker->back_at = absl::InfiniteFuture();
}

}  // namespace pomelotray
