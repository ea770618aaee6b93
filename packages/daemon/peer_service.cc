#include "daemon/peer_service.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "daemon/peer_codec.h"
#include "model/job_codec.h"

namespace pomelotray {
namespace {

Error NotOwnerError(const std::string& shard) {
  return Error{ErrorKind::kOwnerUnavailable,
               absl::StrCat("This instance does not own shard ", shard, "; nothing was run."),
               absl::Seconds(1)};
}

Result<ShardId> ShardField(const nlohmann::json& body) {
  BOOST_LEAF_AUTO(text, StringField(body, "shard"));
  const std::optional<ShardId> shard = ShardId::Parse(text);
  if (!shard.has_value()) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("Shard id ", text,
                             " in a message between instances is malformed; run the same version "
                             "on all instances."));
  }
  return *shard;
}

}  // namespace

PeerService::PeerService(const Context& context)
    : context_(context),
      methods_{{"heartbeat", &PeerService::HandleHeartbeat},
               {"config.pull", &PeerService::HandleConfigPull},
               {"submit", &PeerService::HandleSubmit},
               {"status", &PeerService::HandleStatus},
               {"cancel", &PeerService::HandleCancel},
               {"wait", &PeerService::HandleWait},
               {"request", &PeerService::HandleRequest},
               {"list_jobs", &PeerService::HandleListJobs},
               {"list_workers", &PeerService::HandleListWorkers},
               {"timeline", &PeerService::HandleTimeline}} {}

Result<nlohmann::json> PeerService::Handle(const PeerCall& call) {
  const auto method = methods_.find(call.method);
  if (method == methods_.end()) {
    return Fail(
        ErrorKind::kNotFound,
        absl::StrCat(
            "Method ", call.method,
            " of a message between instances is unknown; run the same version on all instances."));
  }
  return (this->*method->second)(call);
}

Result<nlohmann::json> PeerService::HandleHeartbeat(const PeerCall& call) {
  return context_.membership->HandleHeartbeat(call.body);
}

Result<nlohmann::json> PeerService::HandleConfigPull(const PeerCall& call) {
  BOOST_LEAF_AUTO(after, IntegerField(call.body, "after"));
  if (!context_.contracts->Ready()) {
    return Fail(ErrorKind::kNotReady,
                "This instance has not read the configuration yet; try another instance.");
  }
  return context_.contracts->EntriesAfter(Revision(after));
}

Result<nlohmann::json> PeerService::HandleSubmit(const PeerCall& call) {
  BOOST_LEAF_AUTO(shard, ShardField(call.body));
  if (!call.body.contains("spec")) {
    return Fail(
        ErrorKind::kInvalidArgument,
        "Field spec of a submit message is missing; run the same version on all instances.");
  }
  BOOST_LEAF_AUTO(spec, JobSpecFromJson(call.body["spec"]));
  const std::shared_ptr<ShardOwner> owner = context_.host->OwnerOf(shard);
  if (owner == nullptr) {
    return Fail(NotOwnerError(shard.ToString()));
  }
  BOOST_LEAF_AUTO(record, owner->Submit(spec));
  return JobRecordToJson(record);
}

Result<nlohmann::json> PeerService::HandleStatus(const PeerCall& call) {
  JobId job;
  BOOST_LEAF_AUTO(owner, OwnerOfJob(call, &job));
  BOOST_LEAF_AUTO(record, owner->GetJob(job));
  return JobRecordToJson(record);
}

Result<nlohmann::json> PeerService::HandleCancel(const PeerCall& call) {
  JobId job;
  BOOST_LEAF_AUTO(owner, OwnerOfJob(call, &job));
  BOOST_LEAF_AUTO(record, owner->CancelJob(job));
  return JobRecordToJson(record);
}

Result<nlohmann::json> PeerService::HandleWait(const PeerCall& call) {
  JobId job;
  BOOST_LEAF_AUTO(owner, OwnerOfJob(call, &job));
  BOOST_LEAF_AUTO(timeout_ms, IntegerField(call.body, "timeout_ms"));
  const absl::Duration timeout =
      std::min(absl::Milliseconds(timeout_ms), call.deadline - context_.clock->Now());
  BOOST_LEAF_AUTO(record, owner->WaitForJob(job, timeout));
  return JobRecordToJson(record);
}

Result<nlohmann::json> PeerService::HandleRequest(const PeerCall& call) {
  BOOST_LEAF_AUTO(shard, ShardField(call.body));
  BOOST_LEAF_AUTO(request, DecodeRequest(call.body));
  const std::shared_ptr<RequestRunner> runner = context_.host->RunnerOf(shard);
  if (runner == nullptr) {
    return Fail(NotOwnerError(shard.ToString()));
  }
  request.timeout = call.deadline - context_.clock->Now();
  BOOST_LEAF_AUTO(answer, runner->Serve(request));
  return EncodeAnswer(answer);
}

Result<nlohmann::json> PeerService::HandleListJobs(const PeerCall& call) {
  std::optional<CustomerId> customer;
  if (call.body.is_object() && call.body.contains("customer")) {
    BOOST_LEAF_AUTO(name, StringField(call.body, "customer"));
    customer = CustomerId(name);
  }
  nlohmann::json list = nlohmann::json::array();
  for (const JobRecord& record : context_.cluster->LocalJobs(customer)) {
    list.push_back(JobRecordToJson(record));
  }
  return list;
}

Result<nlohmann::json> PeerService::HandleListWorkers(const PeerCall& /*call*/) {
  return EncodeWorkers(context_.cluster->LocalWorkers());
}

Result<nlohmann::json> PeerService::HandleTimeline(const PeerCall& call) {
  std::map<std::string, std::string> filter;
  if (call.body.is_object() && call.body.contains("filter") && call.body["filter"].is_object()) {
    for (const auto& [name, value] : call.body["filter"].items()) {
      if (value.is_string()) {
        filter[name] = value.get<std::string>();
      }
    }
  }
  nlohmann::json list = nlohmann::json::array();
  for (const Event& event : context_.events->Select(filter)) {
    list.push_back(event);
  }
  return list;
}

Result<std::shared_ptr<ShardOwner>> PeerService::OwnerOfJob(const PeerCall& call, JobId* job) {
  BOOST_LEAF_AUTO(id, StringField(call.body, "job"));
  *job = JobId(id);
  const std::optional<ShardId> shard = ShardOfJob(*job);
  if (!shard.has_value()) {
    return Fail(ErrorKind::kNotFound, absl::StrCat("Job ", id, " does not exist; check the id."));
  }
  std::shared_ptr<ShardOwner> owner = context_.host->OwnerOf(*shard);
  if (owner == nullptr) {
    return Fail(NotOwnerError(shard->ToString()));
  }
  return owner;
}

}  // namespace pomelotray
