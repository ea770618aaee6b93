#ifndef POMELOTRAY_DAEMON_CLUSTER_SERVICE_H_
#define POMELOTRAY_DAEMON_CLUSTER_SERVICE_H_

#include <map>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "daemon/shard_host.h"
#include "daemon/shard_router.h"
#include "ports/admin_service.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Serves the API for callers and operators on any instance. Calls for shards that this instance
// owns are handled locally; all others are forwarded to the owner of the shard.
class ClusterService : public AdminService {
 public:
  struct Context {
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
    InstanceId self;
    RegionId region;
    FailureDomainId domain;
    std::string peer_address;
    ShardHost* host = nullptr;
    ShardRouter* router = nullptr;
    ShardDirectory* directory = nullptr;
    Membership* membership = nullptr;
    ConfigurationCache* contracts = nullptr;
    PeerPort* peers = nullptr;
  };

  explicit ClusterService(const Context& context);

  Result<JobRecord> Submit(const JobSpec& spec) override;
  Result<JobRecord> GetJob(const JobId& job) override;
  Result<JobRecord> CancelJob(const JobId& job) override;
  Result<JobRecord> WaitForJob(const JobId& job, absl::Duration timeout) override;
  Result<std::vector<JobRecord>> ListJobs(const std::optional<CustomerId>& customer) override;
  Result<InteractiveAnswer> Request(const InteractiveRequest& request) override;
  Result<std::vector<Contract>> ListContracts() override;
  Result<Contract> GetContract(const CustomerId& customer) override;
  Result<Contract> ApplyContract(const Contract& contract, Revision expected) override;
  Result<std::vector<InstanceStatus>> ListInstances() override;
  Result<std::vector<WorkerStatus>> ListWorkers() override;
  Result<void> DrainVm(const VmId& vm) override;
  Result<std::vector<Event>> Timeline(const std::map<std::string, std::string>& filter,
                                      bool all_instances) override;
  std::string NotReadyReason() override;

  // Jobs and workers of the shards that this instance owns. Other instances query them to build
  // lists of the whole cluster.
  std::vector<JobRecord> LocalJobs(const std::optional<CustomerId>& customer);
  std::vector<WorkerStatus> LocalWorkers();

  // Reports this instance as not ready from now on, so that the load balancer sends no new callers.
  void BeginShutdown();

 private:
  Result<JobRecord> CallJobOwner(const JobId& job, const std::string& method,
                                 const nlohmann::json& body, absl::Duration timeout);
  Result<Contract> RequireContract(const CustomerId& customer);
  Result<InteractiveAnswer> RequestFromShard(const ShardId& shard,
                                             const InteractiveRequest& request);
  // Returns the shards of the pool in the order in which a request tries them: own failure domain,
  // own region, other regions.
  std::vector<ShardId> ShardsByDistance(const PoolName& pool) const;
  std::vector<nlohmann::json> CallMembers(const std::string& method, const nlohmann::json& body);

  const Context context_;
  std::atomic<bool> shutting_down_{false};
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_CLUSTER_SERVICE_H_
