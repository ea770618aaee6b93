#include "adapters/worker_codec.h"

#include <algorithm>
#include <utility>

#include "adapters/wire_json.h"

namespace pomelotray {
namespace {

std::optional<AttemptReport> DecodeAttempt(const nlohmann::json& json) {
  const std::optional<std::string> attempt = wire::ReadString(json, "attempt");
  const std::optional<std::string> task = wire::ReadString(json, "task");
  const std::optional<std::string> job = wire::ReadString(json, "job");
  const std::optional<std::string> state_name = wire::ReadString(json, "state");
  const std::optional<Resources> reserved = wire::ReadResources(json, "reserved");
  const std::optional<Resources> used = wire::ReadResources(json, "used");
  const std::optional<absl::Duration> run_time = wire::ReadMillis(json, "run_ms");
  std::optional<std::string> result = wire::ReadBytes(json, "result");
  if (!attempt || attempt->empty() || !task || !job || !state_name || !reserved || !used ||
      !run_time || !result || reserved->AnyNegative()) {
    return std::nullopt;
  }
  const std::optional<AttemptState> state = wire::ParseAttemptState(*state_name);
  if (!state) {
    return std::nullopt;
  }
  return AttemptReport{AttemptId(*attempt), TaskId(*task), JobId(*job), *state,
                       *reserved,           *used,         *run_time,   std::move(*result)};
}

nlohmann::json EncodeAttempt(const AttemptReport& report) {
  return {{"attempt", report.attempt.value()},
          {"task", report.task.value()},
          {"job", report.job.value()},
          {"state", wire::AttemptStateName(report.state)},
          {"reserved", wire::ToJson(report.reserved)},
          {"used", wire::ToJson(report.used)},
          {"run_ms", wire::ToMillis(report.run_time)},
          {"result", wire::ToBase64(report.result)}};
}

// Without the field there is no bound.
void EncodeBound(absl::Duration valid_before, nlohmann::json* json) {
  if (valid_before != absl::InfiniteDuration()) {
    (*json)["valid_before_ms"] = std::max<int64_t>(0, wire::ToMillisFloor(valid_before));
  }
}

template <typename Id>
nlohmann::json EncodeIds(const std::vector<Id>& ids) {
  nlohmann::json array = nlohmann::json::array();
  for (const Id& id : ids) {
    array.push_back(id.value());
  }
  return array;
}

}  // namespace

std::optional<WorkerInventory> DecodeInventory(const nlohmann::json& json) {
  const std::optional<std::string> worker = wire::ReadString(json, "worker");
  const std::optional<std::string> boot = wire::ReadString(json, "boot");
  const std::optional<Epoch> epoch = wire::ReadEpoch(json, "epoch");
  const std::optional<bool> leaving = wire::ReadBool(json, "leaving");
  const std::optional<Resources> capacity = wire::ReadResources(json, "capacity");
  const std::optional<absl::Duration> worker_clock = wire::ReadMillis(json, "clock_ms");
  const nlohmann::json* attempts = wire::FindArray(json, "attempts");
  if (!worker || !boot || boot->empty() || !epoch || !leaving || !capacity || !worker_clock ||
      attempts == nullptr || capacity->AnyNegative()) {
    return std::nullopt;
  }
  WorkerInventory inventory;
  inventory.worker = WorkerId(*worker);
  inventory.boot = BootId(*boot);
  inventory.epoch = *epoch;
  inventory.leaving = *leaving;
  inventory.worker_clock = *worker_clock;
  inventory.capacity = *capacity;
  // An attempt that is left out would count as not running and be started once more, so a malformed
  // one makes the whole inventory unusable.
  for (const nlohmann::json& item : *attempts) {
    std::optional<AttemptReport> report = DecodeAttempt(item);
    if (!report) {
      return std::nullopt;
    }
    inventory.attempts.push_back(std::move(*report));
  }
  return inventory;
}

nlohmann::json EncodeInventory(const WorkerInventory& inventory) {
  nlohmann::json attempts = nlohmann::json::array();
  for (const AttemptReport& report : inventory.attempts) {
    attempts.push_back(EncodeAttempt(report));
  }
  return {{"worker", inventory.worker.value()},
          {"boot", inventory.boot.value()},
          {"epoch", wire::ToJson(inventory.epoch)},
          {"leaving", inventory.leaving},
          {"clock_ms", wire::ToMillisFloor(inventory.worker_clock)},
          {"capacity", wire::ToJson(inventory.capacity)},
          {"attempts", std::move(attempts)}};
}

nlohmann::json EncodeTaskStart(const TaskStart& start) {
  nlohmann::json json = {{"attempt", start.attempt.value()},
                         {"task", start.task.value()},
                         {"job", start.job.value()},
                         {"epoch", wire::ToJson(start.epoch)},
                         {"boot", start.boot.value()},
                         {"demand", wire::ToJson(start.demand)},
                         {"lease_ms", wire::ToMillis(start.lease)},
                         {"payload", wire::ToBase64(start.payload)},
                         {"repeatable", start.repeatable}};
  EncodeBound(start.valid_before, &json);
  return json;
}

nlohmann::json EncodeHeartbeat(const WorkerHeartbeat& heartbeat) {
  nlohmann::json json = {{"owner", heartbeat.owner.value()},
                         {"epoch", wire::ToJson(heartbeat.epoch)},
                         {"renew", EncodeIds(heartbeat.renew)},
                         {"lease_ms", wire::ToMillis(heartbeat.lease)},
                         {"acknowledge", EncodeIds(heartbeat.acknowledge)}};
  EncodeBound(heartbeat.valid_before, &json);
  return json;
}

}  // namespace pomelotray
