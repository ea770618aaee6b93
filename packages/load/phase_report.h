#ifndef POMELOTRAY_LOAD_PHASE_REPORT_H_
#define POMELOTRAY_LOAD_PHASE_REPORT_H_

#include <string>

#include "bench/bench_report.h"
#include "load/cluster_probe.h"

namespace pomelotray {

// What one phase of a run is divided by.
struct PhaseUnit {
  // "request", "job" or "idle second".
  std::string name;
  double count = 0;
};

// Two decimals for small figures, so that the tables stay readable.
double Rounded(double value);

// Adds the use, the peer traffic and the store calls of one phase to the tables.
void ReportPhase(const std::string& phase, const PhaseUnit& unit, const ClusterReading& growth,
                 BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_PHASE_REPORT_H_
