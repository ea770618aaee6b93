#include "api/fleet_routes.h"

#include <map>
#include <utility>

#include "base/event.h"
#include "model/field_reader.h"
#include "model/identifier.h"

namespace pomelotray {
namespace {

constexpr char kAllInstances[] = "all";

// Query parameters of /v1/timeline: the event fields that can be filtered on, and "all".
std::set<std::string> TimelineQueryParameters() {
  return {kAllInstances,         event_field::kJob,      event_field::kTask,
          event_field::kAttempt, event_field::kWorker,   event_field::kExecutor,
          event_field::kRequest, event_field::kCustomer, event_field::kShard,
          event_field::kEpoch,   event_field::kRevision, event_field::kState,
          event_field::kPeer,    event_field::kKind};
}

nlohmann::json InstanceToJson(const InstanceStatus& instance) {
  nlohmann::json shards = nlohmann::json::array();
  for (const ShardId& shard : instance.owned_shards) {
    shards.push_back(shard.ToString());
  }
  return {{"id", instance.id.value()},
          {"domain", instance.domain.value()},
          {"region", instance.region.value()},
          {"address", instance.address},
          {"state", instance.state},
          {"configuration_revision", instance.configuration.value()},
          {"owned_shards", std::move(shards)}};
}

nlohmann::json WorkerToJson(const WorkerStatus& worker) {
  return {{"id", worker.id.value()},
          {"shard", worker.shard.ToString()},
          {"rack", worker.rack.value()},
          {"state", worker.state},
          {"capacity", ResourcesToJson(worker.capacity)},
          {"reserved", ResourcesToJson(worker.reserved)},
          {"running_attempts", worker.running_attempts}};
}

}  // namespace

FleetRoutes::FleetRoutes(AdminService* service) : service_(service) {}

void FleetRoutes::AddTo(Router* router) {
  router->Add(
      {"GET", "/v1/instances", Access::kOperator, {}, [this](const Principal&, const ApiRequest&) {
         return Instances();
       }});
  router->Add(
      {"GET", "/v1/workers", Access::kOperator, {}, [this](const Principal&, const ApiRequest&) {
         return Workers();
       }});
  router->Add({"POST",
               "/v1/vms/{}/drain",
               Access::kOperator,
               {},
               [this](const Principal&, const ApiRequest& request) { return Drain(request); }});
  router->Add({"GET", "/v1/timeline", Access::kOperator, TimelineQueryParameters(),
               [this](const Principal&, const ApiRequest& request) { return Timeline(request); }});
}

Result<ApiReply> FleetRoutes::Instances() {
  BOOST_LEAF_AUTO(instances, service_->ListInstances());
  nlohmann::json list = nlohmann::json::array();
  for (const InstanceStatus& instance : instances) {
    list.push_back(InstanceToJson(instance));
  }
  return JsonReply({{"instances", std::move(list)}});
}

Result<ApiReply> FleetRoutes::Workers() {
  BOOST_LEAF_AUTO(workers, service_->ListWorkers());
  nlohmann::json list = nlohmann::json::array();
  for (const WorkerStatus& worker : workers) {
    list.push_back(WorkerToJson(worker));
  }
  return JsonReply({{"workers", std::move(list)}});
}

Result<ApiReply> FleetRoutes::Drain(const ApiRequest& request) {
  const VmId vm(request.parameters.front());
  BOOST_LEAF_CHECK(service_->DrainVm(vm));
  return JsonReply({{"vm", vm.value()}, {"draining", true}});
}

Result<ApiReply> FleetRoutes::Timeline(const ApiRequest& request) {
  BOOST_LEAF_AUTO(all, IntegerQuery(request, kAllInstances, 0, 1, 0));
  std::map<std::string, std::string> filter = request.query;
  filter.erase(kAllInstances);
  BOOST_LEAF_AUTO(events, service_->Timeline(filter, all == 1));
  nlohmann::json list = nlohmann::json::array();
  for (const Event& event : events) {
    list.push_back(event);
  }
  return JsonReply({{"events", std::move(list)}});
}

}  // namespace pomelotray
