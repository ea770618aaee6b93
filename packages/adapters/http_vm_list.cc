#include "adapters/http_vm_list.h"

#include <string>
#include <utility>

#include "adapters/wire_json.h"

namespace pomelotray {
namespace {

std::optional<VmRole> ParseRole(const std::optional<std::string>& name) {
  if (name == "entry") {
    return VmRole::kEntry;
  }
  if (name == "worker") {
    return VmRole::kWorker;
  }
  if (name == "executor") {
    return VmRole::kExecutor;
  }
  return std::nullopt;
}

std::optional<VmEntry> DecodeVm(const nlohmann::json& json) {
  const std::optional<std::string> id = wire::ReadString(json, "id");
  const std::optional<VmRole> role = ParseRole(wire::ReadString(json, "role"));
  const std::optional<std::string> address = wire::ReadString(json, "address");
  const std::optional<std::string> region = wire::ReadString(json, "region");
  const std::optional<std::string> domain = wire::ReadString(json, "domain");
  if (!id || id->empty() || !role || !address || !region || !domain) {
    return std::nullopt;
  }
  VmEntry entry;
  entry.id = VmId(*id);
  entry.role = *role;
  entry.address = *address;
  entry.region = RegionId(*region);
  entry.domain = FailureDomainId(*domain);
  entry.rack = RackId(wire::ReadString(json, "rack").value_or(""));
  entry.pool = PoolName(wire::ReadString(json, "pool").value_or(""));
  entry.leaving = wire::ReadBool(json, "leaving").value_or(false);
  entry.max_connections = wire::ReadInt(json, "max_connections").value_or(0);
  if (json.contains("capacity")) {
    const std::optional<Resources> capacity = wire::ReadResources(json, "capacity");
    if (!capacity || capacity->AnyNegative()) {
      return std::nullopt;
    }
    entry.capacity = *capacity;
  }
  return entry;
}

}  // namespace

std::optional<std::vector<VmEntry>> DecodeVmList(const nlohmann::json& json) {
  const nlohmann::json* array = wire::FindArray(json, "vms");
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<VmEntry> entries;
  for (const nlohmann::json& item : *array) {
    std::optional<VmEntry> entry = DecodeVm(item);
    if (!entry) {
      return std::nullopt;
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

Result<std::vector<VmEntry>> HttpVmList::List() {
  HttpCall call;
  call.method = "GET";
  call.path = "/vms";
  call.timeout = channel_.options().call_timeout;
  call.no_answer = ErrorKind::kUnavailable;
  BOOST_LEAF_AUTO(json, channel_.Call(channel_.options().address, call));
  std::optional<std::vector<VmEntry>> entries = DecodeVmList(json);
  if (!entries) {
    return Fail(ErrorKind::kUnavailable,
                "The VM list is malformed; check which program listens at its address.");
  }
  return std::move(*entries);
}

}  // namespace pomelotray
