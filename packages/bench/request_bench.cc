#include "bench/request_bench.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/request_simulation.h"

namespace pomelotray {
namespace {

constexpr double kGoodputTarget = 0.95;

using Simulate = std::function<RequestOutcome(double load, uint64_t seed)>;

BenchReport::Row MakeRow(const std::string& variant, double load, const RequestOutcome& outcome) {
  const double seconds = absl::ToDoubleSeconds(kRequestRunTime);
  const double goodput = static_cast<double>(outcome.in_time) / seconds / RequestSource::Capacity();
  return {{"load", load},
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
          {"in_time_c", outcome.in_time_by_customer[2]}};
}

// Returns the goodput of each seed, relative to the capacity of all slots.
std::vector<double> RunVariant(const std::string& variant, double load, const Simulate& simulate,
                               const std::vector<uint64_t>& seeds, BenchReport* report) {
  std::vector<BenchReport::Row> runs;
  std::vector<double> goodputs;
  for (const uint64_t seed : seeds) {
    runs.push_back(MakeRow(variant, load, simulate(load, seed)));
    goodputs.push_back(runs.back()["goodput_of_capacity"].get<double>());
  }
  report->AddMedianRow("requests", runs, {"goodput_of_capacity", "p99_ms"});
  return goodputs;
}

}  // namespace

void RunRequestBench(const std::vector<uint64_t>& seeds, BenchReport* report) {
  std::vector<double> peaks(seeds.size(), 0);
  std::vector<double> peak_fractions;
  for (const double load : {0.5, 0.8, 0.95, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0}) {
    const std::vector<double> goodputs =
        RunVariant("dispatcher", load, SimulateDispatcher, seeds, report);
    peak_fractions.clear();
    for (size_t i = 0; i < seeds.size(); ++i) {
      peaks[i] = std::max(peaks[i], goodputs[i]);
      peak_fractions.push_back(goodputs[i] / peaks[i]);
    }
    RunVariant("plain_queue", load, SimulatePlainQueue, seeds, report);
    for (const int instances : {2, 4}) {
      RunVariant(
          absl::StrCat("split_", instances), load,
          [instances](double at, uint64_t seed) {
            return SimulateDispatcherInstances(instances, at, seed);
          },
          seeds, report);
    }
  }
  report->AddLowerTarget("goodput at 10 times capacity, of its peak", peak_fractions,
                         kGoodputTarget);
}

}  // namespace pomelotray
