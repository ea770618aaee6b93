#include "daemon/peer_codec.h"

#include <cstdint>
#include <optional>

#include "absl/strings/str_cat.h"
#include "base/shard_id.h"

namespace pomelotray {
namespace {

Error InvalidFieldError(const char* name) {
  return Error{ErrorKind::kInvalidArgument,
               absl::StrCat("Field ", name,
                            " of a message between instances is missing or has the wrong type; run "
                            "the same version on all instances."),
               std::nullopt};
}

nlohmann::json BinaryValue(const std::string& bytes) {
  return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

Result<std::string> BinaryField(const nlohmann::json& json, const char* name) {
  if (!json.is_object() || !json.contains(name) || !json[name].is_binary()) {
    return Fail(InvalidFieldError(name));
  }
  const nlohmann::json::binary_t& bytes = json[name].get_binary();
  return std::string(bytes.begin(), bytes.end());
}

nlohmann::json EncodeResources(const Resources& r) {
  return {r.cpu.value(), r.memory.value(), r.accelerators.value(), r.slots.value()};
}

Result<Resources> DecodeResources(const nlohmann::json& json, const char* name) {
  if (!json.is_object() || !json.contains(name) || !json[name].is_array() ||
      json[name].size() != 4) {
    return Fail(InvalidFieldError(name));
  }
  for (const nlohmann::json& part : json[name]) {
    if (!part.is_number_integer()) {
      return Fail(InvalidFieldError(name));
    }
  }
  const nlohmann::json& parts = json[name];
  return Resources{MilliCores(parts[0].get<int64_t>()), MebiBytes(parts[1].get<int64_t>()),
                   AcceleratorCount(parts[2].get<int64_t>()), SlotCount(parts[3].get<int64_t>())};
}

Result<WorkerStatus> DecodeWorker(const nlohmann::json& json) {
  WorkerStatus worker;
  BOOST_LEAF_AUTO(id, StringField(json, "id"));
  BOOST_LEAF_AUTO(shard, StringField(json, "shard"));
  BOOST_LEAF_AUTO(rack, StringField(json, "rack"));
  const std::optional<ShardId> shard_id = ShardId::Parse(shard);
  if (!shard_id.has_value()) {
    return Fail(InvalidFieldError("shard"));
  }
  worker.id = WorkerId(id);
  worker.shard = *shard_id;
  worker.rack = RackId(rack);
  BOOST_LEAF_ASSIGN(worker.state, StringField(json, "state"));
  BOOST_LEAF_ASSIGN(worker.capacity, DecodeResources(json, "capacity"));
  BOOST_LEAF_ASSIGN(worker.reserved, DecodeResources(json, "reserved"));
  BOOST_LEAF_ASSIGN(worker.running_attempts, IntegerField(json, "running"));
  return worker;
}

}  // namespace

Result<std::string> StringField(const nlohmann::json& json, const char* name) {
  if (!json.is_object() || !json.contains(name) || !json[name].is_string()) {
    return Fail(InvalidFieldError(name));
  }
  return json[name].get<std::string>();
}

Result<int64_t> IntegerField(const nlohmann::json& json, const char* name) {
  if (!json.is_object() || !json.contains(name) || !json[name].is_number_integer()) {
    return Fail(InvalidFieldError(name));
  }
  return json[name].get<int64_t>();
}

nlohmann::json EncodeRequest(const InteractiveRequest& request) {
  return {{"id", request.id.value()},
          {"customer", request.customer.value()},
          {"pool", request.pool.value()},
          {"body", BinaryValue(request.body)},
          {"repeatable", request.repeatable}};
}

Result<InteractiveRequest> DecodeRequest(const nlohmann::json& json) {
  InteractiveRequest request;
  BOOST_LEAF_AUTO(id, StringField(json, "id"));
  BOOST_LEAF_AUTO(customer, StringField(json, "customer"));
  BOOST_LEAF_AUTO(pool, StringField(json, "pool"));
  BOOST_LEAF_ASSIGN(request.body, BinaryField(json, "body"));
  if (!json.contains("repeatable") || !json["repeatable"].is_boolean()) {
    return Fail(InvalidFieldError("repeatable"));
  }
  request.id = RequestId(id);
  request.customer = CustomerId(customer);
  request.pool = PoolName(pool);
  request.repeatable = json["repeatable"].get<bool>();
  return request;
}

nlohmann::json EncodeAnswer(const InteractiveAnswer& answer) {
  return {{"id", answer.request.value()},
          {"executor", answer.executor.value()},
          {"body", BinaryValue(answer.body)}};
}

Result<InteractiveAnswer> DecodeAnswer(const nlohmann::json& json) {
  InteractiveAnswer answer;
  BOOST_LEAF_AUTO(id, StringField(json, "id"));
  BOOST_LEAF_AUTO(executor, StringField(json, "executor"));
  BOOST_LEAF_ASSIGN(answer.body, BinaryField(json, "body"));
  answer.request = RequestId(id);
  answer.executor = ExecutorId(executor);
  return answer;
}

nlohmann::json EncodeWorkers(const std::vector<WorkerStatus>& workers) {
  nlohmann::json list = nlohmann::json::array();
  for (const WorkerStatus& worker : workers) {
    list.push_back({{"id", worker.id.value()},
                    {"shard", worker.shard.ToString()},
                    {"rack", worker.rack.value()},
                    {"state", worker.state},
                    {"capacity", EncodeResources(worker.capacity)},
                    {"reserved", EncodeResources(worker.reserved)},
                    {"running", worker.running_attempts}});
  }
  return list;
}

Result<std::vector<WorkerStatus>> DecodeWorkers(const nlohmann::json& json) {
  std::vector<WorkerStatus> workers;
  if (!json.is_array()) {
    return Fail(InvalidFieldError("workers"));
  }
  for (const nlohmann::json& element : json) {
    BOOST_LEAF_AUTO(worker, DecodeWorker(element));
    workers.push_back(worker);
  }
  return workers;
}

}  // namespace pomelotray
