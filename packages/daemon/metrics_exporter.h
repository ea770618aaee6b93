#ifndef POMELOTRAY_DAEMON_METRICS_EXPORTER_H_
#define POMELOTRAY_DAEMON_METRICS_EXPORTER_H_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <thread>

#include "daemon/shard_host.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "state/budgeted_store.h"

namespace pomelotray {

// Periodically copies the traffic counters of the peer client and server, the call counts and
// availability of the store, and the number of owned shards into the Prometheus registry.
class MetricsExporter {
 public:
  MetricsExporter(prometheus::Registry* registry, const PeerClient* client,
                  const PeerServer* server, const BudgetedStore* store, const ShardHost* host,
                  const Clock* clock);

  ~MetricsExporter();

  // Starts a thread that updates the gauges at a fixed interval.
  void Start();
  void Stop();

 private:
  void Run();
  // Sets all gauges to the current values.
  void Update();
  void UpdateTraffic(const TrafficCounters::Snapshot& traffic, const char* side);

  const PeerClient* const client_;
  const PeerServer* const server_;
  const BudgetedStore* const store_;
  const ShardHost* const host_;
  const Clock* const clock_;
  prometheus::Family<prometheus::Gauge>& peer_bytes_;
  prometheus::Family<prometheus::Gauge>& peer_messages_;
  prometheus::Family<prometheus::Gauge>& store_calls_;
  prometheus::Gauge& owned_shards_;
  prometheus::Gauge& store_available_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_METRICS_EXPORTER_H_
