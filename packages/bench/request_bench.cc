#include "bench/request_bench.h"

#include <algorithm>
#include <string>

#include "bench/request_simulation.h"

namespace pomelotray {
namespace {

constexpr double kGoodputTarget = 0.95;

// Goodput per second relative to the capacity of all slots.
double AddRequestRow(const std::string& variant, double load, const RequestOutcome& outcome,
                     BenchReport* report) {
  const double seconds = absl::ToDoubleSeconds(kRequestRun);
  const double goodput = static_cast<double>(outcome.in_time) / seconds / RequestSource::Capacity();
  report->AddRow("requests", {{"load", load},
                              {"variant", variant},
                              {"arrived", outcome.arrived},
                              {"goodput_of_capacity", goodput},
                              {"late", outcome.late},
                              {"refused", outcome.refused},
                              {"dropped", outcome.dropped},
                              {"p50_ms", outcome.latency.Quantile(0.5)},
                              {"p99_ms", outcome.latency.Quantile(0.99)},
                              {"refusal_p99_ms", outcome.time_to_refusal.Quantile(0.99)},
                              {"in_time_a", outcome.in_time_by_customer[0]},
                              {"in_time_b", outcome.in_time_by_customer[1]},
                              {"in_time_c", outcome.in_time_by_customer[2]}});
  return goodput;
}

}  // namespace

void RunRequestBench(uint64_t seed, BenchReport* report) {
  double peak = 0;
  double at_ten = 0;
  for (const double load : {0.5, 0.8, 0.95, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0}) {
    const double goodput =
        AddRequestRow("dispatcher", load, SimulateDispatcher(load, seed), report);
    peak = std::max(peak, goodput);
    at_ten = goodput;
    AddRequestRow("plain_queue", load, SimulatePlainQueue(load, seed), report);
  }
  report->AddTarget("goodput at 10 times capacity, of its peak", at_ten / peak, ">= 0.95",
                    at_ten / peak >= kGoodputTarget);
}

}  // namespace pomelotray
