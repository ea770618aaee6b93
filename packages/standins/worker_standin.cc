#include "standins/worker_standin.h"

#include <utility>

#include "adapters/wire_json.h"
#include "adapters/worker_codec.h"

namespace pomelotray {
namespace {

StandinResponse BadRequest() {
  return Refuse(400, "invalid_argument", "A field is missing or has the wrong type.");
}

StandinResponse FromVerdict(WorkerVerdict verdict) {
  switch (verdict) {
    case WorkerVerdict::kOk:
      return StandinResponse{};
    case WorkerVerdict::kFenced:
      return Refuse(412, "fenced", "The worker is fenced by another epoch; give up the shard.");
    case WorkerVerdict::kNotFenced:
      return Refuse(421, "not_ready", "The worker has not seen this epoch; fence it first.");
    case WorkerVerdict::kWrongBoot:
      return Refuse(421, "not_ready", "The worker has restarted; fence it and read its inventory.");
    case WorkerVerdict::kKnownAttempt:
      return Refuse(409, "conflict",
                    "The attempt is already known; read its state from the inventory.");
    case WorkerVerdict::kNoRoom:
      return Refuse(507, "over_limit", "The demand exceeds the free resources of the worker.");
    case WorkerVerdict::kTooLate:
      return Refuse(410, "deadline_exceeded",
                    "The call arrived after its valid_before_ms on the worker's clock.");
    case WorkerVerdict::kUnknownAttempt:
      return Refuse(404, "not_found", "The attempt does not exist on this worker.");
  }
  return Refuse(500, "internal", "The worker stand-in returned an unknown verdict.");
}

std::optional<std::vector<AttemptId>> ReadAttempts(const nlohmann::json& body, const char* field) {
  const nlohmann::json* array = wire::FindArray(body, field);
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<AttemptId> attempts;
  for (const nlohmann::json& item : *array) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    attempts.push_back(AttemptId(item.get<std::string>()));
  }
  return attempts;
}

absl::Duration ReadValidBefore(const nlohmann::json& body) {
  if (!body.contains("valid_before_ms")) {
    return absl::InfiniteDuration();
  }
  // A malformed bound is treated as already passed, so that the call has no effect.
  return wire::ReadMillis(body, "valid_before_ms").value_or(-absl::InfiniteDuration());
}

std::optional<TaskStart> ReadTaskStart(const nlohmann::json& body) {
  const std::optional<std::string> attempt = wire::ReadString(body, "attempt");
  const std::optional<std::string> task = wire::ReadString(body, "task");
  const std::optional<std::string> job = wire::ReadString(body, "job");
  const std::optional<std::string> boot = wire::ReadString(body, "boot");
  const std::optional<Epoch> epoch = wire::ReadEpoch(body, "epoch");
  const std::optional<Resources> demand = wire::ReadResources(body, "demand");
  const std::optional<absl::Duration> lease = wire::ReadMillis(body, "lease_ms");
  std::optional<std::string> payload = wire::ReadBytes(body, "payload");
  const std::optional<bool> repeatable = wire::ReadBool(body, "repeatable");
  if (!attempt || attempt->empty() || !task || !job || !boot || !epoch || !demand || !lease ||
      !payload || !repeatable) {
    return std::nullopt;
  }
  TaskStart start;
  start.attempt = AttemptId(*attempt);
  start.task = TaskId(*task);
  start.job = JobId(*job);
  start.epoch = *epoch;
  start.boot = BootId(*boot);
  start.demand = *demand;
  start.lease = *lease;
  start.valid_before = ReadValidBefore(body);
  start.payload = std::move(*payload);
  start.repeatable = *repeatable;
  return start;
}

// Adds the attempt id to the answer, so that the caller can match the answer to its call.
StandinResponse Echo(StandinResponse response, const std::string& attempt, bool misdirect) {
  response.body["attempt"] = misdirect ? attempt + "-other" : attempt;
  return response;
}

}  // namespace

WorkerStandin::WorkerStandin(const WorkerOptions& options, const Clock* clock, EventLog* events)
    : state_(options, clock, events), server_(clock, events->clock()) {
  server_.Handle("POST", "/worker/fence", [this](const StandinRequest& r) { return Fence(r); });
  server_.Handle("POST", "/worker/start", [this](const StandinRequest& r) { return StartTask(r); });
  server_.Handle("POST", "/worker/heartbeat",
                 [this](const StandinRequest& r) { return Heartbeat(r); });
  server_.Handle("POST", "/worker/stop", [this](const StandinRequest& r) { return StopTask(r); });
  server_.HandleControl("POST", "/leave", [this](const StandinRequest&) {
    state_.Leave();
    return StandinResponse{};
  });
  server_.HandleControl("GET", "/inventory", [this](const StandinRequest&) {
    return StandinResponse{200, EncodeInventory(state_.Inventory())};
  });
}

bool WorkerStandin::Start(int port) {
  if (!server_.Start(port)) {
    return false;
  }
  timers_ = std::thread([this] { state_.RunTimers(); });
  return true;
}

void WorkerStandin::Stop() {
  server_.Stop();
  state_.Shutdown();
  if (timers_.joinable()) {
    timers_.join();
  }
}

StandinResponse WorkerStandin::Fence(const StandinRequest& request) {
  const std::optional<std::string> owner = wire::ReadString(request.body, "owner");
  const std::optional<Epoch> epoch = wire::ReadEpoch(request.body, "epoch");
  if (!owner || !epoch) {
    return BadRequest();
  }
  const WorkerVerdict verdict = state_.Fence(InstanceId(*owner), *epoch);
  return verdict == WorkerVerdict::kOk ? StandinResponse{200, EncodeInventory(state_.Inventory())}
                                       : FromVerdict(verdict);
}

StandinResponse WorkerStandin::StartTask(const StandinRequest& request) {
  const std::optional<TaskStart> start = ReadTaskStart(request.body);
  if (!start) {
    return BadRequest();
  }
  return Echo(FromVerdict(state_.Start(*start)), start->attempt.value(), request.misdirect);
}

StandinResponse WorkerStandin::Heartbeat(const StandinRequest& request) {
  const std::optional<std::string> owner = wire::ReadString(request.body, "owner");
  const std::optional<Epoch> epoch = wire::ReadEpoch(request.body, "epoch");
  const std::optional<std::vector<AttemptId>> renew = ReadAttempts(request.body, "renew");
  const std::optional<absl::Duration> lease = wire::ReadMillis(request.body, "lease_ms");
  const std::optional<std::vector<AttemptId>> acknowledge =
      ReadAttempts(request.body, "acknowledge");
  if (!owner || !epoch || !renew || !lease || !acknowledge) {
    return BadRequest();
  }
  WorkerHeartbeat heartbeat;
  heartbeat.owner = InstanceId(*owner);
  heartbeat.epoch = *epoch;
  heartbeat.renew = *renew;
  heartbeat.lease = *lease;
  heartbeat.valid_before = ReadValidBefore(request.body);
  heartbeat.acknowledge = *acknowledge;
  const WorkerVerdict verdict = state_.Heartbeat(heartbeat);
  return verdict == WorkerVerdict::kOk ? StandinResponse{200, EncodeInventory(state_.Inventory())}
                                       : FromVerdict(verdict);
}

StandinResponse WorkerStandin::StopTask(const StandinRequest& request) {
  const std::optional<std::string> attempt = wire::ReadString(request.body, "attempt");
  const std::optional<Epoch> epoch = wire::ReadEpoch(request.body, "epoch");
  const std::optional<StopMode> mode =
      wire::ParseStopMode(wire::ReadString(request.body, "mode").value_or(""));
  if (!attempt || !epoch || !mode) {
    return BadRequest();
  }
  return Echo(FromVerdict(state_.Stop(AttemptId(*attempt), *epoch, *mode)), *attempt,
              request.misdirect);
}

}  // namespace pomelotray
