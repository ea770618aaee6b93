#include "load/phase_report.h"

#include <cmath>

namespace pomelotray {
namespace {

constexpr double kDecimals = 1000;
constexpr double kMillisPerSecond = 1000;

double Per(double value, double count) { return count > 0 ? Rounded(value / count) : 0; }

void ReportUsage(const std::string& phase, const PhaseUnit& unit, const ClusterReading& growth,
                 BenchReport* report) {
  const double seconds = growth.seconds;
  const double instances = static_cast<double>(growth.usage.size());
  report->AddRow(
      "use_by_phase",
      {{"phase", phase},
       {"unit", unit.name},
       {"units", unit.count},
       {"seconds", Rounded(seconds)},
       {"cpu_ms_per_unit", Per(growth.ProcessorSeconds() * kMillisPerSecond, unit.count)},
       {"cores_per_instance", Per(growth.ProcessorSeconds() / seconds, instances)},
       {"resident_mib_mean", Rounded(growth.MeanResidentMib())},
       {"resident_mib_max", Rounded(growth.MaxResidentMib())},
       {"anonymous_mib_mean", Rounded(growth.MeanAnonymousMib())},
       {"threads_max", growth.MaxThreads()},
       {"peer_bytes_per_instance_s", Per(growth.peer_bytes_at_both_ends / seconds, instances)},
       {"worker_bytes_s", Per(growth.worker_bytes, seconds)},
       {"worker_calls_s", Per(growth.worker_calls, seconds)}});
  for (const auto& [id, use] : growth.usage) {
    report->AddRow("instances",
                   {{"phase", phase},
                    {"instance", id},
                    {"cpu_ms_s", Per(use.processor_seconds * kMillisPerSecond, seconds)},
                    {"resident_mib", Rounded(use.resident_mib)},
                    {"anonymous_mib", Rounded(use.anonymous_mib)},
                    {"peak_mib", Rounded(use.peak_resident_mib)},
                    {"threads", use.threads}});
  }
}

void ReportCalls(const std::string& phase, const PhaseUnit& unit, const char* counted_by,
                 const std::map<std::string, double>& calls, double seconds, BenchReport* report) {
  for (const auto& [kind, count] : calls) {
    report->AddRow("store_calls", {{"phase", phase},
                                   {"counted_by", counted_by},
                                   {"kind", kind},
                                   {"calls", count},
                                   {"calls_s", Per(count, seconds)},
                                   {"calls_per_unit", Per(count, unit.count)}});
  }
}

}  // namespace

double Rounded(double value) { return std::round(value * kDecimals) / kDecimals; }

void ReportPhase(const std::string& phase, const PhaseUnit& unit, const ClusterReading& growth,
                 BenchReport* report) {
  ReportUsage(phase, unit, growth, report);
  for (const auto& [key, traffic] : growth.peer) {
    report->AddRow("peer_traffic", {{"phase", phase},
                                    {"link", key.first},
                                    {"method", key.second},
                                    {"bytes", traffic.bytes},
                                    {"messages", traffic.messages},
                                    {"bytes_s", Per(traffic.bytes, growth.seconds)},
                                    {"bytes_per_unit", Per(traffic.bytes, unit.count)}});
  }
  ReportCalls(phase, unit, "instances", growth.store_calls, growth.seconds, report);
  ReportCalls(phase, unit, "store", growth.store_counts, growth.seconds, report);
}

}  // namespace pomelotray
