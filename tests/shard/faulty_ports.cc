#include "tests/shard/faulty_ports.h"

#include <utility>

namespace pomelotray {
namespace {

// Longest delay of a call. It exceeds every task lease and command validity of the tests, so that
// some delayed calls arrive after these have expired.
constexpr int64_t kMaxDelayMs = 15'000;

Error UnreachableError() { return Error{ErrorKind::kUnavailable, "The worker is cut off.", {}}; }
Error AnswerLostError() { return Error{ErrorKind::kOutcomeUnknown, "The answer was lost.", {}}; }
Error StoreCutError() { return Error{ErrorKind::kStoreUnavailable, "The store is cut off.", {}}; }

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

void FaultyWorkerPort::CutWorker(const std::string& address, bool cut) {
  absl::MutexLock lock(&mutex_);
  if (cut) {
    cut_workers_.insert(address);
  } else {
    cut_workers_.erase(address);
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
  if (faults.cut || worker == nullptr || cut_workers_.count(address) > 0) {
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

Result<std::optional<StoreEntry>> CutStorePort::Get(const std::string& key) {
  return cut ? Result<std::optional<StoreEntry>>(Fail(StoreCutError())) : store_->Get(key);
}

Result<std::vector<StoreEntry>> CutStorePort::List(const std::string& prefix) {
  return cut ? Result<std::vector<StoreEntry>>(Fail(StoreCutError())) : store_->List(prefix);
}

Result<Revision> CutStorePort::CompareAndSwap(const std::string& key, Revision expected,
                                              const std::string& value,
                                              const std::optional<StoreLeaseId>& lease) {
  return cut ? Result<Revision>(Fail(StoreCutError()))
             : store_->CompareAndSwap(key, expected, value, lease);
}

Result<void> CutStorePort::Delete(const std::string& key, Revision expected) {
  return cut ? Result<void>(Fail(StoreCutError())) : store_->Delete(key, expected);
}

Result<WatchBatch> CutStorePort::Watch(const std::string& prefix, Revision after,
                                       absl::Duration wait) {
  return cut ? Result<WatchBatch>(Fail(StoreCutError())) : store_->Watch(prefix, after, wait);
}

Result<StoreLeaseId> CutStorePort::GrantLease(absl::Duration ttl) {
  return cut ? Result<StoreLeaseId>(Fail(StoreCutError())) : store_->GrantLease(ttl);
}

Result<void> CutStorePort::KeepAlive(const StoreLeaseId& lease) {
  return cut ? Result<void>(Fail(StoreCutError())) : store_->KeepAlive(lease);
}

Result<void> CutStorePort::RevokeLease(const StoreLeaseId& lease) {
  return cut ? Result<void>(Fail(StoreCutError())) : store_->RevokeLease(lease);
}

}  // namespace pomelotray
