#include "bench/waiting_bench.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/cluster_simulation.h"

namespace pomelotray {
namespace {

// Overloads need less time to show their effect, and cost more per simulated hour.
absl::Duration LengthAt(double load) {
  return load > 5 ? absl::Minutes(15) : load > 1 ? absl::Minutes(30) : absl::Hours(2);
}
constexpr double kJudgedLoad = 0.95;
constexpr double kUrgentBoundSeconds = 6.3;

std::vector<PolicyChoice> Choices() {
  return {{"fair-share", "packing", false},     {"fair-share", "packing", true},
          {"deadline-share", "packing", false}, {"fair-share", "first-fit", false},
          {"fifo", "packing", false},           {"fifo", "first-fit", false},
          {"fifo", "least-loaded", false},      {"fifo", "random", false}};
}

void AddWaitingRow(const ShardModel& shard, const LoadChoice& load, const PolicyChoice& choice,
                   const ClusterOutcome& outcome, BenchReport* report) {
  report->AddRow("waiting", {{"shard", shard.name},
                             {"load", load.load},
                             {"arrivals", load.steady ? "steady" : "peaks"},
                             {"order", choice.order},
                             {"placement", choice.placement},
                             {"admission", choice.admission},
                             {"jobs", outcome.jobs},
                             {"refused", outcome.refused},
                             {"p50_s", outcome.wait.Quantile(0.5)},
                             {"p99_s", outcome.wait.Quantile(0.99)},
                             {"p999_s", outcome.wait.Quantile(0.999)},
                             {"deadline_p50_s", outcome.deadline_wait.Quantile(0.5)},
                             {"deadline_p99_s", outcome.deadline_wait.Quantile(0.99)},
                             {"deadline_p999_s", outcome.deadline_wait.Quantile(0.999)},
                             {"deadline_jobs", outcome.deadline_jobs},
                             {"misses", outcome.deadline_misses},
                             {"urgent_max_s", outcome.urgent_wait.Quantile(1)},
                             {"preemptions", outcome.preemptions},
                             {"idle_while_waiting", outcome.idle_while_waiting},
                             {"stranded", outcome.stranded},
                             {"least_fair", outcome.least_fair_ratio},
                             {"jain", outcome.jain_index}});
}

void AddWaitTarget(const ShardModel& shard, const LoadChoice& load, const std::string& order,
                   double own_p99, double baseline_p99, BenchReport* report) {
  // Nothing can be judged where the best baseline does not wait.
  if (baseline_p99 <= 0) {
    return;
  }
  const double ratio = own_p99 / baseline_p99;
  report->AddTarget(absl::StrCat("p99 wait of deadline work at 0.95 load of the best baseline's, ",
                                 load.steady ? "steady" : "peaks", ", ", order, ", ", shard.name),
                    ratio, "<= 0.5", ratio <= 0.5);
}

void AddUrgentTarget(const ShardModel& shard, double urgent_max, BenchReport* report) {
  report->AddTarget(absl::StrCat("longest wait of urgent work in s over all loads, ", shard.name),
                    urgent_max, "<= 6.3", urgent_max <= kUrgentBoundSeconds);
}

// Runs all choices at one load; returns the longest wait of urgent work under the own policies.
double RunLoad(const ShardModel& shard, const LoadChoice& load, uint64_t seed,
               BenchReport* report) {
  std::map<std::string, double> own_p99;
  double baseline_p99 = std::numeric_limits<double>::infinity();
  double urgent_max = 0;
  for (const PolicyChoice& choice : Choices()) {
    const ClusterOutcome outcome =
        ClusterSimulation(shard, choice, load, seed).Run(LengthAt(load.load));
    AddWaitingRow(shard, load, choice, outcome, report);
    const double p99 = outcome.deadline_wait.Quantile(0.99);
    if (choice.order == "fifo" && choice.placement != "packing") {
      baseline_p99 = std::min(baseline_p99, p99);
    }
    if (choice.order != "fifo" && choice.placement == "packing" && !choice.admission) {
      own_p99[choice.order] = p99;
      urgent_max = std::max(urgent_max, outcome.urgent_wait.Quantile(1));
    }
  }
  if (load.load == kJudgedLoad) {
    for (const auto& [order, p99] : own_p99) {
      AddWaitTarget(shard, load, order, p99, baseline_p99, report);
    }
  }
  return urgent_max;
}

}  // namespace

void RunWaitingBench(uint64_t seed, BenchReport* report) {
  for (const ShardModel& shard : {MakeRenderingShard(), MakeLabelsShard()}) {
    double urgent_max = 0;
    for (const LoadChoice& load :
         {LoadChoice{0.5, false}, LoadChoice{0.8, false}, LoadChoice{kJudgedLoad, false},
          LoadChoice{kJudgedLoad, true}, LoadChoice{2.0, false}, LoadChoice{10.0, false}}) {
      urgent_max = std::max(urgent_max, RunLoad(shard, load, seed, report));
    }
    AddUrgentTarget(shard, urgent_max, report);
  }
}

}  // namespace pomelotray
