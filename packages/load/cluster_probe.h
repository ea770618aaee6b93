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

// Counters summed over the whole deployment, or the difference between two such readings.
struct ClusterReading {
  absl::Time time;
  double seconds = 0;
  // Keyed by instance id. In a difference, the memory figures are those of the later reading.
  std::map<std::string, ProcessUsage> usage;
  // Bytes and messages in both directions of the calls that instances made, keyed by link class and
  // method. Only client-side counters are used: a server derives the link class from the IP address
  // of the caller, which all processes share here.
  std::map<std::pair<std::string, std::string>, PeerTraffic> peer;
  // Bytes that all instances sent and received as client or server. Each byte is counted twice, at
  // the sender and at the receiver.
  double peer_bytes_at_both_ends = 0;
  // Store calls counted by the instances, keyed by kind of call.
  std::map<std::string, double> store_calls;
  // Store calls counted by the store stand-in, keyed by kind of call.
  std::map<std::string, double> store_counts;
  double worker_calls = 0;
  // Bytes in both directions between shard owners and their workers.
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

  // Waits for the next refresh of the metrics, which instances update every second, so that the
  // reading covers everything up to the call.
  ClusterReading Read() const;
  // Returns the processor seconds of all instances. Reads only /proc, so it puts no load on them.
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
