#ifndef POMELOTRAY_LOAD_CLUSTER_PROBE_H_
#define POMELOTRAY_LOAD_CLUSTER_PROBE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "load/deployment.h"
#include "load/metrics_text.h"
#include "load/process_usage.h"

namespace pomelotray {

struct PeerTraffic {
  double bytes = 0;
  double messages = 0;
};

// Counters of the whole deployment, or their growth between two readings.
struct ClusterReading {
  absl::Time time;
  double seconds = 0;
  // By instance; a difference has the later memory.
  std::map<std::string, ProcessUsage> usage;
  // Both directions of the calls that instances made, by link class and method. A link class seen
  // by a server is not used: it goes by the IP number, and all processes share one.
  std::map<std::pair<std::string, std::string>, PeerTraffic> peer;
  // What all instances sent and received as client or server: each byte counts at both ends.
  double peer_bytes_at_both_ends = 0;
  // Counted by the instances, by kind.
  std::map<std::string, double> store_calls;
  // Counted by the store stand-in, by kind.
  std::map<std::string, double> store_counts;
  double worker_calls = 0;
  // Both directions between the owners and their workers.
  double worker_bytes = 0;

  double ProcessorSeconds() const;
  double MeanResidentMib() const;
  double MaxResidentMib() const;
  double MeanAnonymousMib() const;
  double MaxThreads() const;
  double StoreCalls() const;
  double StoreCountsTotal() const;
};

// Reads /metrics and /proc of all instances, and the counters of the stand-ins.
class ClusterProbe {
 public:
  explicit ClusterProbe(const Deployment* deployment) : deployment_(deployment) {}

  // Waits until the metrics, which instances refresh every second, cover all that happened so far.
  ClusterReading Read() const;
  // Processor seconds of all instances; costs the instances nothing.
  double ProcessorSeconds() const;

  static ClusterReading Difference(const ClusterReading& before, const ClusterReading& after);

 private:
  void ReadInstance(const InstanceProcess& instance, ClusterReading* reading) const;
  void ReadUsage(ClusterReading* reading) const;
  void ReadStandins(ClusterReading* reading) const;

  const Deployment* const deployment_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_CLUSTER_PROBE_H_
