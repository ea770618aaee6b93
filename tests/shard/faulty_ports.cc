#include "tests/shard/faulty_ports.h"

#include <utility>

namespace pomelotray {
namespace {

// Longest delay of a delayed call: longer than every lease and command bound.
constexpr int64_t kMaxDelayMs = 15'000;

Error Unreachable() { return Error{ErrorKind::kUnavailable, "The worker is cut off.", {}}; }
Error AnswerLost() { return Error{ErrorKind::kOutcomeUnknown, "The answer was lost.", {}}; }
Error StoreCut() { return Error{ErrorKind::kStoreUnavailable, "The store is cut off.", {}}; }

Result<void> ToResult(WorkerVerdict verdict) {
  switch (verdict) {
    case WorkerVerdict::kOk:
      return {};
    case WorkerVerdict::kFenced:
      return Fail(ErrorKind::kFenced, "A higher epoch was seen.");
    case WorkerVerdict::kKnownAttempt:
      return Fail(ErrorKind::kConflict, "The attempt is known.");
    case WorkerVerdict::kNoRoom:
      return Fail(ErrorKind::kOverLimit, "There is no room.");
    case WorkerVerdict::kTooLate:
      return Fail(ErrorKind::kDeadlineExceeded, "The command came too late.");
    case WorkerVerdict::kNotFenced:
    case WorkerVerdict::kWrongBoot:
      return Fail(ErrorKind::kNotReady, "The worker is another boot.");
    case WorkerVerdict::kUnknownAttempt:
      return Fail(ErrorKind::kNotFound, "The attempt is unknown.");
  }
  return Fail(ErrorKind::kInternal, "Unknown verdict.");
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
  std::vector<Delayed> due;
  {
    absl::MutexLock lock(&mutex_);
    std::vector<Delayed> later;
    for (Delayed& delayed : delayed_) {
      (all || clock_->Now() >= delayed.due ? due : later).push_back(std::move(delayed));
    }
    delayed_ = std::move(later);
  }
  for (const Delayed& delayed : due) {
    delayed.deliver();
  }
}

Result<WorkerInventory> FaultyWorkerPort::Fence(const std::string& address, const InstanceId& owner,
                                                const Epoch& epoch) {
  BOOST_LEAF_AUTO(worker, Reach(address));
  BOOST_LEAF_CHECK(ToResult(worker->Fence(owner, epoch)));
  if (Roll(faults.lose_answer_percent)) {
    return Fail(AnswerLost());
  }
  return worker->Inventory();
}

Result<void> FaultyWorkerPort::Start(const std::string& address, const TaskStart& start) {
  BOOST_LEAF_AUTO(worker, Reach(address));
  // A delayed command reaches the process that has the address by then.
  if (Delay([this, address, start] { fleet_->Find(address)->Start(start); })) {
    return Fail(AnswerLost());
  }
  BOOST_LEAF_CHECK(ToResult(worker->Start(start)));
  if (Roll(faults.lose_answer_percent)) {
    return Fail(AnswerLost());
  }
  return {};
}

Result<WorkerInventory> FaultyWorkerPort::Heartbeat(const std::string& address,
                                                    const WorkerHeartbeat& heartbeat) {
  BOOST_LEAF_AUTO(worker, Reach(address));
  if (Delay([this, address, heartbeat] { fleet_->Find(address)->Heartbeat(heartbeat); })) {
    return Fail(AnswerLost());
  }
  BOOST_LEAF_CHECK(ToResult(worker->Heartbeat(heartbeat)));
  if (Roll(faults.lose_answer_percent)) {
    return Fail(AnswerLost());
  }
  return worker->Inventory();
}

Result<void> FaultyWorkerPort::Stop(const std::string& address, const AttemptId& attempt,
                                    const Epoch& epoch, StopMode mode) {
  BOOST_LEAF_AUTO(worker, Reach(address));
  return ToResult(worker->Stop(attempt, epoch, mode));
}

Result<std::shared_ptr<WorkerState>> FaultyWorkerPort::Reach(const std::string& address) {
  std::shared_ptr<WorkerState> worker = fleet_->Find(address);
  absl::MutexLock lock(&mutex_);
  if (faults.cut || worker == nullptr || cut_workers_.count(address) > 0) {
    return Fail(Unreachable());
  }
  return worker;
}

bool FaultyWorkerPort::Roll(int percent) {
  absl::MutexLock lock(&mutex_);
  return static_cast<int>(random_() % 100) < percent;
}

bool FaultyWorkerPort::Delay(std::function<void()> deliver) {
  if (!Roll(faults.delay_percent)) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  const absl::Duration delay = absl::Milliseconds(static_cast<int64_t>(random_() % kMaxDelayMs));
  delayed_.push_back({clock_->Now() + delay, std::move(deliver)});
  return true;
}

Result<std::optional<StoreEntry>> CutStorePort::Get(const std::string& key) {
  return cut ? Result<std::optional<StoreEntry>>(Fail(StoreCut())) : store_->Get(key);
}

Result<std::vector<StoreEntry>> CutStorePort::List(const std::string& prefix) {
  return cut ? Result<std::vector<StoreEntry>>(Fail(StoreCut())) : store_->List(prefix);
}

Result<Revision> CutStorePort::CompareAndSwap(const std::string& key, Revision expected,
                                              const std::string& value,
                                              const std::optional<StoreLeaseId>& lease) {
  return cut ? Result<Revision>(Fail(StoreCut()))
             : store_->CompareAndSwap(key, expected, value, lease);
}

Result<void> CutStorePort::Delete(const std::string& key, Revision expected) {
  return cut ? Result<void>(Fail(StoreCut())) : store_->Delete(key, expected);
}

Result<WatchBatch> CutStorePort::Watch(const std::string& prefix, Revision after,
                                       absl::Duration wait) {
  return cut ? Result<WatchBatch>(Fail(StoreCut())) : store_->Watch(prefix, after, wait);
}

Result<StoreLeaseId> CutStorePort::GrantLease(absl::Duration ttl) {
  return cut ? Result<StoreLeaseId>(Fail(StoreCut())) : store_->GrantLease(ttl);
}

Result<void> CutStorePort::KeepAlive(const StoreLeaseId& lease) {
  return cut ? Result<void>(Fail(StoreCut())) : store_->KeepAlive(lease);
}

Result<void> CutStorePort::RevokeLease(const StoreLeaseId& lease) {
  return cut ? Result<void>(Fail(StoreCut())) : store_->RevokeLease(lease);
}

}  // namespace pomelotray
