#include "shard/worker_link.h"

#include <algorithm>
#include <utility>

namespace pomelotray {
namespace {

bool ListsAttempt(const WorkerInventory& inventory, const AttemptId& attempt) {
  return std::any_of(inventory.attempts.begin(), inventory.attempts.end(),
                     [&attempt](const AttemptReport& report) { return report.attempt == attempt; });
}

// Returns true when an error of this kind guarantees that the start command did not take effect and
// will not take effect later.
bool IsRefusal(ErrorKind kind) {
  return kind == ErrorKind::kUnavailable || kind == ErrorKind::kOverLimit ||
         kind == ErrorKind::kDeadlineExceeded || kind == ErrorKind::kNotReady ||
         kind == ErrorKind::kInvalidArgument || kind == ErrorKind::kFenced;
}

}  // namespace

WorkerLink::WorkerLink(WorkerId worker, std::string address, WorkerPort* port, const Clock* clock,
                       WorkerLinkListener* listener, WorkerLinkOptions options)
    : worker_(std::move(worker)),
      address_(std::move(address)),
      port_(port),
      clock_(clock),
      listener_(listener),
      options_(std::move(options)) {}

WorkerLink::~WorkerLink() { Stop(); }

void WorkerLink::Start() {
  unfenced_since_ = clock_->Now();
  thread_ = std::thread(&WorkerLink::Run, this);
}

void WorkerLink::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void WorkerLink::QueueStart(TaskStart start) {
  absl::MutexLock lock(&mutex_);
  starts_.push_back(std::move(start));
  changed_.SignalAll();
}

void WorkerLink::QueueStop(AttemptId attempt, StopMode mode) {
  absl::MutexLock lock(&mutex_);
  stops_.push_back({std::move(attempt), mode});
  changed_.SignalAll();
}

void WorkerLink::Run() {
  do {
    if (!fenced_) {
      if (!Fence()) {
        RecordFailure();
        next_heartbeat_ = clock_->Now() + options_.heartbeat_interval;
        continue;
      }
      next_heartbeat_ = clock_->Now();
    }
    std::deque<TaskStart> starts;
    std::deque<StopCommand> stops;
    {
      absl::MutexLock lock(&mutex_);
      starts.swap(starts_);
      stops.swap(stops_);
    }
    for (TaskStart& start : starts) {
      SendStart(std::move(start));
    }
    for (const StopCommand& stop : stops) {
      // Errors are ignored: the owner repeats the stop when the next inventory still lists the
      // attempt.
      (void)Capture([&] { return port_->Stop(address_, stop.attempt, options_.epoch, stop.mode); });
    }
    if (clock_->Now() >= next_heartbeat_) {
      Heartbeat();
      next_heartbeat_ = clock_->Now() + options_.heartbeat_interval;
    }
  } while (WaitForWork(next_heartbeat_));
}

bool WorkerLink::WaitForWork(absl::Time deadline) {
  absl::MutexLock lock(&mutex_);
  // Queued commands are not sent while the worker is not fenced.
  while (!stopping_ && (!fenced_ || (starts_.empty() && stops_.empty()))) {
    if (clock_->WaitUntil(&changed_, &mutex_, deadline)) {
      break;
    }
  }
  return !stopping_;
}

bool WorkerLink::Fence() {
  if (!listener_->ConfirmOwnership(unfenced_since_)) {
    return false;
  }
  const absl::Time sent = clock_->Now();
  const Outcome<WorkerInventory> answer =
      Capture([&] { return port_->Fence(address_, options_.owner, options_.epoch); });
  if (!answer.ok()) {
    // The worker rejects a local takeover (round > 0) until the lease of its current owner has
    // expired. That rejection does not depose this owner; the fence is retried.
    if (answer.error().kind == ErrorKind::kFenced && options_.epoch.round == 0) {
      listener_->OnDeposed();
    }
    return false;
  }
  const WorkerInventory& inventory = answer.value();
  // After a fence no earlier command can take effect, so starts whose answers were lost are
  // resolved by the inventory of the fence.
  fenced_ = true;
  boot_ = inventory.boot;
  RecordAnswer(sent, inventory);
  leases_expire_at_ = inventory.worker_clock + options_.task_lease;
  unresolved_starts_.clear();
  listener_->OnFenced(worker_, inventory);
  return true;
}

void WorkerLink::SendStart(TaskStart start) {
  if (!fenced_ || start.boot != boot_) {
    listener_->OnStartOutcome(worker_, start, StartOutcome::kNotStarted);
    return;
  }
  start.epoch = options_.epoch;
  start.lease = options_.task_lease;
  start.valid_before = worker_clock_.UpperBoundAt(clock_->Now()) + options_.command_validity;
  leases_expire_at_ = std::max(leases_expire_at_, start.valid_before + options_.task_lease);
  const Outcome<void> answer = Capture([&] { return port_->Start(address_, start); });
  if (answer.ok() || answer.error().kind == ErrorKind::kConflict) {
    listener_->OnStartOutcome(worker_, start, StartOutcome::kStarted);
    return;
  }
  if (answer.error().kind == ErrorKind::kFenced) {
    listener_->OnDeposed();
  }
  if (IsRefusal(answer.error().kind)) {
    listener_->OnStartOutcome(worker_, start, StartOutcome::kNotStarted);
    return;
  }
  unresolved_starts_.push_back(std::move(start));
}

void WorkerLink::Heartbeat() {
  HeartbeatPlan plan = listener_->PlanHeartbeat(worker_);
  WorkerHeartbeat heartbeat;
  heartbeat.owner = options_.owner;
  heartbeat.epoch = options_.epoch;
  heartbeat.renew = std::move(plan.renew);
  heartbeat.acknowledge = std::move(plan.acknowledge);
  heartbeat.lease = options_.task_lease;
  const absl::Time sent = clock_->Now();
  heartbeat.valid_before = worker_clock_.UpperBoundAt(sent) + options_.command_validity;
  if (!heartbeat.renew.empty()) {
    leases_expire_at_ = std::max(leases_expire_at_, heartbeat.valid_before + options_.task_lease);
  }
  const Outcome<WorkerInventory> answer =
      Capture([&] { return port_->Heartbeat(address_, heartbeat); });
  if (!answer.ok()) {
    if (answer.error().kind == ErrorKind::kFenced) {
      listener_->OnDeposed();
    }
    RecordFailure();
    return;
  }
  if (answer.value().boot != boot_ || answer.value().epoch < options_.epoch) {
    // The worker has restarted or has an older epoch, and must be fenced before any other command.
    fenced_ = false;
    unfenced_since_ = clock_->Now();
    return;
  }
  RecordAnswer(sent, answer.value());
  ResolveStarts(answer.value());
  listener_->OnInventory(worker_, answer.value());
}

void WorkerLink::ResolveStarts(const WorkerInventory& inventory) {
  std::vector<TaskStart> still_unresolved;
  std::vector<TaskStart> starts = std::move(unresolved_starts_);
  unresolved_starts_.clear();
  for (TaskStart& start : starts) {
    if (ListsAttempt(inventory, start.attempt)) {
      listener_->OnStartOutcome(worker_, start, StartOutcome::kStarted);
    } else if (inventory.worker_clock > start.valid_before) {
      listener_->OnStartOutcome(worker_, start, StartOutcome::kNotStarted);
    } else {
      still_unresolved.push_back(std::move(start));
    }
  }
  unresolved_starts_ = std::move(still_unresolved);
}

void WorkerLink::RecordAnswer(absl::Time sent, const WorkerInventory& inventory) {
  worker_clock_.Observe(sent, clock_->Now(), inventory.worker_clock);
  failures_ = 0;
  lease_expiry_reported_ = false;
}

void WorkerLink::RecordFailure() {
  ++failures_;
  if (failures_ == options_.unreachable_after) {
    listener_->OnUnreachable(worker_);
  }
  if (failures_ >= options_.unreachable_after) {
    ReportExpiredLeases();
  }
}

void WorkerLink::ReportExpiredLeases() {
  // Leases granted by a previous owner are unknown until this owner has fenced the worker.
  if (!fenced_ || lease_expiry_reported_ ||
      clock_->Now() < worker_clock_.GuaranteedPastFrom(leases_expire_at_)) {
    return;
  }
  lease_expiry_reported_ = true;
  listener_->OnLeasesExpired(worker_);
}

}  // namespace pomelotray
