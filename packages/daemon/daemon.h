#ifndef POMELOTRAY_DAEMON_DAEMON_H_
#define POMELOTRAY_DAEMON_DAEMON_H_

#include <prometheus/registry.h>

#include <memory>

#include "adapters/http_executor.h"
#include "adapters/http_store.h"
#include "adapters/http_vm_list.h"
#include "adapters/http_worker.h"
#include "api/http_api_server.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/system_clock.h"
#include "daemon/cluster_service.h"
#include "daemon/configuration_sync.h"
#include "daemon/daemon_settings.h"
#include "daemon/metrics_exporter.h"
#include "daemon/peer_service.h"
#include "daemon/shard_directory.h"
#include "daemon/shard_host.h"
#include "daemon/shard_router.h"
#include "peer/membership.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "state/budgeted_store.h"
#include "state/configuration_cache.h"
#include "state/instance_lease.h"
#include "state/shard_claims.h"
#include "state/slice_manager.h"

namespace pomelotray {

// A pomelotrayd process. Builds all components, starts them in order and stops them gracefully.
class Daemon {
 public:
  explicit Daemon(const DaemonSettings& settings);
  ~Daemon();

  Result<void> Start();
  // Announces the stop to the other instances, hands all shards over, completes the requests in
  // flight and stops all threads.
  void Stop();

  int api_port() const { return api_->port(); }

 private:
  Result<void> BuildPeers();
  Result<void> BuildState();
  void BuildServices();
  LinkClass Classify(const std::string& address) const;
  bool ShouldWatchConfiguration() const;

  const DaemonSettings settings_;
  SystemClock clock_;
  HybridClock hybrid_clock_;
  EventLog events_;
  std::shared_ptr<prometheus::Registry> registry_;

  std::unique_ptr<HttpStore> http_store_;
  std::unique_ptr<HttpVmList> vm_list_;
  std::unique_ptr<HttpWorker> workers_;
  std::unique_ptr<HttpExecutor> executors_;

  std::unique_ptr<BudgetedStore> store_;
  std::unique_ptr<InstanceLease> lease_;
  std::unique_ptr<ShardClaims> claims_;
  std::unique_ptr<ConfigurationCache> contracts_;
  std::unique_ptr<SliceManager> slices_;
  ShardDirectory directory_;

  std::unique_ptr<PeerClient> peer_client_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<ConfigurationSync> configuration_sync_;
  std::unique_ptr<ShardHost> host_;
  std::unique_ptr<ShardRouter> router_;
  std::unique_ptr<ClusterService> cluster_;
  std::unique_ptr<PeerService> peer_service_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<HttpApiServer> api_;
  std::unique_ptr<MetricsExporter> metrics_;
  bool started_ = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_DAEMON_H_
