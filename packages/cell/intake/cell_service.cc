#include "cell/intake/cell_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/json_number.h"
#include "cell/cell_job.h"
#include "cell/intake/cap_check.h"
#include "cell/intake/outage_wait.h"
#include "cell/records/cell_keys.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// An owner answers from memory. If it takes longer than this, the store is read instead.
constexpr absl::Duration kOwnerTimeout = absl::Milliseconds(600);
// After an owner fails, the next one serves within the lease TTL plus one second for reading the
// stored jobs.
constexpr absl::Duration kOwnerRetryAfter = absl::Seconds(2);
// Longest time in which a submission is sent to the store. The withdrawal of an id has to outlive
// it and the time that the store may take to carry out a write without an answer.
constexpr absl::Duration kMaxSubmissionTime = absl::Minutes(1);
// A notification is useful only if it reaches the owner before the store's watch does.
constexpr absl::Duration kNotificationTimeout = absl::Milliseconds(200);
constexpr size_t kMaxQueuedNotifications = 64;

// Methods of writes that one instance carries out for another.
constexpr char kRegisterMethod[] = "register_job";
constexpr char kCancelMethod[] = "cancel_job";

// The answer to a "register_job" call says how it ended.
constexpr char kResultField[] = "result";
constexpr char kStored[] = "stored";
constexpr char kInUse[] = "in_use";
constexpr char kWithdrawn[] = "withdrawn";

const char* ResultName(Registration registration) {
  switch (registration) {
    case Registration::kCreated:
    case Registration::kKnown:
      return kStored;
    case Registration::kInUse:
      return kInUse;
    case Registration::kWithdrawn:
      return kWithdrawn;
  }
  return kStored;
}

// Converts what JobRegistry needs of a caller's rights to and from the form that is sent to peers.
json EncodeCaller(const CallerRights& caller) {
  return {{"submits_for", caller.submits_for.value()},
          {"customer", caller.customer.value()},
          {"sees_all_jobs", caller.sees_all_jobs}};
}

CallerRights DecodeCaller(const json& value) {
  CallerRights caller;
  caller.submits_for = CustomerId(value.value("submits_for", std::string()));
  caller.customer = CustomerId(value.value("customer", std::string()));
  caller.sees_all_jobs = value.value("sees_all_jobs", false);
  return caller;
}

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

// Returns no value if the owner does not know the job.
std::optional<JobStatus> DecodeStatus(const json& answer) {
  const auto field = answer.find("state");
  const std::optional<CellJobState> state =
      field == answer.end() ? std::nullopt : ParseState(*field);
  if (!state.has_value()) {
    return std::nullopt;
  }
  return JobStatus{*state, CustomerId(answer.value("customer", ""))};
}

json EncodeStatus(const std::optional<JobStatus>& status) {
  if (!status.has_value()) {
    return {{"state", nullptr}};
  }
  json answer = {{"state", CellJobStateName(status->state)}};
  if (!status->customer.empty()) {
    answer["customer"] = status->customer.value();
  }
  return answer;
}

// The same error for a job that does not exist and for one that the caller may not see.
boost::leaf::error_id FailAsMissing() {
  return Fail(ErrorKind::kNotFound,
              "The queue has no job with this id; check the queue name and the job id.");
}

// Returns the number of waiting jobs by queue in an owner's answer to a "pending" call.
Result<PendingCounts::ByQueue> DecodePending(const json& answer) {
  try {
    PendingCounts::ByQueue counts;
    for (const auto& [queue, count] : answer.at("queues").items()) {
      counts[queue] = IntegerFromJson(count, 0, kMaxJsonCount);
    }
    return counts;
  } catch (const json::exception& error) {
    return Fail(ErrorKind::kInternal,
                std::string("The answer of a peer to a \"pending\" call cannot be decoded: ") +
                    error.what() + "; check that all instances run the same version.");
  }
}

}  // namespace

bool ReportsStoreOutage(const json& answer) {
  const auto answers = answer.find("answers");
  return answers != answer.end() && *answers == false;
}

CellService::CellService(InstanceId self, TransactionalStore* store, PeerPort* peers,
                         CellMembership* membership, const Clock* clock, EventLog* events,
                         FindOwner find_owner)
    : self_(std::move(self)),
      peers_(peers),
      membership_(membership),
      clock_(clock),
      events_(events),
      find_owner_(std::move(find_owner)),
      relay_(self_, peers, clock, events),
      writer_(store, clock, membership),
      registry_(store, &writer_, clock, events,
                [this](const PartName& part, const NewEntry& entry) {
                  NotifyOwner(part, entry.key, entry.value);
                }),
      pending_(clock),
      notification_thread_([this] { NotifyLoop(); }) {}

CellService::~CellService() { Stop(); }

void CellService::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    notification_queued_.SignalAll();
  }
  if (notification_thread_.joinable()) {
    notification_thread_.join();
  }
  writer_.Stop();
}

void CellService::NotifyOwner(const PartName& part, const std::string& key,
                              const std::string& value) {
  absl::MutexLock lock(&mutex_);
  // If the queue is full, the owner learns of the entry through its watch.
  if (notifications_.size() < kMaxQueuedNotifications) {
    notifications_.push_back(OwnerNotification{part, key, value});
    notification_queued_.Signal();
  }
}

void CellService::NotifyLoop() {
  for (;;) {
    OwnerNotification notification;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && notifications_.empty()) {
        notification_queued_.Wait(&mutex_);
      }
      if (stopping_) {
        return;
      }
      notification = std::move(notifications_.front());
      notifications_.pop_front();
    }
    // A lost notification only delays the job: the owner learns of it through its watch.
    const Outcome<json> answer = Capture([&] {
      return CallOwner(notification.part, "notify",
                       {{"key", notification.key}, {"value", notification.value}},
                       clock_->Now() + kNotificationTimeout);
    });
    if (!answer.ok()) {
      events_->Record(EventCode::kOwnerNoticeLost)
          .With("key", notification.key)
          .With(event_field::kReason, answer.error().message)
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
                                 const CallerRights& caller, absl::Time deadline) {
  BOOST_LEAF_CHECK(ValidateWorkflow(spec, WorkflowLimits()));
  if (caller.cap.has_value()) {
    BOOST_LEAF_CHECK(CheckFitsCap(spec, *caller.cap));
  }
  const CreationLimits limits = {MaxOutageWait(LatencyObjective(route.policy, spec)),
                                 std::min(deadline, clock_->Now() + kMaxSubmissionTime)};
  const JobIntake intake{id, route.policy, std::move(spec), clock_->Now(), caller.submits_for};
  BOOST_LEAF_AUTO(part, PartOf(route, id));
  json body = EncodeCaller(caller);
  body["part"] = part.value();
  body["job"] = id.value();
  body["intake"] = EncodeIntake(intake);
  BOOST_LEAF_AUTO(answer, Write(RelayedWrite{kRegisterMethod, id, std::move(body)}, limits));
  const std::string result = answer.value(kResultField, "");
  if (result == kInUse) {
    return Fail(ErrorKind::kInvalidArgument, "The job id is in use; choose another one.");
  }
  if (result == kWithdrawn) {
    return Fail(
        ErrorKind::kInvalidArgument,
        "The job was cancelled before it was stored; choose another id to submit it again.");
  }
  return {};
}

Result<json> CellService::Write(const RelayedWrite& write, const CreationLimits& limits) {
  const absl::Time give_up = clock_->Now() + limits.max_wait;
  if (membership_->IsStoreAvailable()) {
    const Outcome<json> written =
        Capture([&] { return AnswerWrite(write.method, write.body, limits); });
    if (written.ok() || written.error().kind != ErrorKind::kStoreUnavailable) {
      return written.ToResult();
    }
  }
  const Outcome<json> relayed =
      Capture([&] { return relay_.Send(write, membership_->members(), limits.deadline); });
  const absl::Duration remaining = give_up - clock_->Now();
  if (relayed.ok() || relayed.error().kind != ErrorKind::kStoreUnavailable ||
      remaining <= absl::ZeroDuration()) {
    return relayed.ToResult();
  }
  // No instance reaches the store. The entries are sent as soon as it is back.
  return AnswerWrite(write.method, write.body, CreationLimits{remaining, limits.deadline});
}

Result<json> CellService::AnswerWrite(const std::string& method, const json& body,
                                      const CreationLimits& limits) {
  const auto text = [&body](const char* field) { return body.value(field, std::string()); };
  const JobId id(text("job"));
  const PartName part(text("part"));
  const CallerRights caller = DecodeCaller(body);
  if (method == kRegisterMethod) {
    BOOST_LEAF_AUTO(registration,
                    registry_.Register(NewJob{id, part, text("intake")}, caller, limits));
    return json{{kResultField, ResultName(registration)}};
  }
  BOOST_LEAF_AUTO(exists, registry_.Cancel(id, part, caller, limits));
  return json{{"exists", exists}};
}

Result<json> CellService::CallOwner(const PartName& part, const std::string& method, json body,
                                    absl::Time deadline) {
  const std::optional<PartClaim> claim = membership_->ClaimOf(part);
  if (!claim.has_value()) {
    return Fail(ErrorKind::kOwnerUnavailable,
                "No instance owns this part of the pool at present; send the request again later.",
                kOwnerRetryAfter);
  }
  body["part"] = part.value();
  if (claim->owner.id == self_) {
    return AnswerPeer(PeerCall{self_, method, std::move(body), deadline});
  }
  return peers_->Call(claim->owner.peer_address, method, body,
                      std::min(kOwnerTimeout, deadline - clock_->Now()));
}

Result<std::optional<JobStatus>> CellService::StatusFromOwner(const PartName& part, const JobId& id,
                                                              absl::Time deadline) {
  BOOST_LEAF_AUTO(answer, CallOwner(part, "state", {{"job", id.value()}}, deadline));
  return DecodeStatus(answer);
}

Result<JobStatus> CellService::FindStatus(const QueueRoute& route, const JobId& id,
                                          absl::Time deadline, const char** source) {
  *source = "store";
  const auto ask_owner = [&](const PartName& part) {
    const Outcome<std::optional<JobStatus>> answer =
        Capture([&] { return StatusFromOwner(part, id, deadline); });
    std::optional<JobStatus> status = answer.ok() ? answer.value() : std::nullopt;
    *source = status.has_value() ? "owner" : "store";
    return status;
  };
  // Most jobs are where the route in force would store them. An owner knows a job only if the id
  // names it, so its answer holds whatever route led to it.
  const Outcome<PartName> expected = Capture([&] { return PartOf(route, id); });
  if (expected.ok()) {
    const std::optional<JobStatus> status = ask_owner(expected.value());
    if (status.has_value()) {
      return *status;
    }
  }
  BOOST_LEAF_AUTO(record, registry_.Find(id));
  if (record.has_value() && record->IsWithdrawn()) {
    return FailAsMissing();
  }
  if (!record.has_value() && !expected.ok()) {
    return Fail(expected.error());
  }
  const PartName part = record.has_value() ? record->part : expected.value();
  if (!expected.ok() || part != expected.value()) {
    const std::optional<JobStatus> status = ask_owner(part);
    if (status.has_value()) {
      return *status;
    }
  }
  BOOST_LEAF_AUTO(status, registry_.StatusInPart(part, id));
  if (!status.has_value()) {
    return FailAsMissing();
  }
  return *status;
}

Result<CellJobState> CellService::State(const QueueRoute& route, const JobId& id,
                                        const CallerRights& caller, absl::Time deadline) {
  const char* source = "";
  const Outcome<CellJobState> state = Capture([&]() -> Result<CellJobState> {
    BOOST_LEAF_AUTO(status, FindStatus(route, id, deadline, &source));
    if (!caller.MaySee(status.customer)) {
      return FailAsMissing();
    }
    return status.state;
  });
  events_->Record(EventCode::kJobStateTold)
      .Job(id)
      .With(event_field::kState,
            state.ok() ? CellJobStateName(state.value()) : ErrorKindName(state.error().kind))
      .With("source", source)
      .Emit();
  return state.ToResult();
}

Result<void> CellService::Cancel(const QueueRoute& route, const JobId& id,
                                 const CallerRights& caller, absl::Time deadline) {
  BOOST_LEAF_AUTO(part, PartOf(route, id));
  json body = EncodeCaller(caller);
  body["part"] = part.value();
  body["job"] = id.value();
  BOOST_LEAF_AUTO(answer, Write(RelayedWrite{kCancelMethod, id, std::move(body)},
                                CreationLimits{absl::ZeroDuration(), deadline}));
  if (!answer.value("exists", false)) {
    return FailAsMissing();
  }
  events_->Record(EventCode::kJobCancelled).Job(id).Emit();
  return {};
}

Result<int64_t> CellService::Pending(const QueueRoute& route, absl::Time deadline) {
  BOOST_LEAF_AUTO(count, PartCount(route));
  std::vector<PartName> present;
  for (const PoolPart& part : PoolPart::All(route.policy.pool, count)) {
    present.push_back(part.Name());
  }
  return pending_.Count(route.policy.name, present, AllParts(),
                        [&](const PartName& part) -> Result<PendingCounts::ByQueue> {
                          BOOST_LEAF_AUTO(answer,
                                          CallOwner(part, "pending", json::object(), deadline));
                          return DecodePending(answer);
                        });
}

std::vector<PartName> CellService::AllParts() const {
  std::vector<PartName> parts;
  const std::shared_ptr<const CellConfiguration> configuration = this->configuration();
  if (configuration == nullptr) {
    return parts;
  }
  for (const PoolName& pool : configuration->pools) {
    for (const PoolPart& part : PoolPart::All(pool, membership_->PartCount(pool).value_or(0))) {
      parts.push_back(part.Name());
    }
  }
  return parts;
}

Result<int> CellService::PartCount(const QueueRoute& route) const {
  const std::optional<int> count = membership_->PartCount(route.policy.pool);
  if (!count.has_value()) {
    return Fail(ErrorKind::kOwnerUnavailable,
                "The number of parts of the pool is not stored yet; send the request again later.",
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
    return json{{"answers", membership_->IsStoreAvailable()}};
  }
  if (call.method == kRegisterMethod || call.method == kCancelMethod) {
    if (!membership_->IsStoreResponding()) {
      return Fail(ErrorKind::kStoreUnavailable,
                  "The store is not available to this instance either; ask another instance.");
    }
    return AnswerWrite(call.method, call.body, CreationLimits{absl::ZeroDuration(), call.deadline});
  }
  const std::shared_ptr<PoolOwner> owner = find_owner_(PartName(text("part")));
  if (owner == nullptr || !owner->IsServing()) {
    return Fail(ErrorKind::kOwnerUnavailable,
                "This instance does not own this part of the pool at present; send the request "
                "again later.",
                kOwnerRetryAfter);
  }
  if (call.method == "state") {
    return EncodeStatus(owner->StatusOf(JobId(text("job"))));
  }
  if (call.method == "notify") {
    owner->ApplyNewEntry(text("key"), text("value"));
    return json::object();
  }
  if (call.method == "pending") {
    return json{{"queues", owner->PendingByQueue()}};
  }
  return Fail(ErrorKind::kInvalidArgument, "Unknown peer method " + call.method +
                                               "; check that all instances run the same version.");
}

}  // namespace pomelotray
