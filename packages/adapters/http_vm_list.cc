#include "adapters/http_vm_list.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/host_port.h"
#include "adapters/wire_json.h"
#include "base/json_number.h"
#include "model/field_reader.h"

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
  if (!id || id->empty() || !role || !address || !region || !domain || !HostPort::Parse(*address)) {
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
  if (json.contains("max_connections")) {
    const std::optional<int64_t> connections =
        wire::ReadInt(json, "max_connections", 0, kMaxJsonCount);
    if (!connections) {
      return std::nullopt;
    }
    entry.max_connections = *connections;
  }
  if (json.contains("capacity")) {
    const std::optional<Resources> capacity = wire::ReadResources(json, "capacity");
    if (!capacity) {
      return std::nullopt;
    }
    entry.capacity = *capacity;
  }
  return entry;
}

void AddFault(const nlohmann::json& item, std::map<std::string, std::string>* faults) {
  const std::optional<std::string> id = wire::ReadString(item, "id");
  const std::string name = id ? FieldReader::Show(nlohmann::json(*id)) : "without an id";
  (*faults)[name] =
      absl::StrCat("The VM list has a malformed entry ", name,
                   ", which is not used; correct its fields as docs/platform_interfaces.md shows.");
}

}  // namespace

std::optional<std::vector<VmEntry>> DecodeVmList(const nlohmann::json& json,
                                                 std::map<std::string, std::string>* faults) {
  const nlohmann::json* array = wire::FindArray(json, "vms");
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<VmEntry> entries;
  for (const nlohmann::json& item : *array) {
    std::optional<VmEntry> entry = DecodeVm(item);
    if (entry) {
      entries.push_back(std::move(*entry));
    } else if (faults != nullptr) {
      AddFault(item, faults);
    }
  }
  if (entries.empty() && !array->empty()) {
    return std::nullopt;
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
  std::map<std::string, std::string> faults;
  std::optional<std::vector<VmEntry>> entries = DecodeVmList(json, &faults);
  for (const std::string& fault : reported_faults_.Update(std::move(faults))) {
    if (events_ != nullptr) {
      events_->Record(EventCode::kInvalidInputRefused).With(event_field::kReason, fault).Emit();
    }
  }
  if (!entries) {
    return Fail(ErrorKind::kUnavailable,
                "The VM list is malformed; check which program listens at its address.");
  }
  return std::move(*entries);
}

}  // namespace pomelotray
