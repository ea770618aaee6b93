#include "cell/worker_session.h"

#include <utility>

namespace pomelotray {
namespace {

// Pause after a hold that failed: an unreachable worker costs four calls a second at most.
constexpr absl::Duration kHoldRetry = absl::Milliseconds(250);
// How long a hold waits for ends to be stored, so that it can acknowledge them.
constexpr absl::Duration kStoreWait = absl::Milliseconds(400);
constexpr absl::Duration kPermissionPoll = absl::Milliseconds(50);

OrderOutcome ToOutcome(const Outcome<OrderAnswer>& answer) {
  OrderOutcome outcome;
  if (answer.ok()) {
    outcome.answer = answer.value();
  } else {
    outcome.never_sent = answer.error().kind == ErrorKind::kUnavailable;
  }
  return outcome;
}

}  // namespace

class WorkerSession::ListenerUse {
 public:
  explicit ListenerUse(WorkerSession* session) : session_(session) {
    absl::MutexLock lock(&session_->mutex_);
    allowed_ = !session_->stopping_;
    session_->listener_uses_ += allowed_ ? 1 : 0;
  }
  ~ListenerUse() {
    absl::MutexLock lock(&session_->mutex_);
    session_->listener_uses_ -= allowed_ ? 1 : 0;
    session_->unused_.SignalAll();
  }
  ListenerUse(const ListenerUse&) = delete;
  ListenerUse& operator=(const ListenerUse&) = delete;

  // False: the session has stopped.
  bool allowed() const { return allowed_; }

 private:
  WorkerSession* const session_;
  bool allowed_ = false;
};

WorkerSession::WorkerSession(const WorkerDescription& worker, const Context& context)
    : worker_(worker),
      context_(context),
      holds_(context_.connector->Connect(worker_)),
      orders_channel_(context_.connector->Connect(worker_)) {}

void WorkerSession::Begin() {
  context_.connector->Post([self = shared_from_this()] { self->NextHold(); });
}

void WorkerSession::RequestStop() {
  absl::MutexLock lock(&mutex_);
  stopping_ = true;
  orders_.clear();
}

void WorkerSession::WaitUntilUnused() {
  absl::MutexLock lock(&mutex_);
  while (listener_uses_ > 0) {
    unused_.Wait(&mutex_);
  }
}

void WorkerSession::RunLater(absl::Duration delay, Step step) {
  context_.timers->RunAfter(delay, [self = shared_from_this(), step] { ((*self).*step)(); });
}

void WorkerSession::NextHold() { TakeHold(/*wait_over=*/false); }

void WorkerSession::TakeHold(bool wait_over) {
  const ListenerUse use(this);
  if (!use.allowed()) {
    return;
  }
  if (!context_.listener->MayOrder()) {
    RunLater(kPermissionPoll, &WorkerSession::NextHold);
    return;
  }
  const int64_t wait = BeginWait();
  const std::optional<HoldOrder> order = context_.listener->NextHold(worker_.id, wait_over);
  if (!order.has_value()) {
    context_.timers->RunAfter(kStoreWait, [self = shared_from_this(), wait] {
      self->ResumeHold(wait, /*wait_over=*/true);
    });
    return;
  }
  EndWait();
  SendHold(*order);
}

int64_t WorkerSession::BeginWait() {
  absl::MutexLock lock(&mutex_);
  awaits_ends_ = true;
  return ++wait_number_;
}

void WorkerSession::EndWait() {
  absl::MutexLock lock(&mutex_);
  awaits_ends_ = false;
}

void WorkerSession::EndsStored() {
  absl::MutexLock lock(&mutex_);
  if (awaits_ends_ && !stopping_) {
    context_.connector->Post([self = shared_from_this(), wait = wait_number_] {
      self->ResumeHold(wait, /*wait_over=*/false);
    });
  }
}

void WorkerSession::ResumeHold(int64_t wait, bool wait_over) {
  {
    absl::MutexLock lock(&mutex_);
    if (!awaits_ends_ || wait != wait_number_) {
      return;
    }
    awaits_ends_ = false;
  }
  TakeHold(wait_over);
}

void WorkerSession::SendHold(const HoldOrder& order) {
  holds_->Hold(order, [self = shared_from_this(), sent = context_.clock->Now()](
                          const Outcome<HoldAnswer>& answer) { self->HoldAnswered(answer, sent); });
}

void WorkerSession::HoldAnswered(const Outcome<HoldAnswer>& answer, absl::Time sent) {
  const ListenerUse use(this);
  if (!use.allowed()) {
    return;
  }
  context_.listener->HoldAnswered(worker_.id, answer, sent, context_.clock->Now());
  if (answer.ok() && answer.value().answer == OrderAnswer::kAccepted) {
    NextHold();
  } else {
    RunLater(kHoldRetry, &WorkerSession::NextHold);
  }
}

void WorkerSession::Send(WorkerOrder order) {
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return;
  }
  orders_.push_back(std::move(order));
  if (!ordering_) {
    ordering_ = true;
    context_.connector->Post([self = shared_from_this()] { self->NextOrder(); });
  }
}

void WorkerSession::NextOrder() {
  const ListenerUse use(this);
  if (!use.allowed()) {
    return;
  }
  if (!context_.listener->MayOrder()) {
    RunLater(kPermissionPoll, &WorkerSession::NextOrder);
    return;
  }
  WorkerOrder order;
  {
    absl::MutexLock lock(&mutex_);
    if (orders_.empty()) {
      ordering_ = false;
      return;
    }
    order = std::move(orders_.front());
    orders_.pop_front();
  }
  if (order.kind == WorkerOrder::Kind::kStart) {
    Start(order);
  } else {
    Stop(order);
  }
}

void WorkerSession::Start(const WorkerOrder& order) {
  const std::optional<WorkerTime> lease_end =
      context_.listener->PrepareStart(worker_.id, order.key);
  if (!lease_end.has_value()) {
    context_.listener->OrderAnswered(worker_.id, order,
                                     OrderOutcome{std::nullopt, /*never_sent=*/true});
    OrderDone();
    return;
  }
  StartOrder start;
  start.key = order.key;
  start.payload = order.payload;
  start.token = context_.listener->token();
  start.lease_end = *lease_end;
  start.checkpoint = order.checkpoint;
  start.ticket = order.ticket;
  orders_channel_->Start(start,
                         [self = shared_from_this(), order](const Outcome<OrderAnswer>& answer) {
                           self->OrderAnswered(order, answer);
                         });
}

void WorkerSession::Stop(const WorkerOrder& order) {
  orders_channel_->Stop(order.key, context_.listener->token(),
                        [self = shared_from_this(), order](const Outcome<OrderAnswer>& answer) {
                          self->OrderAnswered(order, answer);
                        });
}

void WorkerSession::OrderAnswered(const WorkerOrder& order, const Outcome<OrderAnswer>& answer) {
  const ListenerUse use(this);
  if (!use.allowed()) {
    return;
  }
  context_.listener->OrderAnswered(worker_.id, order, ToOutcome(answer));
  if (order.check && answer.ok() && answer.value() == OrderAnswer::kAccepted) {
    CheckStop(order.key);
  } else {
    OrderDone();
  }
}

void WorkerSession::CheckStop(const AttemptKey& key) {
  HoldOrder hold;
  hold.token = context_.listener->token();
  orders_channel_->Hold(hold, [self = shared_from_this(), key,
                               sent = context_.clock->Now()](const Outcome<HoldAnswer>& answer) {
    const ListenerUse use(self.get());
    if (!use.allowed()) {
      return;
    }
    // Without an answer, the next hold settles the attempt.
    if (answer.ok() && answer.value().answer == OrderAnswer::kAccepted) {
      self->context_.listener->StopChecked(self->worker_.id, key, answer.value().report, sent);
    }
    self->OrderDone();
  });
}

void WorkerSession::OrderDone() {
  context_.connector->Post([self = shared_from_this()] { self->NextOrder(); });
}

}  // namespace pomelotray
