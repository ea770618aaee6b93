#include "adapters/http_worker.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/wire_json.h"
#include "adapters/worker_codec.h"

namespace pomelotray {
namespace {

Result<WorkerInventory> ToInventory(const std::string& address, const nlohmann::json& json) {
  std::optional<WorkerInventory> inventory = DecodeInventory(json);
  if (!inventory) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("The inventory from the worker at ", address,
                             " is malformed; check which program listens there."));
  }
  return std::move(*inventory);
}

HttpCall NewCall(const char* path, nlohmann::json body) {
  HttpCall call;
  call.path = path;
  call.body = std::move(body);
  return call;
}

}  // namespace

Result<nlohmann::json> HttpWorker::Post(const std::string& address, HttpCall call) {
  call.timeout = channel_.options().call_timeout;
  return channel_.Call(address, call);
}

Result<WorkerInventory> HttpWorker::Fence(const std::string& address, const InstanceId& owner,
                                          const Epoch& epoch) {
  BOOST_LEAF_AUTO(json, Post(address, NewCall("/worker/fence", {{"owner", owner.value()},
                                                                {"epoch", wire::ToJson(epoch)}})));
  BOOST_LEAF_AUTO(inventory, ToInventory(address, json));
  if (inventory.epoch != epoch) {
    ++other_epochs_;
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("The worker at ", address,
                             " answered a fence with another epoch; fence it again."));
  }
  return inventory;
}

Result<void> HttpWorker::Start(const std::string& address, const TaskStart& start) {
  return PostForAttempt(address, "/worker/start", EncodeTaskStart(start), start.attempt);
}

Result<WorkerInventory> HttpWorker::Heartbeat(const std::string& address,
                                              const WorkerHeartbeat& heartbeat) {
  BOOST_LEAF_AUTO(json, Post(address, NewCall("/worker/heartbeat", EncodeHeartbeat(heartbeat))));
  return ToInventory(address, json);
}

Result<void> HttpWorker::Stop(const std::string& address, const AttemptId& attempt,
                              const Epoch& epoch, StopMode mode) {
  return PostForAttempt(address, "/worker/stop",
                        {{"attempt", attempt.value()},
                         {"epoch", wire::ToJson(epoch)},
                         {"mode", wire::StopModeName(mode)}},
                        attempt);
}

Result<void> HttpWorker::PostForAttempt(const std::string& address, const char* path,
                                        nlohmann::json body, const AttemptId& attempt) {
  HttpCall call = NewCall(path, std::move(body));
  call.echo = {{"attempt", attempt.value()}};
  BOOST_LEAF_AUTO(json, Post(address, std::move(call)));
  if (!json.contains("attempt")) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("The worker's answer does not name the attempt ", attempt.value(),
                             "; read the attempt from the worker's inventory."));
  }
  return {};
}

}  // namespace pomelotray
