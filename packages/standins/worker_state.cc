#include "standins/worker_state.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "adapters/wire_json.h"

namespace pomelotray {
namespace {

std::string ToText(const Resources& resources) {
  std::ostringstream text;
  text << resources;
  return text.str();
}

}  // namespace

WorkerState::WorkerState(WorkerOptions options, const Clock* clock, EventLog* events)
    : options_(std::move(options)), clock_(clock), booted_at_(clock->Now()), events_(events) {
  events_->Record(EventCode::kProcessStarted)
      .Worker(options_.id)
      .With(event_field::kBoot, options_.boot.value())
      .Emit();
}

WorkerVerdict WorkerState::Fence(const InstanceId& owner, const Epoch& epoch) {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_->Now();
  EndDueTasks();
  const bool same = epoch == epoch_;
  // Two instances can choose the same round in a local takeover; the worker accepts only the first.
  if (epoch < epoch_ || (same && owner != owner_ && !owner_.empty())) {
    return WorkerVerdict::kFenced;
  }
  const bool higher_round = !same && epoch.term == epoch_.term;
  if (higher_round && now - last_contact_ < kOwnerLease) {
    return WorkerVerdict::kFenced;
  }
  epoch_ = epoch;
  owner_ = owner;
  last_contact_ = now;
  events_->Record(EventCode::kWorkerFenced).Worker(options_.id).Peer(owner).At(epoch).Emit();
  return WorkerVerdict::kOk;
}

WorkerVerdict WorkerState::Admit(const TaskStart& start) const {
  if (shutdown_) {
    return WorkerVerdict::kWrongBoot;
  }
  if (start.epoch < epoch_) {
    return WorkerVerdict::kFenced;
  }
  if (start.boot != options_.boot) {
    return WorkerVerdict::kWrongBoot;
  }
  if (known_.count(start.attempt) > 0) {
    return WorkerVerdict::kKnownAttempt;
  }
  if (start.epoch != epoch_) {
    return WorkerVerdict::kNotFenced;
  }
  if (WorkerClock() > start.valid_before) {
    return WorkerVerdict::kTooLate;
  }
  if (start.demand.AnyNegative() || !(reserved_ + start.demand).FitsInto(options_.capacity)) {
    return WorkerVerdict::kNoRoom;
  }
  return WorkerVerdict::kOk;
}

WorkerVerdict WorkerState::Start(const TaskStart& start) {
  absl::MutexLock lock(&mutex_);
  EndDueTasks();
  const WorkerVerdict verdict = Admit(start);
  if (verdict != WorkerVerdict::kOk) {
    return verdict;
  }
  const absl::Time now = clock_->Now();
  known_.insert(start.attempt);
  WorkerTask& task = tasks_.emplace(start.attempt, WorkerTask(start, now)).first->second;
  if (options_.fail_all_starts) {
    task.FailAt(now);
  }
  reserved_ += start.demand;
  RecordTask(EventCode::kTaskStarted, task);
  RecordReservation();
  changed_.SignalAll();
  return WorkerVerdict::kOk;
}

WorkerVerdict WorkerState::Heartbeat(const WorkerHeartbeat& heartbeat) {
  absl::MutexLock lock(&mutex_);
  EndDueTasks();
  if (heartbeat.epoch < epoch_ || (heartbeat.epoch == epoch_ && heartbeat.owner != owner_)) {
    return WorkerVerdict::kFenced;
  }
  // A restarted worker has not seen any epoch yet. It accepts the heartbeat, so that the owner sees
  // the new boot id in the inventory, but applies nothing from it until the owner has fenced it.
  if (heartbeat.epoch != epoch_) {
    return WorkerVerdict::kOk;
  }
  const absl::Time now = clock_->Now();
  last_contact_ = now;
  const bool in_time = WorkerClock() <= heartbeat.valid_before;
  for (const AttemptId& attempt : heartbeat.renew) {
    const auto it = tasks_.find(attempt);
    if (in_time && it != tasks_.end() && it->second.running()) {
      it->second.Renew(now + heartbeat.lease);
    }
  }
  for (const AttemptId& attempt : heartbeat.acknowledge) {
    const auto it = tasks_.find(attempt);
    if (it != tasks_.end() && !it->second.running()) {
      tasks_.erase(it);
    }
  }
  return WorkerVerdict::kOk;
}

WorkerVerdict WorkerState::Stop(const AttemptId& attempt, const Epoch& epoch, StopMode mode) {
  absl::MutexLock lock(&mutex_);
  EndDueTasks();
  if (epoch < epoch_) {
    return WorkerVerdict::kFenced;
  }
  if (epoch != epoch_) {
    return WorkerVerdict::kNotFenced;
  }
  const auto it = tasks_.find(attempt);
  if (it == tasks_.end()) {
    return WorkerVerdict::kUnknownAttempt;
  }
  if (!it->second.running()) {
    return WorkerVerdict::kOk;
  }
  if (mode == StopMode::kThrottle) {
    it->second.Throttle(clock_->Now());
    changed_.SignalAll();
    return WorkerVerdict::kOk;
  }
  End(&it->second, AttemptState::kStopped);
  return WorkerVerdict::kOk;
}

WorkerInventory WorkerState::Inventory() {
  absl::MutexLock lock(&mutex_);
  EndDueTasks();
  const absl::Time now = clock_->Now();
  WorkerInventory inventory;
  inventory.worker = options_.id;
  inventory.boot = options_.boot;
  inventory.epoch = epoch_;
  inventory.leaving = leaving_;
  inventory.worker_clock = WorkerClock();
  inventory.capacity = options_.capacity;
  for (const auto& [attempt, task] : tasks_) {
    inventory.attempts.push_back(task.Report(now, options_.usage_lag));
  }
  return inventory;
}

void WorkerState::Leave() {
  absl::MutexLock lock(&mutex_);
  if (!leaving_) {
    leaving_ = true;
    events_->Record(EventCode::kWorkerLeaving)
        .Worker(options_.id)
        .With(event_field::kBoot, options_.boot.value())
        .Emit();
  }
}

void WorkerState::RunTimers() {
  absl::MutexLock lock(&mutex_);
  while (!shutdown_) {
    EndDueTasks();
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [attempt, task] : tasks_) {
      next = task.running() ? std::min(next, task.due()) : next;
    }
    clock_->WaitUntil(&changed_, &mutex_, std::min(next, clock_->Now() + absl::Seconds(1)));
  }
}

void WorkerState::Shutdown() {
  absl::MutexLock lock(&mutex_);
  EndDueTasks();
  // Tasks do not outlive their worker.
  for (auto& [attempt, task] : tasks_) {
    if (task.running()) {
      End(&task, AttemptState::kStopped);
    }
  }
  shutdown_ = true;
  changed_.SignalAll();
}

void WorkerState::EndDueTasks() {
  const absl::Time now = clock_->Now();
  for (auto& [attempt, task] : tasks_) {
    if (task.running() && task.due() <= now) {
      End(&task, task.StateWhenDue());
    }
  }
}

void WorkerState::End(WorkerTask* task, AttemptState state) {
  const bool by_itself = state == AttemptState::kSucceeded || state == AttemptState::kFailed;
  task->End(state, clock_->Now(), by_itself ? task->planned_result() : "");
  reserved_ -= task->start().demand;
  RecordTask(EventCode::kTaskEnded, *task);
  RecordReservation();
}

void WorkerState::RecordTask(EventCode code, const WorkerTask& task) {
  const TaskStart& start = task.start();
  events_->Record(code)
      .Job(start.job)
      .Task(start.task)
      .Attempt(start.attempt)
      .Worker(options_.id)
      .At(start.epoch)
      .With(event_field::kBoot, options_.boot.value())
      .With(event_field::kReserved, ToText(start.demand))
      .With(event_field::kCapacity, ToText(options_.capacity))
      .With(event_field::kRepeatable, start.repeatable ? "true" : "false")
      .With(event_field::kState, wire::AttemptStateName(task.state()))
      .Emit();
}

void WorkerState::RecordReservation() {
  events_->Record(EventCode::kWorkerReservation)
      .Worker(options_.id)
      .With(event_field::kBoot, options_.boot.value())
      .With(event_field::kReserved, ToText(reserved_))
      .With(event_field::kCapacity, ToText(options_.capacity))
      .Emit();
}

}  // namespace pomelotray
