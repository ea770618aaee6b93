#include "standins/vm_list_standin.h"

#include <utility>

#include "adapters/wire_json.h"

namespace pomelotray {

VmListStandin::VmListStandin(const Clock* clock, HybridClock* hybrid_clock, absl::Duration lag)
    : clock_(clock), lag_(lag), server_(clock, hybrid_clock) {
  snapshots_.push_back(Snapshot{clock->Now(), nlohmann::json::array()});
  server_.Handle("GET", "/vms", [this](const StandinRequest&) { return Get(); });
  server_.HandleControl("PUT", "/vms",
                        [this](const StandinRequest& request) { return Put(request.body); });
  server_.HandleControl("PATCH", "/vms/([^/]+)", [this](const StandinRequest& request) {
    return Patch(request.match, request.body);
  });
}

bool VmListStandin::Load(const nlohmann::json& list) {
  const nlohmann::json* vms = wire::FindArray(list, "vms");
  if (vms == nullptr) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  snapshots_.clear();
  snapshots_.push_back(Snapshot{clock_->Now(), *vms});
  return true;
}

StandinResponse VmListStandin::Get() {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_->Now();
  while (snapshots_.size() > 1 && snapshots_[1].visible_from <= now) {
    snapshots_.pop_front();
  }
  return StandinResponse{200, {{"vms", snapshots_.front().vms}}};
}

StandinResponse VmListStandin::Put(const nlohmann::json& body) {
  const nlohmann::json* vms = wire::FindArray(body, "vms");
  if (vms == nullptr) {
    return Refuse(400, "invalid_argument", "Field vms must be an array.");
  }
  absl::MutexLock lock(&mutex_);
  snapshots_.push_back(Snapshot{clock_->Now() + lag_, *vms});
  return StandinResponse{};
}

StandinResponse VmListStandin::Patch(const std::string& id, const nlohmann::json& body) {
  absl::MutexLock lock(&mutex_);
  nlohmann::json vms = snapshots_.back().vms;
  for (auto it = vms.begin(); it != vms.end(); ++it) {
    if (wire::ReadString(*it, "id") != id) {
      continue;
    }
    if (wire::ReadBool(body, "remove").value_or(false)) {
      vms.erase(it);
    } else if (body.is_object()) {
      it->update(body);
    }
    snapshots_.push_back(Snapshot{clock_->Now() + lag_, std::move(vms)});
    return StandinResponse{};
  }
  return Refuse(404, "not_found", "The VM list contains no VM with this id.");
}

}  // namespace pomelotray
