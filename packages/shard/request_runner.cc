#include "shard/request_runner.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Longest interval between two checks of whether a queued request can still meet its deadline.
constexpr absl::Duration kQueueCheckInterval = absl::Milliseconds(20);
constexpr absl::Duration kReportInterval = absl::Milliseconds(500);
// Upper bound on how long an executor keeps working on a request that its owner no longer waits
// for. Slots occupied by such requests are considered free after this time.
constexpr absl::Duration kUntrackedSlotTimeout = absl::Seconds(30);
constexpr int kMaxAttempts = 3;

// Returns true when an error of this kind guarantees that the executor did not run the request.
bool DidNotRun(ErrorKind kind) {
  return kind == ErrorKind::kUnavailable || kind == ErrorKind::kOverloaded ||
         kind == ErrorKind::kFenced || kind == ErrorKind::kDeadlineUnmeetable;
}

// Returns the error for a request that had an attempt of unknown outcome and no successful attempt
// after it.
Error LostAnswerError() {
  return Error{
      ErrorKind::kOutcomeUnknown,
      "The answer to an attempt was lost and no later attempt succeeded; the request may have "
      "run. Check its effect before you send it again.",
      std::nullopt};
}

}  // namespace

RequestRunner::RequestRunner(const RequestRunnerContext& context, const ShardId& shard,
                             const Epoch& epoch)
    : context_(context),
      shard_(shard),
      epoch_(epoch),
      dispatcher_(context.clock, context.limits, static_cast<uint64_t>(epoch.term)),
      limiter_(context.clock, static_cast<uint64_t>(epoch.term)) {}

RequestRunner::~RequestRunner() { Stop(); }

Result<InteractiveAnswer> RequestRunner::Serve(const InteractiveRequest& request) {
  // Request ids are unique only within a customer.
  const RequestId key(absl::StrCat(request.customer.value(), "/", request.id.value()));
  const absl::Time deadline = context_.clock->Now() + request.timeout;
  {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Admit(request));
    ++in_flight_;
    ++in_flight_by_customer_[request.customer];
  }
  Outcome<InteractiveAnswer> answer =
      Capture([&] { return ServeAdmitted(request, key, deadline); });
  if (!answer.ok() && DidNotRun(answer.error().kind) && !answer.error().retry_after.has_value()) {
    Error error = answer.error();
    absl::MutexLock lock(&mutex_);
    error.retry_after = dispatcher_.RetryAfter(request.customer);
    answer = error;
  }
  EventBuilder event = context_.events->Record(answer.ok() ? EventCode::kRequestAnswered
                                                           : EventCode::kRequestRefused);
  event.Request(request.id).Customer(request.customer).Shard(shard_);
  if (!answer.ok()) {
    event.With(event_field::kReason, ErrorKindName(answer.error().kind));
  }
  event.Emit();
  {
    absl::MutexLock lock(&mutex_);
    --in_flight_;
    --in_flight_by_customer_[request.customer];
    idle_.SignalAll();
  }
  return answer.ToResult();
}

Result<void> RequestRunner::Admit(const InteractiveRequest& request) {
  if (stopping_ || fenced_) {
    return Fail(ErrorKind::kOwnerUnavailable,
                absl::StrCat("Shard ", shard_.ToString(),
                             " is changing its owner; the request was not run. Send it again."),
                absl::Milliseconds(500));
  }
  ++requests_since_report_[request.customer];
  ReportDemand();
  const SliceLimits limits = context_.limits->Limits(request.customer);
  limiter_.SetLimit(request.customer, limits.rate_per_second, limits.burst);
  return limiter_.Admit(request.customer);
}

Result<InteractiveAnswer> RequestRunner::ServeAdmitted(const InteractiveRequest& request,
                                                       const RequestId& key, absl::Time deadline) {
  bool may_have_run = false;
  for (int attempt_number = 1;; ++attempt_number) {
    const Outcome<ExecutorId> assigned =
        Capture([&] { return AwaitExecutor(request, key, deadline); });
    if (!assigned.ok()) {
      return Fail(may_have_run ? LostAnswerError() : assigned.error());
    }
    const ExecutorId& executor = assigned.value();
    const AttemptId attempt(absl::StrCat(key.value(), "#", epoch_.term, ".", attempt_number));
    const Outcome<ExecutorAnswer> outcome = CallExecutor(request, attempt, executor, deadline);
    RecordOutcome(key, executor, outcome);
    if (outcome.ok()) {
      return InteractiveAnswer{request.id, outcome.value().body, executor};
    }
    may_have_run = may_have_run || !DidNotRun(outcome.error().kind);
    if (attempt_number == kMaxAttempts || !MayRetry(request, outcome.error(), deadline)) {
      return Fail(may_have_run && DidNotRun(outcome.error().kind) ? LostAnswerError()
                                                                  : outcome.error());
    }
    context_.events->Record(EventCode::kRequestRetried)
        .Request(request.id)
        .Executor(executor)
        .With(event_field::kReason, ErrorKindName(outcome.error().kind))
        .Emit();
  }
}

Result<ExecutorId> RequestRunner::AwaitExecutor(const InteractiveRequest& request,
                                                const RequestId& key, absl::Time deadline) {
  Waiter waiter;
  absl::MutexLock lock(&mutex_);
  BOOST_LEAF_CHECK(dispatcher_.Enqueue(key, request.customer, deadline));
  waiters_[key] = &waiter;
  DispatchQueued();
  while (!waiter.executor.has_value() && !waiter.dropped) {
    const absl::Time now = context_.clock->Now();
    if (now >= deadline) {
      break;
    }
    context_.clock->WaitUntil(&waiter.changed, &mutex_,
                              std::min(deadline, now + kQueueCheckInterval));
    DispatchQueued();
  }
  waiters_.erase(key);
  if (waiter.executor.has_value()) {
    return *waiter.executor;
  }
  if (!waiter.dropped) {
    dispatcher_.Abandon(key);
  }
  return Fail(ErrorKind::kDeadlineUnmeetable,
              "The request cannot be answered by its deadline and was not run; send it again later "
              "or with a later deadline.",
              dispatcher_.RetryAfter(request.customer));
}

Outcome<ExecutorAnswer> RequestRunner::CallExecutor(const InteractiveRequest& request,
                                                    const AttemptId& attempt,
                                                    const ExecutorId& executor,
                                                    absl::Time deadline) {
  std::string address;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = executors_.find(executor);
    if (it == executors_.end()) {
      return Error{ErrorKind::kUnavailable,
                   "The executor was removed before the request was sent; the request was not run.",
                   std::nullopt};
    }
    address = it->second.vm.address;
  }
  ExecutorCall call;
  call.request = request.id;
  call.attempt = attempt;
  call.epoch = epoch_;
  call.body = request.body;
  call.timeout = deadline - context_.clock->Now();
  if (call.timeout <= absl::ZeroDuration()) {
    return Error{ErrorKind::kDeadlineUnmeetable,
                 "The deadline passed while the request was queued; the request was not run.",
                 std::nullopt};
  }
  context_.events->Record(EventCode::kRequestSent)
      .Request(request.id)
      .Attempt(attempt)
      .Executor(executor)
      .Emit();
  Outcome<ExecutorAnswer> answer = Capture([&] { return context_.executors->Call(address, call); });
  if (answer.ok() && (answer.value().request != request.id || answer.value().attempt != attempt)) {
    context_.events->Record(EventCode::kStaleAnswerDropped)
        .Request(request.id)
        .Attempt(attempt)
        .Executor(executor)
        .Emit();
    return Error{ErrorKind::kOutcomeUnknown,
                 "The executor returned the answer to another request; it is unknown whether this "
                 "request ran.",
                 std::nullopt};
  }
  return answer;
}

void RequestRunner::RecordOutcome(const RequestId& key, const ExecutorId& executor,
                                  const Outcome<ExecutorAnswer>& outcome) {
  absl::MutexLock lock(&mutex_);
  dispatcher_.Complete(key, outcome.ok() ? outcome.value().service_time : absl::ZeroDuration(),
                       outcome.ok());
  const auto it = executors_.find(executor);
  if (!outcome.ok() && it != executors_.end()) {
    if (outcome.error().kind == ErrorKind::kFenced) {
      fenced_ = true;
    } else if (outcome.error().kind == ErrorKind::kUnavailable) {
      it->second.reachable = false;
    } else if (!DidNotRun(outcome.error().kind)) {
      // The executor may still be working on the request, so its slot counts as occupied.
      ++it->second.untracked_slots;
      it->second.untracked_until = context_.clock->Now() + kUntrackedSlotTimeout;
    }
    UpdateDispatcher(executor, &it->second);
  }
  DispatchQueued();
}

bool RequestRunner::MayRetry(const InteractiveRequest& request, const Error& error,
                             absl::Time deadline) {
  const bool safe = error.kind == ErrorKind::kUnavailable || error.kind == ErrorKind::kOverloaded ||
                    (error.kind == ErrorKind::kOutcomeUnknown && request.repeatable);
  if (!safe || context_.clock->Now() >= deadline) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  return !stopping_ && dispatcher_.TryConsumeRetry(request.customer);
}

void RequestRunner::UpdateExecutors(const std::vector<VmEntry>& vms) {
  std::set<ExecutorId> listed;
  std::vector<std::unique_ptr<ExecutorLink>> retired;
  {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return;
    }
    for (const VmEntry& vm : vms) {
      listed.insert(vm.id);
      Executor& executor = executors_[vm.id];
      executor.vm = vm;
      executor.leaving = executor.leaving || vm.leaving;
      if (executor.link == nullptr) {
        dispatcher_.UpsertExecutor(vm.id, vm.capacity, vm.max_connections);
        executor.link = std::make_unique<ExecutorLink>(vm.id, vm.address, context_.executors,
                                                       context_.clock, this, epoch_);
        executor.link->Start();
      }
      UpdateDispatcher(vm.id, &executor);
    }
    ReportDemand();
    for (auto it = executors_.begin(); it != executors_.end();) {
      if (listed.count(it->first) > 0 || it->second.reachable) {
        ++it;
        continue;
      }
      dispatcher_.RemoveExecutor(it->first);
      retired.push_back(std::move(it->second.link));
      it = executors_.erase(it);
    }
  }
  for (const std::unique_ptr<ExecutorLink>& link : retired) {
    link->Stop();
  }
}

void RequestRunner::SetDrained(const std::set<VmId>& drained) {
  absl::MutexLock lock(&mutex_);
  for (auto& [id, executor] : executors_) {
    executor.drained = drained.count(id) > 0;
    UpdateDispatcher(id, &executor);
  }
}

std::vector<WorkerStatus> RequestRunner::ListExecutors() {
  std::vector<WorkerStatus> statuses;
  absl::MutexLock lock(&mutex_);
  for (const auto& [id, executor] : executors_) {
    WorkerStatus status;
    status.id = id;
    status.shard = shard_;
    status.rack = executor.vm.rack;
    status.state = executor.leaving || executor.drained ? "leaving"
                   : executor.reachable                 ? "usable"
                                                        : "unreachable";
    status.capacity = executor.vm.capacity;
    status.running_attempts = dispatcher_.SlotsInUse(id);
    status.reserved.slots = SlotCount(status.running_attempts);
    statuses.push_back(status);
  }
  return statuses;
}

void RequestRunner::Stop() {
  std::map<ExecutorId, std::unique_ptr<ExecutorLink>> links;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    while (in_flight_ > 0) {
      idle_.Wait(&mutex_);
    }
    for (auto& [id, executor] : executors_) {
      links[id] = std::move(executor.link);
    }
  }
  for (auto& [id, link] : links) {
    if (link != nullptr) {
      link->Stop();
    }
  }
}

bool RequestRunner::deposed() const {
  absl::MutexLock lock(&mutex_);
  return fenced_;
}

void RequestRunner::OnLoad(const ExecutorId& id, const ExecutorLoad& load) {
  absl::MutexLock lock(&mutex_);
  const auto it = executors_.find(id);
  if (it == executors_.end()) {
    return;
  }
  Executor& executor = it->second;
  if (!executor.load_known) {
    executor.load_known = true;
    executor.untracked_slots = load.busy_slots;
    executor.untracked_until = context_.clock->Now() + kUntrackedSlotTimeout;
  }
  executor.untracked_slots = context_.clock->Now() > executor.untracked_until
                                 ? 0
                                 : std::min(executor.untracked_slots, load.busy_slots);
  executor.reachable = true;
  executor.leaving = executor.leaving || load.leaving;
  UpdateDispatcher(id, &executor);
  DispatchQueued();
}

void RequestRunner::OnExecutorUnreachable(const ExecutorId& id) {
  absl::MutexLock lock(&mutex_);
  const auto it = executors_.find(id);
  if (it != executors_.end()) {
    it->second.reachable = false;
    UpdateDispatcher(id, &it->second);
  }
}

void RequestRunner::OnExecutorFenced() {
  absl::MutexLock lock(&mutex_);
  fenced_ = true;
}

void RequestRunner::UpdateDispatcher(const ExecutorId& id, Executor* executor) {
  dispatcher_.SetBusySlots(id, executor->untracked_slots);
  dispatcher_.SetAvailable(
      id, executor->load_known && executor->reachable && !executor->leaving && !executor->drained);
}

void RequestRunner::DispatchQueued() {
  for (const RequestId& key : dispatcher_.TakeUnmeetable()) {
    const auto it = waiters_.find(key);
    if (it != waiters_.end()) {
      it->second->dropped = true;
      it->second->changed.SignalAll();
    }
  }
  for (const Assignment& assignment : dispatcher_.Dispatch()) {
    const auto it = waiters_.find(assignment.request);
    if (it == waiters_.end()) {
      dispatcher_.Abandon(assignment.request);
      continue;
    }
    it->second->executor = assignment.executor;
    it->second->changed.SignalAll();
  }
}

void RequestRunner::ReportDemand() {
  const absl::Time now = context_.clock->Now();
  if (now < next_report_) {
    return;
  }
  next_report_ = now + kReportInterval;
  for (auto& [customer, count] : requests_since_report_) {
    SliceDemand in_use;
    in_use.resources.slots = SlotCount(in_flight_by_customer_[customer]);
    in_use.rate_per_second = static_cast<double>(count) / absl::ToDoubleSeconds(kReportInterval);
    context_.limits->ReportDemand(customer, in_use, in_use);
    count = 0;
  }
}

}  // namespace pomelotray
