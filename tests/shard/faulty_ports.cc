#include "tests/shard/faulty_ports.h"

#include <utility>

namespace pomelotray {
namespace {

// Longest delay of a call. It exceeds every task lease and command validity of the tests, so that
// some delayed calls arrive after these have expired.
constexpr int64_t kMaxDelayMs = 15'000;

Error UnreachableError() { return Error{ErrorKind::kUnavailable, "The worker is cut off.", {}}; }
Error AnswerLostError() { return Error{ErrorKind::kOutcomeUnknown, "The answer was lost.", {}}; }
Error StoreDisconnectedError() {
  return Error{ErrorKind::kStoreUnavailable, "The store is cut off.", {}};
}

Result<void> ToResult(WorkerVerdict verdict) {
  switch (verdict) {
    case WorkerVerdict::kOk:
      return {};
    case WorkerVerdict::kFenced:
      return Fail(ErrorKind::kFenced, "The worker has seen a higher epoch.");
    case WorkerVerdict::kKnownAttempt:
      return Fail(ErrorKind::kConflict, "The worker already knows the attempt.");
    case WorkerVerdict::kNoRoom:
      return Fail(ErrorKind::kOverLimit, "The worker does not have enough free capacity.");
    case WorkerVerdict::kTooLate:
      return Fail(ErrorKind::kDeadlineExceeded,
                  "The command arrived after its validity had ended.");
    case WorkerVerdict::kNotFenced:
    case WorkerVerdict::kWrongBoot:
      return Fail(ErrorKind::kNotReady, "The worker has restarted or has not been fenced.");
    case WorkerVerdict::kUnknownAttempt:
      return Fail(ErrorKind::kNotFound, "The worker does not know the attempt.");
  }
  return Fail(ErrorKind::kInternal, "The worker returned an unknown verdict.");
}

}  // namespace

std::shared_ptr<WorkerState> WorkerFleet::Find(const std::string& address) {
  absl::MutexLock lock(&mutex_);
  const auto it = workers_.find(address);
  return it == workers_.end() ? nullptr : it->second;
}

void WorkerFleet::Set(const std::string& address, std::shared_ptr<WorkerState> worker) {
  absl::MutexLock lock(&mutex_);
  workers_[address] = std::move(worker);
}

FaultyWorkerPort::FaultyWorkerPort(WorkerFleet* fleet, const Clock* clock, uint64_t seed)
    : fleet_(fleet), clock_(clock), random_(seed) {}

void FaultyWorkerPort::SetWorkerDisconnected(const std::string& address, bool disconnected) {
  absl::MutexLock lock(&mutex_);
  if (disconnected) {
    disconnected_workers_.insert(address);
  } else {
    disconnected_workers_.erase(address);
  }
}

void FaultyWorkerPort::DeliverDelayed(bool all) {
  std::vector<DelayedCall> due;
  {
    absl::MutexLock lock(&mutex_);
    std::vector<DelayedCall> later;
    for (DelayedCall& delayed : delayed_) {
      (all || clock_->Now() >= delayed.due ? due : later).push_back(std::move(delayed));
    }
    delayed_ = std::move(later);
  }
  for (const DelayedCall& delayed : due) {
    delayed.deliver();
  }
}

Result<WorkerInventory> FaultyWorkerPort::Fence(const std::string& address, const InstanceId& owner,
                                                const Epoch& epoch) {
  BOOST_LEAF_AUTO(worker, FindReachable(address));
  BOOST_LEAF_CHECK(ToResult(worker->Fence(owner, epoch)));
  if (DrawFault(faults.lose_answer_percent)) {
    return Fail(AnswerLostError());
  }
  return worker->Inventory();
}

Result<void> FaultyWorkerPort::Start(const std::string& address, const TaskStart& start) {
  BOOST_LEAF_AUTO(worker, FindReachable(address));
  // A delayed command reaches the worker that has the address at the time of delivery, which may be
  // a later boot.
  if (MaybeDelay([this, address, start] { fleet_->Find(address)->Start(start); })) {
    return Fail(AnswerLostError());
  }
  BOOST_LEAF_CHECK(ToResult(worker->Start(start)));
  if (DrawFault(faults.lose_answer_percent)) {
    return Fail(AnswerLostError());
  }
  return {};
}

Result<WorkerInventory> FaultyWorkerPort::Heartbeat(const std::string& address,
                                                    const WorkerHeartbeat& heartbeat) {
  BOOST_LEAF_AUTO(worker, FindReachable(address));
  if (MaybeDelay([this, address, heartbeat] { fleet_->Find(address)->Heartbeat(heartbeat); })) {
    return Fail(AnswerLostError());
  }
  BOOST_LEAF_CHECK(ToResult(worker->Heartbeat(heartbeat)));
  if (DrawFault(faults.lose_answer_percent)) {
    return Fail(AnswerLostError());
  }
  return worker->Inventory();
}

Result<void> FaultyWorkerPort::Stop(const std::string& address, const AttemptId& attempt,
                                    const Epoch& epoch, StopMode mode) {
  BOOST_LEAF_AUTO(worker, FindReachable(address));
  return ToResult(worker->Stop(attempt, epoch, mode));
}

Result<std::shared_ptr<WorkerState>> FaultyWorkerPort::FindReachable(const std::string& address) {
  std::shared_ptr<WorkerState> worker = fleet_->Find(address);
  absl::MutexLock lock(&mutex_);
  if (faults.disconnected || worker == nullptr || disconnected_workers_.count(address) > 0) {
    return Fail(UnreachableError());
  }
  return worker;
}

bool FaultyWorkerPort::DrawFault(int percent) {
  absl::MutexLock lock(&mutex_);
  return static_cast<int>(random_() % 100) < percent;
}

bool FaultyWorkerPort::MaybeDelay(std::function<void()> deliver) {
  if (!DrawFault(faults.delay_percent)) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  const absl::Duration delay = absl::Milliseconds(static_cast<int64_t>(random_() % kMaxDelayMs));
  delayed_.push_back({clock_->Now() + delay, std::move(deliver)});
  return true;
}

Result<std::optional<StoreEntry>> DisconnectableStorePort::Get(const std::string& key) {
  return disconnected ? Result<std::optional<StoreEntry>>(Fail(StoreDisconnectedError()))
                      : store_->Get(key);
}

Result<std::vector<StoreEntry>> DisconnectableStorePort::List(const std::string& prefix) {
  return disconnected ? Result<std::vector<StoreEntry>>(Fail(StoreDisconnectedError()))
                      : store_->List(prefix);
}

Result<Revision> DisconnectableStorePort::CompareAndSwap(const std::string& key, Revision expected,
                                                         const std::string& value,
                                                         const std::optional<StoreLeaseId>& lease) {
  return disconnected ? Result<Revision>(Fail(StoreDisconnectedError()))
                      : store_->CompareAndSwap(key, expected, value, lease);
}

Result<void> DisconnectableStorePort::Delete(const std::string& key, Revision expected) {
  return disconnected ? Result<void>(Fail(StoreDisconnectedError()))
                      : store_->Delete(key, expected);
}

Result<WatchBatch> DisconnectableStorePort::Watch(const std::string& prefix, Revision after,
                                                  absl::Duration wait) {
  return disconnected ? Result<WatchBatch>(Fail(StoreDisconnectedError()))
                      : store_->Watch(prefix, after, wait);
}

Result<StoreLeaseId> DisconnectableStorePort::GrantLease(absl::Duration ttl) {
  return disconnected ? Result<StoreLeaseId>(Fail(StoreDisconnectedError()))
                      : store_->GrantLease(ttl);
}

Result<void> DisconnectableStorePort::KeepAlive(const StoreLeaseId& lease) {
  return disconnected ? Result<void>(Fail(StoreDisconnectedError())) : store_->KeepAlive(lease);
}

Result<void> DisconnectableStorePort::RevokeLease(const StoreLeaseId& lease) {
  return disconnected ? Result<void>(Fail(StoreDisconnectedError())) : store_->RevokeLease(lease);
}

}  // namespace pomelotray
