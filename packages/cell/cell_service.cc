#include "cell/cell_service.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "cell/cell_keys.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// An owner answers from memory; after this time the store is asked instead.
constexpr absl::Duration kOwnerTimeout = absl::Milliseconds(600);
// When an owner was lost, the next serves within the lease's time and a second for reading.
constexpr absl::Duration kOwnerRetryAfter = absl::Seconds(2);
// A notice is worth sending while the store's watch is slower.
constexpr absl::Duration kNoticeTimeout = absl::Milliseconds(200);
constexpr size_t kMaxNotices = 64;

std::optional<CellJobState> ParseState(const json& value) {
  for (const CellJobState state :
       {CellJobState::kQueued, CellJobState::kRunning, CellJobState::kCompleted,
        CellJobState::kFailed, CellJobState::kCancelled}) {
    if (value == CellJobStateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace

CellService::CellService(InstanceId self, TransactionalStore* store, PeerPort* peers,
                         CellMembership* membership, const Clock* clock, EventLog* events,
                         FindOwner find_owner)
    : self_(std::move(self)),
      store_(store),
      peers_(peers),
      membership_(membership),
      clock_(clock),
      events_(events),
      find_owner_(std::move(find_owner)),
      relay_(self_, peers, clock, events),
      writer_(store, clock, [membership] { membership->NoteStoreFailure(); }),
      notifier_([this] { NotifyLoop(); }) {}

CellService::~CellService() { Stop(); }

void CellService::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    noticed_.SignalAll();
  }
  if (notifier_.joinable()) {
    notifier_.join();
  }
  writer_.Stop();
}

void CellService::NotifyOwner(const PartName& part, const std::string& key,
                              const std::string& value) {
  absl::MutexLock lock(&mutex_);
  // The watch brings what is left out here.
  if (notices_.size() < kMaxNotices) {
    notices_.push_back(Notice{part, key, value});
    noticed_.Signal();
  }
}

void CellService::NotifyLoop() {
  for (;;) {
    Notice notice;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && notices_.empty()) {
        noticed_.Wait(&mutex_);
      }
      if (stopping_) {
        return;
      }
      notice = std::move(notices_.front());
      notices_.pop_front();
    }
    // A notice that is lost costs time only.
    const Outcome<json> told = Capture([&] {
      return CallOwner(notice.part, "notify", {{"key", notice.key}, {"value", notice.value}},
                       clock_->Now() + kNoticeTimeout);
    });
    if (!told.ok()) {
      events_->Record(EventCode::kOwnerNoticeLost)
          .With("key", notice.key)
          .With(event_field::kReason, told.error().message)
          .Emit();
    }
  }
}

void CellService::SetConfiguration(std::shared_ptr<const CellConfiguration> configuration) {
  absl::MutexLock lock(&mutex_);
  configuration_ = std::move(configuration);
}

std::shared_ptr<const CellConfiguration> CellService::configuration() const {
  absl::MutexLock lock(&mutex_);
  return configuration_;
}

Result<void> CellService::Submit(const QueueRoute& route, const JobId& id, WorkflowSpec spec,
                                 absl::Time deadline) {
  BOOST_LEAF_CHECK(CheckWorkflow(spec, WorkflowLimits()));
  const JobIntake intake{id, route.policy, std::move(spec), clock_->Now()};
  BOOST_LEAF_AUTO(part, PartOf(route, id));
  return CreateEntry(
      NewEntry{part, cell_keys::Job(part, id), EncodeIntake(intake), cell_keys::Finished(part, id)},
      deadline);
}

Result<void> CellService::CreateEntry(const NewEntry& entry, absl::Time deadline) {
  if (!membership_->StoreAnswers()) {
    return relay_.Create(entry, membership_->members(), deadline);
  }
  const Outcome<void> created = Capture([&] { return CreateHere(entry, deadline); });
  if (!created.ok() && created.error().kind == ErrorKind::kStoreUnavailable) {
    return relay_.Create(entry, membership_->members(), deadline);
  }
  return created.ToResult();
}

Result<void> CellService::CreateHere(const NewEntry& entry, absl::Time deadline) {
  BOOST_LEAF_AUTO(created, writer_.Create(entry, deadline));
  // An entry that existed may belong to a job that is finished since; the watch brings it if not.
  if (created) {
    NotifyOwner(entry.part, entry.key, entry.value);
  }
  return {};
}

Result<json> CellService::CallOwner(const PartName& part, const std::string& method, json body,
                                    absl::Time deadline) {
  const std::optional<PartClaim> claim = membership_->ClaimOf(part);
  if (!claim.has_value()) {
    return Fail(ErrorKind::kOwnerUnavailable, "No instance owns the pool now; ask again later.",
                kOwnerRetryAfter);
  }
  body["part"] = part.value();
  if (claim->owner.id == self_) {
    return AnswerPeer(PeerCall{self_, method, std::move(body), deadline});
  }
  return peers_->Call(claim->owner.peer_address, method, body,
                      std::min(kOwnerTimeout, deadline - clock_->Now()));
}

Result<std::optional<CellJobState>> CellService::StateFromOwner(const PartName& part,
                                                                const JobId& id,
                                                                absl::Time deadline) {
  BOOST_LEAF_AUTO(answer, CallOwner(part, "state", {{"job", id.value()}}, deadline));
  return ParseState(answer.value("state", json()));
}

Result<CellJobState> CellService::StateFromStore(const PartName& part, const JobId& id) {
  // Read in the order in which a job's entries replace each other, so that none is missed.
  BOOST_LEAF_AUTO(progress, store_->Get(cell_keys::Progress(part, id)));
  if (progress.has_value()) {
    return DecodeProgressState(progress->value);
  }
  BOOST_LEAF_AUTO(intake, store_->Get(cell_keys::Job(part, id)));
  if (intake.has_value()) {
    return CellJobState::kQueued;
  }
  BOOST_LEAF_AUTO(finished, store_->Get(cell_keys::Finished(part, id)));
  if (finished.has_value()) {
    return DecodeProgressState(finished->value);
  }
  return Fail(ErrorKind::kNotFound, "No such job; check the queue and the id.");
}

Result<CellJobState> CellService::State(const QueueRoute& route, const JobId& id,
                                        absl::Time deadline) {
  BOOST_LEAF_AUTO(part, PartOf(route, id));
  const Outcome<std::optional<CellJobState>> told =
      Capture([&] { return StateFromOwner(part, id, deadline); });
  const bool known = told.ok() && told.value().has_value();
  const Outcome<CellJobState> state = known ? Outcome<CellJobState>(*told.value())
                                            : Capture([&] { return StateFromStore(part, id); });
  events_->Record(EventCode::kJobStateTold)
      .Job(id)
      .With(event_field::kState,
            state.ok() ? CellJobStateName(state.value()) : ErrorKindName(state.error().kind))
      .With("source", known ? "owner" : "store")
      .Emit();
  return state.ToResult();
}

Result<void> CellService::Cancel(const QueueRoute& route, const JobId& id, absl::Time deadline) {
  BOOST_LEAF_AUTO(part, PartOf(route, id));
  BOOST_LEAF_CHECK(State(route, id, deadline));
  BOOST_LEAF_CHECK(CreateEntry(NewEntry{part, cell_keys::Cancel(part, id), "1", ""}, deadline));
  events_->Record(EventCode::kJobCancelled).Job(id).Emit();
  return {};
}

Result<int64_t> CellService::Pending(const QueueRoute& route, absl::Time deadline) {
  BOOST_LEAF_AUTO(count, PartCount(route));
  int64_t pending = 0;
  for (const PoolPart& part : PoolPart::All(route.policy.pool, count)) {
    BOOST_LEAF_AUTO(answer, CallOwner(part.Name(), "pending", json::object(), deadline));
    pending += answer.value("queues", json::object()).value(route.policy.name, int64_t{0});
  }
  return pending;
}

Result<int> CellService::PartCount(const QueueRoute& route) const {
  const std::optional<int> count = membership_->PartCount(route.policy.pool);
  if (!count.has_value()) {
    return Fail(ErrorKind::kOwnerUnavailable, "The pool is not set up yet; ask again later.",
                kOwnerRetryAfter);
  }
  return *count;
}

Result<PartName> CellService::PartOf(const QueueRoute& route, const JobId& id) const {
  BOOST_LEAF_AUTO(count, PartCount(route));
  return PoolPart::OfJob(route.policy.pool, id, count).Name();
}

Result<json> CellService::AnswerPeer(const PeerCall& call) {
  const auto text = [&call](const char* field) { return call.body.value(field, std::string()); };
  if (call.method == "store_health") {
    return json{{"answers", membership_->StoreAnswers()}};
  }
  if (call.method == "create") {
    if (!membership_->StoreAnswers()) {
      return Fail(ErrorKind::kStoreUnavailable, "The store does not answer here either.");
    }
    BOOST_LEAF_CHECK(CreateHere(
        NewEntry{PartName(text("part")), text("key"), text("value"), text("successor_key")},
        call.deadline));
    return json::object();
  }
  const std::shared_ptr<PoolOwner> owner = find_owner_(PartName(text("part")));
  if (owner == nullptr || !owner->IsServing()) {
    return Fail(ErrorKind::kOwnerUnavailable,
                "This instance does not own the pool now; ask again later.", kOwnerRetryAfter);
  }
  if (call.method == "state") {
    const std::optional<CellJobState> state = owner->StateOf(JobId(text("job")));
    return json{{"state", state.has_value() ? json(CellJobStateName(*state)) : json()}};
  }
  if (call.method == "notify") {
    owner->Notify(text("key"), text("value"));
    return json::object();
  }
  if (call.method == "pending") {
    return json{{"queues", owner->PendingByQueue()}};
  }
  return Fail(ErrorKind::kInvalidArgument, "Unknown method " + call.method + "; check versions.");
}

}  // namespace pomelotray
