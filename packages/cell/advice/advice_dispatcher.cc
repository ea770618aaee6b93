#include "cell/advice/advice_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/json_number.h"
#include "base/start_thread.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// Questions with a higher expected cost are long: they exceed the slack of the shortest objective.
constexpr absl::Duration kMaxShortQuestionCost = absl::Milliseconds(100);
// Added to the timeout for network round trips. The rest of the timeout is twice the expected cost:
// the adviser may first serve a call of the same length that another owner sent.
constexpr absl::Duration kRoundTripAllowance = absl::Milliseconds(900);

json EncodeQuestion(const AdviceQuestion& question, absl::Duration timeout) {
  json workers = json::array();
  for (const WorkerId& id : question.workers) {
    workers.push_back(id.value());
  }
  return {{"step", question.step},
          {"workers", std::move(workers)},
          {"timeout_ms", absl::ToInt64Milliseconds(timeout)}};
}

json EncodeAdvice(const Advice& advice) {
  json tickets = json::object();
  for (const auto& [id, ticket] : advice.tickets) {
    tickets[id.value()] = ticket;
  }
  return {{"tickets", std::move(tickets)},
          {"validity_ms", absl::ToInt64Milliseconds(advice.validity)}};
}

Result<Advice> DecodeAdvice(const json& value) {
  try {
    Advice advice;
    const json& tickets = value.at("tickets");
    for (auto it = tickets.begin(); it != tickets.end(); ++it) {
      advice.tickets[WorkerId(it.key())] = it.value().get<std::string>();
    }
    advice.validity = MillisFromJson(value.at("validity_ms"));
    return advice;
  } catch (const json::exception& error) {
    return Fail(ErrorKind::kInternal,
                std::string("The answer of a peer to an \"advise\" call cannot be decoded: ") +
                    error.what() + "; check that all instances run the same version.");
  }
}

}  // namespace

AdviceDispatcher::AdviceDispatcher(InstanceId self, Adviser* adviser, PeerPort* peers,
                                   const Clock* clock, EventLog* events)
    : self_(std::move(self)),
      adviser_(adviser),
      peers_(peers),
      clock_(clock),
      events_(events),
      call_slots_(self_) {}

AdviceDispatcher::~AdviceDispatcher() { Stop(); }

void AdviceDispatcher::SetMembers(const std::vector<CellMember>& members) {
  absl::MutexLock lock(&mutex_);
  members_.clear();
  std::vector<InstanceId> ids;
  for (const CellMember& member : members) {
    members_.emplace(member.id, member);
    ids.push_back(member.id);
  }
  call_slots_.SetMembers(ids);
  Dispatch();
}

void AdviceDispatcher::Submit(AdviceRequest request, Done done) {
  absl::MutexLock lock(&mutex_);
  const QuestionLength length =
      request.cost <= kMaxShortQuestionCost ? QuestionLength::kShort : QuestionLength::kLong;
  const Queue::key_type key(request.yielding, request.priority, next_number_++);
  QueueFor(length).emplace(key, Question{std::move(request), std::move(done)});
  Dispatch();
}

AdviceDispatcher::Queue& AdviceDispatcher::QueueFor(QuestionLength length) {
  return length == QuestionLength::kShort ? short_questions_ : long_questions_;
}

void AdviceDispatcher::Dispatch() {
  if (!stopping_) {
    Assign(QuestionLength::kLong);
    Assign(QuestionLength::kShort);
    // Retries when starting a thread for an earlier question failed.
    if (ready_.size() > idle_threads_) {
      WakeThread();
    }
  }
}

void AdviceDispatcher::Assign(QuestionLength length) {
  Queue& queue = QueueFor(length);
  while (!queue.empty()) {
    const auto next = queue.begin();
    // Customers above their fractions may still be entitled to what others leave.
    const bool yields = next->second.request.yielding >= Yielding::kAboveShare;
    const std::optional<AdviceCallSlot> slot =
        yields ? call_slots_.AcquireYielding(length) : call_slots_.Acquire(length);
    if (!slot.has_value()) {
      return;
    }
    ready_.push_back(Assignment{*slot, members_.at(slot->member), std::move(next->second)});
    queue.erase(next);
    WakeThread();
  }
}

void AdviceDispatcher::WakeThread() {
  if (ready_.size() <= idle_threads_) {
    assignment_ready_.Signal();
    return;
  }
  Outcome<std::thread> thread = Capture([this] { return StartThread([this] { Run(); }); });
  if (thread.ok()) {
    ++idle_threads_;
    threads_.push_back(std::move(thread.value()));
    return;
  }
  // The question stays in ready_ until a thread finishes its current call.
  events_->Record(EventCode::kAdviceFailed)
      .With(event_field::kReason, thread.error().message)
      .Emit();
}

void AdviceDispatcher::Stop() {
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    threads.swap(threads_);
    assignment_ready_.SignalAll();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void AdviceDispatcher::Run() {
  for (;;) {
    const std::optional<Assignment> assignment = NextAssignment();
    if (!assignment.has_value()) {
      return;
    }
    const std::optional<Advice> advice = Ask(assignment->member, assignment->question.request);
    FinishCall(assignment->slot);
    assignment->question.done(assignment->question.request, advice);
  }
}

std::optional<AdviceDispatcher::Assignment> AdviceDispatcher::NextAssignment() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_ && ready_.empty()) {
    assignment_ready_.Wait(&mutex_);
  }
  if (stopping_) {
    return std::nullopt;
  }
  --idle_threads_;
  Assignment assignment = std::move(ready_.front());
  ready_.pop_front();
  return assignment;
}

void AdviceDispatcher::FinishCall(const AdviceCallSlot& slot) {
  absl::MutexLock lock(&mutex_);
  ++idle_threads_;
  call_slots_.Release(slot);
  Dispatch();
}

std::optional<Advice> AdviceDispatcher::Ask(const CellMember& member,
                                            const AdviceRequest& request) {
  const absl::Duration timeout = request.cost * 2 + kRoundTripAllowance;
  const absl::Time sent = clock_->Now();
  Outcome<Advice> advice = Capture([&]() -> Result<Advice> {
    return member.id == self_ ? adviser_->RequestAdvice(request.question, timeout)
                              : AskPeer(member, request, timeout);
  });
  if (advice.ok()) {
    // The adviser works on the question for its cost before it issues the tickets.
    advice.value().decided_after = sent + request.cost;
    return std::move(advice.value());
  }
  events_->Record(EventCode::kAdviceFailed)
      .Job(request.step.job)
      .With("step", request.question.step)
      .Peer(member.id)
      .With(event_field::kReason, advice.error().message)
      .Emit();
  return std::nullopt;
}

Result<Advice> AdviceDispatcher::AskPeer(const CellMember& member, const AdviceRequest& request,
                                         absl::Duration timeout) {
  BOOST_LEAF_AUTO(answer, peers_->Call(member.peer_address, "advise",
                                       EncodeQuestion(request.question, timeout), timeout));
  return DecodeAdvice(answer);
}

Result<json> AdviceDispatcher::Answer(const json& body) {
  AdviceQuestion question;
  absl::Duration timeout;
  try {
    question.step = body.at("step").get<std::string>();
    for (const json& id : body.at("workers")) {
      question.workers.push_back(WorkerId(id.get<std::string>()));
    }
    timeout = MillisFromJson(body.at("timeout_ms"));
  } catch (const json::exception& error) {
    return Fail(ErrorKind::kInvalidArgument,
                std::string("The body of an \"advise\" call cannot be decoded: ") + error.what() +
                    "; check that all instances run the same version.");
  }
  BOOST_LEAF_AUTO(advice, adviser_->RequestAdvice(question, timeout));
  return EncodeAdvice(advice);
}

}  // namespace pomelotray
