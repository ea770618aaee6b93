#include "cell/advice_desk.h"

#include <algorithm>
#include <utility>

namespace pomelotray {
namespace {

using nlohmann::json;

// Questions above this cost are long: more than the slack of the shortest objective.
constexpr absl::Duration kLongCall = absl::Milliseconds(100);
// Beyond the expected time of a call: one call of another owner that is in front, and the way.
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
    : self_(std::move(self)), adviser_(adviser), peers_(peers), events_(events) {}

AdviceDesk::~AdviceDesk() { Stop(); }

void AdviceDesk::SetMembers(const std::vector<CellMember>& members) {
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return;
  }
  for (const std::unique_ptr<Caller>& caller : callers_) {
    if (!caller->retired &&
        std::find(members.begin(), members.end(), caller->member) == members.end()) {
      caller->retired = true;
    }
  }
  for (const CellMember& member : members) {
    const bool known = std::any_of(callers_.begin(), callers_.end(), [&](const auto& caller) {
      return !caller->retired && caller->member == member;
    });
    if (!known) {
      callers_.push_back(std::make_unique<Caller>());
      Caller* const caller = callers_.back().get();
      caller->member = member;
      caller->thread = std::thread([this, caller] { Run(caller); });
    }
  }
  ShareOut();
  changed_.SignalAll();
}

void AdviceDesk::ShareOut() {
  std::vector<Caller*> active;
  for (const std::unique_ptr<Caller>& caller : callers_) {
    if (!caller->retired) {
      active.push_back(caller.get());
    }
  }
  std::sort(active.begin(), active.end(),
            [](const Caller* a, const Caller* b) { return a->member.id < b->member.id; });
  const size_t long_callers = (active.size() + 1) / 2;
  for (size_t i = 0; i < active.size(); ++i) {
    active[i]->takes_long = i < long_callers;
  }
  short_callers_ = active.size() - long_callers;
}

void AdviceDesk::Submit(AdviceRequest request, Done done) {
  absl::MutexLock lock(&mutex_);
  const std::pair<int, int64_t> key(request.priority, next_number_++);
  queue_.emplace(key, Question{std::move(request), std::move(done)});
  // Not every caller takes every question.
  changed_.SignalAll();
}

void AdviceDesk::Stop() {
  std::vector<std::unique_ptr<Caller>> callers;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    callers.swap(callers_);
    changed_.SignalAll();
  }
  for (const std::unique_ptr<Caller>& caller : callers) {
    caller->thread.join();
  }
}

AdviceDesk::Queue::iterator AdviceDesk::Next(const Caller& caller) {
  const auto is_short = [](const auto& entry) { return entry.second.request.cost <= kLongCall; };
  if (!caller.takes_long) {
    return std::find_if(queue_.begin(), queue_.end(), is_short);
  }
  const auto first_long = std::find_if_not(queue_.begin(), queue_.end(), is_short);
  const size_t waiting_short = std::count_if(queue_.begin(), queue_.end(), is_short);
  if (first_long != queue_.end() || waiting_short <= short_callers_) {
    return first_long;
  }
  return queue_.begin();
}

void AdviceDesk::Run(Caller* caller) {
  for (;;) {
    Question question;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && !caller->retired && Next(*caller) == queue_.end()) {
        changed_.Wait(&mutex_);
      }
      if (stopping_ || caller->retired) {
        return;
      }
      const auto next = Next(*caller);
      question = std::move(next->second);
      queue_.erase(next);
    }
    const std::optional<Advice> advice = Ask(caller->member, question.request);
    question.done(question.request, advice);
  }
}

std::optional<Advice> AdviceDesk::Ask(const CellMember& member, const AdviceRequest& request) {
  const absl::Duration timeout = request.cost + kCallSlack;
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
