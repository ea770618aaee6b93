#ifndef POMELOTRAY_DAEMON_PEER_SERVICE_H_
#define POMELOTRAY_DAEMON_PEER_SERVICE_H_

#include <functional>
#include <map>
#include <string>

#include "daemon/cluster_service.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Handles messages from other instances. A message for a shard is handled only by the owner of the
// shard and is never forwarded, which rules out forwarding loops.
class PeerService {
 public:
  struct Context {
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
    ShardHost* host = nullptr;
    ClusterService* cluster = nullptr;
    Membership* membership = nullptr;
    ConfigurationCache* contracts = nullptr;
  };

  explicit PeerService(const Context& context);

  Result<nlohmann::json> Handle(const PeerCall& call);

 private:
  using Method = Result<nlohmann::json> (PeerService::*)(const PeerCall&);

  Result<nlohmann::json> HandleHeartbeat(const PeerCall& call);
  Result<nlohmann::json> HandleConfigPull(const PeerCall& call);
  Result<nlohmann::json> HandleSubmit(const PeerCall& call);
  Result<nlohmann::json> HandleStatus(const PeerCall& call);
  Result<nlohmann::json> HandleCancel(const PeerCall& call);
  Result<nlohmann::json> HandleWait(const PeerCall& call);
  Result<nlohmann::json> HandleRequest(const PeerCall& call);
  Result<nlohmann::json> HandleListJobs(const PeerCall& call);
  Result<nlohmann::json> HandleListWorkers(const PeerCall& call);
  Result<nlohmann::json> HandleTimeline(const PeerCall& call);
  Result<std::shared_ptr<ShardOwner>> OwnerOfJob(const PeerCall& call, JobId* job);

  const Context context_;
  const std::map<std::string, Method> methods_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_PEER_SERVICE_H_
