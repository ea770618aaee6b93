#include "load/cluster_probe.h"

#include <algorithm>

#include "absl/time/clock.h"
#include "load/load_client.h"

namespace pomelotray {
namespace {

// Longer than the 1 s interval at which an instance refreshes its gauges.
constexpr absl::Duration kMetricsDelay = absl::Milliseconds(1200);

double Number(const nlohmann::json& json, const char* field) {
  const auto it = json.find(field);
  return json.is_object() && it != json.end() && it->is_number() ? it->get<double>() : 0;
}

template <typename Key>
std::map<Key, double> Subtract(const std::map<Key, double>& after,
                               const std::map<Key, double>& before) {
  std::map<Key, double> difference = after;
  for (const auto& [key, value] : before) {
    difference[key] -= value;
  }
  return difference;
}

double Sum(const std::map<std::string, double>& values) {
  double sum = 0;
  for (const auto& [key, value] : values) {
    sum += value;
  }
  return sum;
}

}  // namespace

double ClusterReading::ProcessorSeconds() const {
  double sum = 0;
  for (const auto& [id, use] : usage) {
    sum += use.processor_seconds;
  }
  return sum;
}

double ClusterReading::MeanResidentMib() const {
  double sum = 0;
  for (const auto& [id, use] : usage) {
    sum += use.resident_mib;
  }
  return usage.empty() ? 0 : sum / static_cast<double>(usage.size());
}

double ClusterReading::MaxResidentMib() const {
  double largest = 0;
  for (const auto& [id, use] : usage) {
    largest = std::max(largest, use.resident_mib);
  }
  return largest;
}

double ClusterReading::MeanAnonymousMib() const {
  double sum = 0;
  for (const auto& [id, use] : usage) {
    sum += use.anonymous_mib;
  }
  return usage.empty() ? 0 : sum / static_cast<double>(usage.size());
}

double ClusterReading::MaxThreads() const {
  double largest = 0;
  for (const auto& [id, use] : usage) {
    largest = std::max(largest, static_cast<double>(use.threads));
  }
  return largest;
}

double ClusterReading::StoreCalls() const { return Sum(store_calls); }

double ClusterReading::StoreCountsTotal() const { return Sum(store_counts); }

ClusterReading ClusterProbe::Read() const {
  absl::SleepFor(kMetricsDelay);
  ClusterReading reading;
  for (const InstanceProcess& instance : deployment_->instances) {
    ReadInstance(instance, &reading);
  }
  ReadStandins(&reading);
  ReadUsage(&reading);
  reading.time = absl::Now();
  return reading;
}

double ClusterProbe::ProcessorSeconds() const {
  ClusterReading reading;
  ReadUsage(&reading);
  return reading.ProcessorSeconds();
}

void ClusterProbe::ReadUsage(ClusterReading* reading) const {
  for (const InstanceProcess& instance : deployment_->instances) {
    reading->usage[instance.id] = ReadProcessUsage(instance.pid);
  }
}

void ClusterProbe::ReadInstance(const InstanceProcess& instance, ClusterReading* reading) const {
  LoadClient client(instance.address, deployment_->operator_token);
  for (const MetricSample& sample : ParseMetrics(client.Get("/metrics").body)) {
    if (sample.name == "pomelotray_store_calls") {
      reading->store_calls[sample.Label("kind")] += sample.value;
    } else if (sample.name == "pomelotray_peer_bytes") {
      reading->peer_bytes_at_both_ends += sample.value;
    }
    if (sample.Label("side") != "client") {
      continue;
    }
    PeerTraffic& traffic = reading->peer[{sample.Label("link"), sample.Label("method")}];
    if (sample.name == "pomelotray_peer_bytes") {
      traffic.bytes += sample.value;
    } else if (sample.name == "pomelotray_peer_messages") {
      traffic.messages += sample.value;
    }
  }
}

void ClusterProbe::ReadStandins(ClusterReading* reading) const {
  const nlohmann::json counts = LoadClient(deployment_->store_address, "").Get("/counts").Json();
  if (counts.is_object()) {
    for (auto it = counts.begin(); it != counts.end(); ++it) {
      reading->store_counts[it.key()] = it->is_number() ? it->get<double>() : 0;
    }
  }
  for (const WorkerProcess& process : deployment_->workers) {
    for (const std::string& address : process.addresses) {
      const nlohmann::json traffic = LoadClient(address, "").Get("/traffic").Json();
      reading->worker_calls += Number(traffic, "calls");
      reading->worker_bytes += Number(traffic, "bytes_received") + Number(traffic, "bytes_sent");
    }
  }
}

ClusterReading ClusterProbe::Difference(const ClusterReading& before, const ClusterReading& after) {
  ClusterReading difference = after;
  difference.seconds = absl::ToDoubleSeconds(after.time - before.time);
  for (const auto& [id, use] : before.usage) {
    difference.usage[id].processor_seconds -= use.processor_seconds;
  }
  for (const auto& [key, traffic] : before.peer) {
    difference.peer[key].bytes -= traffic.bytes;
    difference.peer[key].messages -= traffic.messages;
  }
  difference.peer_bytes_at_both_ends -= before.peer_bytes_at_both_ends;
  difference.store_calls = Subtract(after.store_calls, before.store_calls);
  difference.store_counts = Subtract(after.store_counts, before.store_counts);
  difference.worker_calls -= before.worker_calls;
  difference.worker_bytes -= before.worker_bytes;
  return difference;
}

}  // namespace pomelotray
