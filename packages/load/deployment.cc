#include "load/deployment.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace pomelotray {
namespace {

std::string Text(const nlohmann::json& json, const char* field) {
  const auto it = json.find(field);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

int Pid(const nlohmann::json& json) {
  const auto it = json.find("pid");
  return it != json.end() && it->is_number_integer() ? it->get<int>() : 0;
}

nlohmann::json Array(const nlohmann::json& json, const char* field) {
  const auto it = json.find(field);
  return it != json.end() && it->is_array() ? *it : nlohmann::json::array();
}

std::vector<std::string> Texts(const nlohmann::json& json, const char* field) {
  std::vector<std::string> texts;
  for (const nlohmann::json& item : Array(json, field)) {
    if (item.is_string()) {
      texts.push_back(item.get<std::string>());
    }
  }
  return texts;
}

}  // namespace

size_t Deployment::WorkerCount() const {
  size_t count = 0;
  for (const WorkerProcess& process : workers) {
    count += process.addresses.size();
  }
  return count;
}

Result<Deployment> ReadDeployment(const std::string& path) {
  std::ifstream file(path);
  const nlohmann::json json = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return Fail(ErrorKind::kInvalidArgument,
                "File " + path + " does not describe a deployment; start one with scripts/load.");
  }
  Deployment deployment;
  for (const nlohmann::json& item : Array(json, "instances")) {
    deployment.instances.push_back(
        {Text(item, "id"), Text(item, "domain"), Text(item, "address"), Pid(item)});
  }
  for (const nlohmann::json& item : Array(json, "workers")) {
    deployment.workers.push_back({Pid(item), Text(item, "events"), Texts(item, "addresses")});
  }
  deployment.store_address = Text(json, "store");
  deployment.direct_executors = Texts(json, "direct_executors");
  deployment.domains = Texts(json, "domains");
  deployment.operator_token = Text(json, "operator_token");
  if (deployment.instances.empty() || deployment.store_address.empty()) {
    return Fail(
        ErrorKind::kInvalidArgument,
        "File " + path + " lists no instance or no store; start the deployment with scripts/load.");
  }
  return deployment;
}

}  // namespace pomelotray
