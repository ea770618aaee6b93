#include "daemon/cluster_service.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "daemon/peer_codec.h"
#include "daemon/rendezvous.h"
#include "history/merge_timelines.h"
#include "model/contract_rules.h"
#include "model/job_codec.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kJobCallTimeout = absl::Seconds(5);
constexpr absl::Duration kMemberCallTimeout = absl::Seconds(2);
// A forwarded wait is limited to this time, so that a change of the shard's owner is noticed.
constexpr absl::Duration kMaxForwardedWait = absl::Seconds(5);
constexpr absl::Duration kOwnerRetryInterval = absl::Milliseconds(300);
constexpr absl::Duration kOwnerRetryAfter = absl::Seconds(1);

ShardId HomeShard(const JobSpec& spec, const Contract& contract) {
  std::vector<std::string> domains;
  for (const FailureDomainId& domain : contract.home_domains) {
    domains.push_back(domain.value());
  }
  const std::string key = absl::StrCat(spec.customer.value(), "/", spec.key.value());
  return ShardId{FailureDomainId(RendezvousPick(key, domains)), spec.pool};
}

Result<ShardId> RequireShard(const JobId& job) {
  const std::optional<ShardId> shard = ShardOfJob(job);
  if (!shard.has_value()) {
    return Fail(ErrorKind::kNotFound,
                absl::StrCat("Job ", job.value(), " does not exist; check the id."));
  }
  return *shard;
}

// Returns true if the error means that the request did not run and that another shard may be able
// to serve it.
bool AnotherShardMayServe(ErrorKind kind) {
  return kind == ErrorKind::kOwnerUnavailable || kind == ErrorKind::kOverloaded ||
         kind == ErrorKind::kDeadlineUnmeetable || kind == ErrorKind::kUnavailable;
}

}  // namespace

ClusterService::ClusterService(const Context& context) : context_(context) {}

Result<JobRecord> ClusterService::Submit(const JobSpec& spec) {
  BOOST_LEAF_AUTO(contract, RequireContract(spec.customer));
  const absl::Time now = context_.clock->Now();
  BOOST_LEAF_CHECK(CheckAgainstContract(spec, contract, now));
  const JobSpec complete = WithContractDefaults(spec, contract, now);
  const ShardId shard = HomeShard(complete, contract);
  if (context_.directory->HasVms() && context_.directory->UpstreamsOf(shard).empty()) {
    return Fail(ErrorKind::kUnplaceable,
                absl::StrCat("Pool ", shard.pool.value(), " has no worker in failure domain ",
                             shard.domain.value(),
                             ", a home domain of the contract; the job was not run. Amend the "
                             "contract's home_domains or name another pool."));
  }
  const std::shared_ptr<ShardOwner> owner = context_.host->OwnerOf(shard);
  if (owner != nullptr) {
    return owner->Submit(complete);
  }
  const nlohmann::json body = {{"shard", shard.ToString()}, {"spec", JobSpecToJson(complete)}};
  BOOST_LEAF_AUTO(answer, context_.router->Call(shard, "submit", body, kJobCallTimeout));
  return JobRecordFromJson(answer);
}

Result<JobRecord> ClusterService::GetJob(const JobId& job) {
  BOOST_LEAF_AUTO(shard, RequireShard(job));
  const std::shared_ptr<ShardOwner> owner = context_.host->OwnerOf(shard);
  if (owner != nullptr) {
    return owner->GetJob(job);
  }
  return CallJobOwner(job, "status", {{"job", job.value()}}, kJobCallTimeout);
}

Result<JobRecord> ClusterService::CancelJob(const JobId& job) {
  BOOST_LEAF_AUTO(shard, RequireShard(job));
  const std::shared_ptr<ShardOwner> owner = context_.host->OwnerOf(shard);
  if (owner != nullptr) {
    return owner->CancelJob(job);
  }
  return CallJobOwner(job, "cancel", {{"job", job.value()}}, kJobCallTimeout);
}

Result<JobRecord> ClusterService::WaitForJob(const JobId& job, absl::Duration timeout) {
  BOOST_LEAF_AUTO(shard, RequireShard(job));
  const absl::Time deadline = context_.clock->Now() + timeout;
  while (true) {
    const absl::Duration remaining =
        std::max(absl::ZeroDuration(), deadline - context_.clock->Now());
    const absl::Duration chunk = std::min(remaining, kMaxForwardedWait);
    const std::shared_ptr<ShardOwner> owner = context_.host->OwnerOf(shard);
    const nlohmann::json body = {{"job", job.value()},
                                 {"timeout_ms", absl::ToInt64Milliseconds(chunk)}};
    const Outcome<JobRecord> record = Capture([&] {
      return owner != nullptr ? owner->WaitForJob(job, chunk)
                              : CallJobOwner(job, "wait", body, chunk + kMemberCallTimeout);
    });
    if (record.ok() && (IsFinal(record.value().state) || context_.clock->Now() >= deadline)) {
      return record.value();
    }
    const bool owner_changes =
        !record.ok() && (record.error().kind == ErrorKind::kOwnerUnavailable ||
                         record.error().kind == ErrorKind::kOutcomeUnknown ||
                         record.error().kind == ErrorKind::kDeadlineExceeded);
    if (!record.ok() && (!owner_changes || remaining <= kOwnerRetryInterval)) {
      return Fail(record.error());
    }
    if (owner_changes) {
      context_.clock->SleepFor(kOwnerRetryInterval);
    }
  }
}

Result<std::vector<JobRecord>> ClusterService::ListJobs(const std::optional<CustomerId>& customer) {
  std::vector<JobRecord> records = LocalJobs(customer);
  const nlohmann::json body = customer.has_value() ? nlohmann::json{{"customer", customer->value()}}
                                                   : nlohmann::json::object();
  for (const nlohmann::json& answer : CallMembers("list_jobs", body)) {
    for (const nlohmann::json& element : answer) {
      BOOST_LEAF_AUTO(record, JobRecordFromJson(element));
      records.push_back(std::move(record));
    }
  }
  return records;
}

Result<InteractiveAnswer> ClusterService::Request(const InteractiveRequest& request) {
  const absl::Time deadline = context_.clock->Now() + request.timeout;
  BOOST_LEAF_AUTO(contract, RequireContract(request.customer));
  if (!contract.allow_requests || contract.pools.count(request.pool) == 0) {
    return Fail(ErrorKind::kPermissionDenied,
                absl::StrCat("The contract of ", request.customer.value(),
                             " does not allow requests to pool ", request.pool.value(),
                             "; ask an operator to amend it."));
  }
  context_.events->Record(EventCode::kRequestReceived)
      .Request(request.id)
      .Customer(request.customer)
      .Emit();
  Error last{ErrorKind::kUnplaceable,
             absl::StrCat("Pool ", request.pool.value(),
                          " has no executor; the request was not run. Check the pool's name."),
             std::nullopt};
  for (const ShardId& shard : ShardsByDistance(request.pool)) {
    InteractiveRequest remaining = request;
    remaining.timeout = deadline - context_.clock->Now();
    if (remaining.timeout <= absl::ZeroDuration()) {
      break;
    }
    const Outcome<InteractiveAnswer> answer =
        Capture([&] { return RequestFromShard(shard, remaining); });
    if (answer.ok() || !AnotherShardMayServe(answer.error().kind)) {
      return answer.ToResult();
    }
    last = answer.error();
  }
  return Fail(last);
}

Result<InteractiveAnswer> ClusterService::RequestFromShard(const ShardId& shard,
                                                           const InteractiveRequest& request) {
  const std::shared_ptr<RequestRunner> runner = context_.host->RunnerOf(shard);
  if (runner != nullptr) {
    return runner->Serve(request);
  }
  nlohmann::json body = EncodeRequest(request);
  body["shard"] = shard.ToString();
  BOOST_LEAF_AUTO(reply, context_.router->Call(shard, "request", body, request.timeout));
  BOOST_LEAF_AUTO(answer, DecodeAnswer(reply));
  if (answer.request != request.id) {
    return Fail(ErrorKind::kOutcomeUnknown,
                "The reply belongs to another request; it is unknown whether this request ran.");
  }
  return answer;
}

std::vector<ShardId> ClusterService::ShardsByDistance(const PoolName& pool) const {
  std::vector<std::tuple<int, ShardId>> ranked;
  for (const FailureDomainId& domain : context_.directory->DomainsOf(pool)) {
    const std::optional<RegionId> region = context_.directory->RegionOf(domain);
    const int distance = domain == context_.domain ? 0 : region == context_.region ? 1 : 2;
    ranked.emplace_back(distance, ShardId{domain, pool});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<ShardId> shards;
  shards.reserve(ranked.size());
  for (const auto& [distance, shard] : ranked) {
    shards.push_back(shard);
  }
  return shards;
}

Result<std::vector<Contract>> ClusterService::ListContracts() { return context_.contracts->All(); }

Result<Contract> ClusterService::GetContract(const CustomerId& customer) {
  return RequireContract(customer);
}

Result<Contract> ClusterService::ApplyContract(const Contract& contract, Revision expected) {
  return context_.contracts->Apply(contract, expected);
}

Result<std::vector<InstanceStatus>> ClusterService::ListInstances() {
  std::vector<InstanceStatus> instances;
  InstanceStatus self;
  self.id = context_.self;
  self.domain = context_.domain;
  self.region = context_.region;
  self.address = context_.peer_address;
  self.state = shutting_down_ ? "leaving" : "live";
  self.configuration = context_.contracts->revision();
  self.owned_shards = context_.host->OwnedShards();
  instances.push_back(self);
  for (const Member& member : context_.membership->Members()) {
    if (member.id == context_.self) {
      continue;
    }
    InstanceStatus status;
    status.id = member.id;
    status.domain = member.domain;
    status.region = member.region;
    status.address = member.peer_address;
    status.state = MemberStateName(member.state);
    status.configuration = member.configuration_revision;
    status.owned_shards = member.owned_shards;
    instances.push_back(status);
  }
  return instances;
}

Result<std::vector<WorkerStatus>> ClusterService::ListWorkers() {
  std::vector<WorkerStatus> workers = LocalWorkers();
  for (const nlohmann::json& answer : CallMembers("list_workers", nlohmann::json::object())) {
    BOOST_LEAF_AUTO(remote, DecodeWorkers(answer));
    workers.insert(workers.end(), remote.begin(), remote.end());
  }
  return workers;
}

Result<void> ClusterService::DrainVm(const VmId& vm) {
  const std::vector<VmEntry> vms = context_.directory->vms();
  const bool known =
      std::any_of(vms.begin(), vms.end(), [&vm](const VmEntry& entry) { return entry.id == vm; });
  if (!known) {
    return Fail(ErrorKind::kNotFound,
                absl::StrCat("VM ", vm.value(), " is not in the platform's list; check the id."));
  }
  return context_.host->Drain(vm);
}

Result<std::vector<Event>> ClusterService::Timeline(
    const std::map<std::string, std::string>& filter, bool all_instances) {
  std::vector<Event> events = context_.events->Select(filter);
  if (!all_instances) {
    return events;
  }
  for (const nlohmann::json& answer : CallMembers("timeline", {{"filter", filter}})) {
    for (const nlohmann::json& element : answer) {
      Event event;
      if (ParseEvent(element, &event)) {
        events.push_back(std::move(event));
      }
    }
  }
  return MergeTimelines({events});
}

std::string ClusterService::NotReadyReason() {
  if (shutting_down_) {
    return "The instance is stopping.";
  }
  if (!context_.contracts->Ready()) {
    return "The configuration has been read neither from the store nor from a peer yet.";
  }
  if (!context_.host->HasVms()) {
    return "The platform's VM list has not been read yet.";
  }
  return "";
}

std::vector<JobRecord> ClusterService::LocalJobs(const std::optional<CustomerId>& customer) {
  std::vector<JobRecord> records;
  for (const std::shared_ptr<ShardOwner>& owner : context_.host->Owners()) {
    const std::vector<JobRecord> owned = owner->ListJobs(customer);
    records.insert(records.end(), owned.begin(), owned.end());
  }
  return records;
}

std::vector<WorkerStatus> ClusterService::LocalWorkers() {
  std::vector<WorkerStatus> workers;
  for (const std::shared_ptr<ShardOwner>& owner : context_.host->Owners()) {
    const std::vector<WorkerStatus> owned = owner->ListWorkers();
    workers.insert(workers.end(), owned.begin(), owned.end());
  }
  for (const std::shared_ptr<RequestRunner>& runner : context_.host->Runners()) {
    const std::vector<WorkerStatus> owned = runner->ListExecutors();
    workers.insert(workers.end(), owned.begin(), owned.end());
  }
  return workers;
}

void ClusterService::BeginShutdown() { shutting_down_ = true; }

Result<JobRecord> ClusterService::CallJobOwner(const JobId& job, const std::string& method,
                                               const nlohmann::json& body, absl::Duration timeout) {
  BOOST_LEAF_AUTO(shard, RequireShard(job));
  BOOST_LEAF_AUTO(answer, context_.router->Call(shard, method, body, timeout));
  return JobRecordFromJson(answer);
}

Result<Contract> ClusterService::RequireContract(const CustomerId& customer) {
  const std::optional<Contract> contract = context_.contracts->Find(customer);
  if (!contract.has_value() && !context_.contracts->Ready()) {
    return Fail(ErrorKind::kNotReady,
                "This instance has not read the configuration yet; nothing was run. Try again "
                "shortly or on another instance.",
                kOwnerRetryAfter);
  }
  if (!contract.has_value()) {
    return Fail(ErrorKind::kNotFound,
                absl::StrCat("Customer ", customer.value(),
                             " has no contract; an operator creates one with 'contract apply'."));
  }
  return *contract;
}

std::vector<nlohmann::json> ClusterService::CallMembers(const std::string& method,
                                                        const nlohmann::json& body) {
  std::vector<nlohmann::json> answers;
  for (const Member& member : context_.membership->Members()) {
    if (member.id == context_.self ||
        (member.state != MemberState::kLive && member.state != MemberState::kLeaving)) {
      continue;
    }
    const Outcome<nlohmann::json> answer = Capture([&] {
      return context_.peers->Call(member.peer_address, method, body, kMemberCallTimeout);
    });
    if (answer.ok() && answer.value().is_array()) {
      answers.push_back(answer.value());
    }
  }
  return answers;
}

}  // namespace pomelotray
