#include "cell/workers/worker_session.h"

#include <utility>

namespace pomelotray {
namespace {

// Delay after a failed hold: limits the calls to an unreachable worker to four per second.
constexpr absl::Duration kHoldRetryDelay = absl::Milliseconds(250);
// Maximum delay of a hold until reported ends are stored, so that it can acknowledge them.
constexpr absl::Duration kMaxEndStoreWait = absl::Milliseconds(400);
constexpr absl::Duration kPermissionPollInterval = absl::Milliseconds(50);
// A worker that answered within this time, which is a few round trips between regions, is not
// probed before a start.
constexpr absl::Duration kMaxAnswerAge = absl::Milliseconds(100);

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

class WorkerSession::ListenerCall {
 public:
  explicit ListenerCall(WorkerSession* session) : session_(session) {
    absl::MutexLock lock(&session_->mutex_);
    allowed_ = !session_->stopping_;
    session_->listener_calls_ += allowed_ ? 1 : 0;
  }
  ~ListenerCall() {
    absl::MutexLock lock(&session_->mutex_);
    session_->listener_calls_ -= allowed_ ? 1 : 0;
    session_->listener_calls_ended_.SignalAll();
  }
  ListenerCall(const ListenerCall&) = delete;
  ListenerCall& operator=(const ListenerCall&) = delete;

  // False if the session has been stopped; the listener must then not be called.
  bool allowed() const { return allowed_; }

 private:
  WorkerSession* const session_;
  bool allowed_ = false;
};

WorkerSession::WorkerSession(const WorkerDescription& worker, const Context& context)
    : worker_(worker),
      context_(context),
      hold_channel_(context_.connector->Connect(worker_)),
      order_channel_(context_.connector->Connect(worker_)) {}

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
  while (listener_calls_ > 0) {
    listener_calls_ended_.Wait(&mutex_);
  }
}

void WorkerSession::RunLater(absl::Duration delay, Step step) {
  context_.timers->RunAfter(delay, [self = shared_from_this(), step] { ((*self).*step)(); });
}

void WorkerSession::NextHold() { PrepareAndSendHold(/*wait_expired=*/false); }

void WorkerSession::PrepareAndSendHold(bool wait_expired) {
  const ListenerCall call(this);
  if (!call.allowed()) {
    return;
  }
  if (!context_.listener->MaySendOrders()) {
    RunLater(kPermissionPollInterval, &WorkerSession::NextHold);
    return;
  }
  const int64_t wait = BeginWait();
  const std::optional<HoldOrder> order = context_.listener->PrepareHold(worker_.id, wait_expired);
  if (!order.has_value()) {
    context_.timers->RunAfter(kMaxEndStoreWait, [self = shared_from_this(), wait] {
      self->ResumeHold(wait, /*wait_expired=*/true);
    });
    return;
  }
  // The ends may have been stored since BeginWait(). Then ResumeHold() sends a hold of its own.
  if (EndWait(wait)) {
    SendHold(*order);
  }
}

int64_t WorkerSession::BeginWait() {
  absl::MutexLock lock(&mutex_);
  waiting_for_ends_ = true;
  return ++wait_number_;
}

bool WorkerSession::EndWait(int64_t wait) {
  absl::MutexLock lock(&mutex_);
  const bool in_progress = waiting_for_ends_ && wait == wait_number_;
  waiting_for_ends_ = waiting_for_ends_ && !in_progress;
  return in_progress;
}

void WorkerSession::EndsStored() {
  absl::MutexLock lock(&mutex_);
  if (waiting_for_ends_ && !stopping_) {
    context_.connector->Post([self = shared_from_this(), wait = wait_number_] {
      self->ResumeHold(wait, /*wait_expired=*/false);
    });
  }
}

void WorkerSession::ResumeHold(int64_t wait, bool wait_expired) {
  if (EndWait(wait)) {
    PrepareAndSendHold(wait_expired);
  }
}

void WorkerSession::SendHold(const HoldOrder& order) {
  hold_channel_->Hold(order,
                      [self = shared_from_this(), sent = context_.clock->Now()](
                          const Outcome<HoldAnswer>& answer) { self->HoldAnswered(answer, sent); });
}

void WorkerSession::HoldAnswered(const Outcome<HoldAnswer>& answer, absl::Time sent) {
  const ListenerCall call(this);
  if (!call.allowed()) {
    return;
  }
  if (answer.ok()) {
    NoteAnswer();
  }
  context_.listener->HoldAnswered(worker_.id, answer, sent, context_.clock->Now());
  if (answer.ok() && answer.value().answer == OrderAnswer::kAccepted) {
    NextHold();
  } else {
    RunLater(kHoldRetryDelay, &WorkerSession::NextHold);
  }
}

void WorkerSession::Send(WorkerOrder order) {
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return;
  }
  orders_.push_back(std::move(order));
  if (!order_active_) {
    order_active_ = true;
    context_.connector->Post([self = shared_from_this()] { self->NextOrder(); });
  }
}

void WorkerSession::NextOrder() {
  const ListenerCall call(this);
  if (!call.allowed()) {
    return;
  }
  if (!context_.listener->MaySendOrders()) {
    RunLater(kPermissionPollInterval, &WorkerSession::NextOrder);
    return;
  }
  WorkerOrder order;
  {
    absl::MutexLock lock(&mutex_);
    if (orders_.empty()) {
      order_active_ = false;
      return;
    }
    order = std::move(orders_.front());
    orders_.pop_front();
  }
  if (order.kind == WorkerOrder::Kind::kStart && order.probe_first && !HasJustAnswered()) {
    ProbeBeforeStart(order);
  } else if (order.kind == WorkerOrder::Kind::kStart) {
    SendStart(order);
  } else {
    SendStop(order);
  }
}

void WorkerSession::NoteAnswer() {
  absl::MutexLock lock(&mutex_);
  answered_at_ = context_.clock->Now();
}

bool WorkerSession::HasJustAnswered() const {
  absl::MutexLock lock(&mutex_);
  return context_.clock->Now() - answered_at_ <= kMaxAnswerAge;
}

void WorkerSession::ProbeBeforeStart(const WorkerOrder& order) {
  HoldOrder probe;
  probe.token = context_.listener->token();
  order_channel_->Hold(probe,
                       [self = shared_from_this(), order](const Outcome<HoldAnswer>& answer) {
                         self->ProbeAnswered(order, answer);
                       });
}

void WorkerSession::ProbeAnswered(const WorkerOrder& order, const Outcome<HoldAnswer>& answer) {
  const ListenerCall call(this);
  if (!call.allowed()) {
    return;
  }
  if (answer.ok() && answer.value().answer != OrderAnswer::kAccepted) {
    context_.listener->OrderAnswered(worker_.id, order, OrderOutcome{answer.value().answer, false});
    ScheduleNextOrder();
    return;
  }
  // The process may have been suspended since the probe was sent.
  if (!answer.ok() || !context_.listener->MaySendOrders()) {
    SkipStart(order);
    return;
  }
  NoteAnswer();
  SendStart(order);
}

void WorkerSession::SkipStart(const WorkerOrder& order) {
  context_.listener->OrderAnswered(worker_.id, order,
                                   OrderOutcome{std::nullopt, /*never_sent=*/true});
  ScheduleNextOrder();
}

void WorkerSession::SendStart(const WorkerOrder& order) {
  const std::optional<WorkerTime> lease_end =
      context_.listener->PrepareStart(worker_.id, order.key);
  if (!lease_end.has_value()) {
    SkipStart(order);
    return;
  }
  StartOrder start;
  start.key = order.key;
  start.payload = order.payload;
  start.token = context_.listener->token();
  start.lease_end = *lease_end;
  start.checkpoint = order.checkpoint;
  start.ticket = order.ticket;
  order_channel_->Start(start,
                        [self = shared_from_this(), order](const Outcome<OrderAnswer>& answer) {
                          self->OrderAnswered(order, answer);
                        });
}

void WorkerSession::SendStop(const WorkerOrder& order) {
  order_channel_->Stop(order.key, context_.listener->token(),
                       [self = shared_from_this(), order](const Outcome<OrderAnswer>& answer) {
                         self->OrderAnswered(order, answer);
                       });
}

void WorkerSession::OrderAnswered(const WorkerOrder& order, const Outcome<OrderAnswer>& answer) {
  const ListenerCall call(this);
  if (!call.allowed()) {
    return;
  }
  if (answer.ok()) {
    NoteAnswer();
  }
  context_.listener->OrderAnswered(worker_.id, order, ToOutcome(answer));
  if (order.check && answer.ok() && answer.value() == OrderAnswer::kAccepted) {
    CheckStop(order.key);
  } else {
    ScheduleNextOrder();
  }
}

void WorkerSession::CheckStop(const AttemptKey& key) {
  HoldOrder hold;
  hold.token = context_.listener->token();
  order_channel_->Hold(hold, [self = shared_from_this(), key,
                              sent = context_.clock->Now()](const Outcome<HoldAnswer>& answer) {
    const ListenerCall call(self.get());
    if (!call.allowed()) {
      return;
    }
    // If this call fails, the report of the next hold resolves the attempt's state.
    if (answer.ok() && answer.value().answer == OrderAnswer::kAccepted) {
      self->context_.listener->StopChecked(self->worker_.id, key, answer.value().report, sent);
    }
    self->ScheduleNextOrder();
  });
}

void WorkerSession::ScheduleNextOrder() {
  context_.connector->Post([self = shared_from_this()] { self->NextOrder(); });
}

}  // namespace pomelotray
