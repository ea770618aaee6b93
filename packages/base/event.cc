#include "base/event.h"

#include <optional>

namespace pomelotray {

void to_json(nlohmann::json& json, const Event& event) {
  json = nlohmann::json{{"time", event.time.value()},
                        {"process", event.process},
                        {"sequence", event.sequence},
                        {"code", static_cast<int>(event.code)},
                        {"name", DescribeEvent(event.code).name}};
  for (const auto& [name, value] : event.fields) {
    json[name] = value;
  }
}

bool ParseEvent(const nlohmann::json& json, Event* event) {
  if (!json.is_object() || !json.contains("time") || !json["time"].is_number_integer() ||
      !json.contains("process") || !json["process"].is_string() || !json.contains("sequence") ||
      !json["sequence"].is_number_integer() || !json.contains("code") ||
      !json["code"].is_number_integer()) {
    return false;
  }
  const std::optional<EventCode> code = ParseEventCode(json["code"].get<int>());
  if (!code.has_value()) {
    return false;
  }
  event->time = HybridTime(json["time"].get<int64_t>());
  event->process = json["process"].get<std::string>();
  event->sequence = json["sequence"].get<uint64_t>();
  event->code = *code;
  event->fields.clear();
  for (auto it = json.begin(); it != json.end(); ++it) {
    if (it->is_string() && it.key() != "process" && it.key() != "name") {
      event->fields[it.key()] = it->get<std::string>();
    }
  }
  return true;
}

}  // namespace pomelotray
