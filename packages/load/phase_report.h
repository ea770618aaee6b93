#ifndef POMELOTRAY_LOAD_PHASE_REPORT_H_
#define POMELOTRAY_LOAD_PHASE_REPORT_H_

#include <string>

#include "bench/bench_report.h"
#include "load/cluster_probe.h"

namespace pomelotray {

// The unit of work by which the figures of a phase are divided.
struct PhaseUnit {
  // One of "request", "job" and "idle second".
  std::string name;
  double count = 0;
};

// Rounds to three decimals to keep the tables readable.
double Rounded(double value);

// Adds the resource usage, the peer traffic and the store calls of one phase to the report.
void ReportPhase(const std::string& phase, const PhaseUnit& unit, const ClusterReading& growth,
                 BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_PHASE_REPORT_H_
