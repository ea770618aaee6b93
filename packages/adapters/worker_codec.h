#ifndef POMELOTRAY_ADAPTERS_WORKER_CODEC_H_
#define POMELOTRAY_ADAPTERS_WORKER_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "ports/worker_port.h"

namespace pomelotray {

// Returns nullopt for anything but a whole, well-formed inventory.
std::optional<WorkerInventory> DecodeInventory(const nlohmann::json& json);

nlohmann::json EncodeInventory(const WorkerInventory& inventory);
nlohmann::json EncodeTaskStart(const TaskStart& start);
nlohmann::json EncodeHeartbeat(const WorkerHeartbeat& heartbeat);

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_WORKER_CODEC_H_
