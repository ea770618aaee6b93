#include "cell/advice_desk.h"

#include <algorithm>
#include <utility>

#include "base/start_thread.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// Questions above this cost are long: more than the slack of the shortest objective.
constexpr absl::Duration kLongCall = absl::Milliseconds(100);
// Beyond the expected time of a call and of one as long of another owner that is in front: the way.
constexpr absl::Duration kCallSlack = absl::Milliseconds(900);

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
    advice.validity = absl::Milliseconds(value.at("validity_ms").get<int64_t>());
    return advice;
  } catch (const json::exception& error) {
    return Fail(ErrorKind::kInternal, std::string("A peer's advice cannot be read: ") +
                                          error.what() +
                                          "; check that all instances run the same version.");
  }
}

}  // namespace

AdviceDesk::AdviceDesk(InstanceId self, Adviser* adviser, PeerPort* peers, EventLog* events)
    : self_(std::move(self)), adviser_(adviser), peers_(peers), events_(events), lanes_(self_) {}

AdviceDesk::~AdviceDesk() { Stop(); }

void AdviceDesk::SetMembers(const std::vector<CellMember>& members) {
  absl::MutexLock lock(&mutex_);
  members_.clear();
  std::vector<InstanceId> ids;
  for (const CellMember& member : members) {
    members_.emplace(member.id, member);
    ids.push_back(member.id);
  }
  lanes_.SetMembers(ids);
  Dispatch();
}

void AdviceDesk::Submit(AdviceRequest request, Done done) {
  absl::MutexLock lock(&mutex_);
  const QuestionLength length =
      request.cost <= kLongCall ? QuestionLength::kShort : QuestionLength::kLong;
  const std::pair<int, int64_t> key(request.priority, next_number_++);
  QueueOf(length).emplace(key, Question{std::move(request), std::move(done)});
  Dispatch();
}

AdviceDesk::Queue& AdviceDesk::QueueOf(QuestionLength length) {
  return length == QuestionLength::kShort ? short_ : long_;
}

void AdviceDesk::Dispatch() {
  if (!stopping_) {
    Assign(QuestionLength::kLong);
    Assign(QuestionLength::kShort);
    // When no thread could be started for an earlier question.
    if (ready_.size() > idle_threads_) {
      WakeThread();
    }
  }
}

void AdviceDesk::Assign(QuestionLength length) {
  Queue& queue = QueueOf(length);
  while (!queue.empty()) {
    const std::optional<AdviceLane> lane = lanes_.Take(length);
    if (!lane.has_value()) {
      return;
    }
    const auto next = queue.begin();
    ready_.push_back(Assignment{*lane, members_.at(lane->member), std::move(next->second)});
    queue.erase(next);
    WakeThread();
  }
}

void AdviceDesk::WakeThread() {
  if (ready_.size() <= idle_threads_) {
    assigned_.Signal();
    return;
  }
  Outcome<std::thread> thread = Capture([this] { return StartThread([this] { Run(); }); });
  if (thread.ok()) {
    ++idle_threads_;
    threads_.push_back(std::move(thread.value()));
    return;
  }
  // The question waits for a thread that is calling now.
  events_->Record(EventCode::kAdviceFailed)
      .With(event_field::kReason, thread.error().message)
      .Emit();
}

void AdviceDesk::Stop() {
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    threads.swap(threads_);
    assigned_.SignalAll();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void AdviceDesk::Run() {
  for (;;) {
    const std::optional<Assignment> assignment = NextAssignment();
    if (!assignment.has_value()) {
      return;
    }
    const std::optional<Advice> advice = Ask(assignment->member, assignment->question.request);
    CallEnded(assignment->lane);
    assignment->question.done(assignment->question.request, advice);
  }
}

std::optional<AdviceDesk::Assignment> AdviceDesk::NextAssignment() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_ && ready_.empty()) {
    assigned_.Wait(&mutex_);
  }
  if (stopping_) {
    return std::nullopt;
  }
  --idle_threads_;
  Assignment assignment = std::move(ready_.front());
  ready_.pop_front();
  return assignment;
}

void AdviceDesk::CallEnded(const AdviceLane& lane) {
  absl::MutexLock lock(&mutex_);
  ++idle_threads_;
  lanes_.Release(lane);
  Dispatch();
}

std::optional<Advice> AdviceDesk::Ask(const CellMember& member, const AdviceRequest& request) {
  const absl::Duration timeout = request.cost * 2 + kCallSlack;
  const Outcome<Advice> advice = Capture([&]() -> Result<Advice> {
    return member.id == self_ ? adviser_->Ask(request.question, timeout)
                              : AskPeer(member, request, timeout);
  });
  if (advice.ok()) {
    return advice.value();
  }
  events_->Record(EventCode::kAdviceFailed)
      .Job(request.step.job)
      .With("step", request.question.step)
      .Peer(member.id)
      .With(event_field::kReason, advice.error().message)
      .Emit();
  return std::nullopt;
}

Result<Advice> AdviceDesk::AskPeer(const CellMember& member, const AdviceRequest& request,
                                   absl::Duration timeout) {
  BOOST_LEAF_AUTO(answer, peers_->Call(member.peer_address, "advise",
                                       EncodeQuestion(request.question, timeout), timeout));
  return DecodeAdvice(answer);
}

Result<json> AdviceDesk::Answer(const json& body) {
  AdviceQuestion question;
  absl::Duration timeout;
  try {
    question.step = body.at("step").get<std::string>();
    for (const json& id : body.at("workers")) {
      question.workers.push_back(WorkerId(id.get<std::string>()));
    }
    timeout = absl::Milliseconds(body.at("timeout_ms").get<int64_t>());
  } catch (const json::exception& error) {
    return Fail(ErrorKind::kInvalidArgument,
                std::string("The question cannot be read: ") + error.what() +
                    "; check that all instances run the same version.");
  }
  BOOST_LEAF_AUTO(advice, adviser_->Ask(question, timeout));
  return EncodeAdvice(advice);
}

}  // namespace pomelotray
