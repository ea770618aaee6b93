#include "cell/worker_session.h"

#include <utility>

namespace pomelotray {
namespace {

// Pause after a hold that failed: an unreachable worker costs four calls a second at most.
constexpr absl::Duration kHoldRetry = absl::Milliseconds(250);

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

WorkerSession::WorkerSession(const WorkerDescription& worker, WorkerConnector* connector,
                             const Clock* clock, WorkerSessionListener* listener)
    : worker_(worker), connector_(connector), clock_(clock), listener_(listener) {
  hold_thread_ = std::thread([this] { HoldLoop(); });
  order_thread_ = std::thread([this] { OrderLoop(); });
}

WorkerSession::~WorkerSession() {
  RequestStop();
  hold_thread_.join();
  order_thread_.join();
}

void WorkerSession::RequestStop() {
  absl::MutexLock lock(&mutex_);
  stopping_ = true;
  changed_.SignalAll();
}

void WorkerSession::Send(WorkerOrder order) {
  absl::MutexLock lock(&mutex_);
  orders_.push_back(std::move(order));
  changed_.SignalAll();
}

bool WorkerSession::PauseUnlessStopped(absl::Duration pause) {
  absl::MutexLock lock(&mutex_);
  const absl::Time end = clock_->Now() + pause;
  while (!stopping_ && clock_->Now() < end) {
    clock_->WaitUntil(&changed_, &mutex_, end);
  }
  return !stopping_;
}

void WorkerSession::HoldLoop() {
  const std::unique_ptr<WorkerOrders> channel = connector_->Connect(worker_);
  while (PauseUnlessStopped(absl::ZeroDuration()) && listener_->WaitForPermission()) {
    const HoldOrder order = listener_->NextHold(worker_.id);
    const absl::Time sent = clock_->Now();
    const Outcome<HoldAnswer> answer = Capture([&] { return channel->Hold(order); });
    listener_->HoldAnswered(worker_.id, answer, sent, clock_->Now());
    const bool accepted = answer.ok() && answer.value().answer == OrderAnswer::kAccepted;
    if (!accepted && !PauseUnlessStopped(kHoldRetry)) {
      return;
    }
  }
}

void WorkerSession::OrderLoop() {
  const std::unique_ptr<WorkerOrders> channel = connector_->Connect(worker_);
  for (;;) {
    WorkerOrder order;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && orders_.empty()) {
        changed_.Wait(&mutex_);
      }
      if (stopping_) {
        return;
      }
      order = std::move(orders_.front());
      orders_.pop_front();
    }
    if (!listener_->WaitForPermission()) {
      return;
    }
    Execute(channel.get(), order);
  }
}

void WorkerSession::CheckStop(WorkerOrders* channel, const AttemptKey& key) {
  HoldOrder order;
  order.token = listener_->token();
  const absl::Time sent = clock_->Now();
  const Outcome<HoldAnswer> answer = Capture([&] { return channel->Hold(order); });
  // Without an answer, the next hold settles the attempt.
  if (answer.ok() && answer.value().answer == OrderAnswer::kAccepted) {
    listener_->StopChecked(worker_.id, key, answer.value().report, sent);
  }
}

void WorkerSession::Execute(WorkerOrders* channel, const WorkerOrder& order) {
  if (order.kind == WorkerOrder::Kind::kStop) {
    const Outcome<OrderAnswer> answer =
        Capture([&] { return channel->Stop(order.key, listener_->token()); });
    listener_->OrderAnswered(worker_.id, order, ToOutcome(answer));
    if (order.check && answer.ok() && answer.value() == OrderAnswer::kAccepted) {
      CheckStop(channel, order.key);
    }
    return;
  }
  const std::optional<WorkerTime> lease_end = listener_->PrepareStart(worker_.id, order.key);
  if (!lease_end.has_value()) {
    listener_->OrderAnswered(worker_.id, order, OrderOutcome{std::nullopt, /*never_sent=*/true});
    return;
  }
  StartOrder start;
  start.key = order.key;
  start.payload = order.payload;
  start.token = listener_->token();
  start.lease_end = *lease_end;
  start.checkpoint = order.checkpoint;
  start.ticket = order.ticket;
  const Outcome<OrderAnswer> answer = Capture([&] { return channel->Start(start); });
  listener_->OrderAnswered(worker_.id, order, ToOutcome(answer));
}

}  // namespace pomelotray
