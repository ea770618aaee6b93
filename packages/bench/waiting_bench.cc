#include "bench/waiting_bench.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/cluster_simulation.h"

namespace pomelotray {
namespace {

// Overload shows its effect in less simulated time and is more expensive to simulate per hour.
absl::Duration SimulatedTimeAt(double load) {
  return load > 5 ? absl::Minutes(15) : load > 1 ? absl::Minutes(30) : absl::Hours(2);
}
// The load at which the waiting times are compared with the baselines.
constexpr double kWaitTargetLoad = 0.95;
constexpr double kUrgentBoundSeconds = 6.3;
// Target for the smallest fairness ratio in overload. The design specifies no value for it; this
// one is defined only here.
constexpr double kFairShareTarget = 0.9;

std::vector<PolicyConfig> PolicyConfigs() {
  return {{"fair-share", "packing", false},     {"fair-share", "packing", true},
          {"deadline-share", "packing", false}, {"fair-share", "first-fit", false},
          {"fifo", "packing", false},           {"fifo", "first-fit", false},
          {"fifo", "least-loaded", false},      {"fifo", "random", false}};
}

BenchReport::Row MakeRow(const ShardModel& shard, const LoadConfig& load,
                         const PolicyConfig& choice, const ClusterOutcome& outcome) {
  return {{"shard", shard.name},
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
          {"jain", outcome.jain_index}};
}

// Runs one simulation per seed, each in its own thread; the simulations share no mutable state.
std::vector<ClusterOutcome> RunSeeds(const ShardModel& shard, const PolicyConfig& choice,
                                     const LoadConfig& load, const std::vector<uint64_t>& seeds) {
  std::vector<ClusterOutcome> outcomes(seeds.size());
  std::vector<std::thread> threads;
  for (size_t i = 0; i < seeds.size(); ++i) {
    threads.emplace_back([&, i] {
      outcomes[i] =
          ClusterSimulation(shard, choice, load, seeds[i]).Run(SimulatedTimeAt(load.load));
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return outcomes;
}

// The p99 waiting times of jobs with a deadline, one value per seed: for each evaluated queue
// order, and the smallest value of all baselines.
struct DeadlineWaits {
  std::map<std::string, std::vector<double>> evaluated;
  std::vector<double> baseline;
};

void AddWaitTargets(const ShardModel& shard, const LoadConfig& load, const DeadlineWaits& waits,
                    BenchReport* report) {
  for (const auto& [order, evaluated] : waits.evaluated) {
    std::vector<double> ratios;
    for (size_t i = 0; i < evaluated.size(); ++i) {
      // The ratio is undefined if the best baseline does not wait.
      if (waits.baseline[i] > 0) {
        ratios.push_back(evaluated[i] / waits.baseline[i]);
      }
    }
    report->AddUpperTarget(
        absl::StrCat("p99 wait of deadline work at 0.95 load of the best baseline's, ",
                     load.steady ? "steady" : "peaks", ", ", order, ", ", shard.name),
        ratios, 0.5);
  }
}

// Runs all policy configurations at one load. Appends the longest waiting time of urgent jobs in
// each run of an evaluated (non-baseline) configuration to `urgent_max`.
void RunLoad(const ShardModel& shard, const LoadConfig& load, const std::vector<uint64_t>& seeds,
             std::vector<double>* urgent_max, BenchReport* report) {
  DeadlineWaits waits;
  waits.baseline.assign(seeds.size(), std::numeric_limits<double>::infinity());
  for (const PolicyConfig& choice : PolicyConfigs()) {
    std::vector<BenchReport::Row> rows;
    std::vector<double> fairness;
    const bool evaluated =
        choice.order != "fifo" && choice.placement == "packing" && !choice.admission;
    const bool baseline = choice.order == "fifo" && choice.placement != "packing";
    const std::vector<ClusterOutcome> outcomes = RunSeeds(shard, choice, load, seeds);
    for (size_t i = 0; i < seeds.size(); ++i) {
      rows.push_back(MakeRow(shard, load, choice, outcomes[i]));
      fairness.push_back(outcomes[i].least_fair_ratio);
      const double p99 = outcomes[i].deadline_wait.Quantile(0.99);
      if (baseline) {
        waits.baseline[i] = std::min(waits.baseline[i], p99);
      }
      if (evaluated) {
        waits.evaluated[choice.order].push_back(p99);
        urgent_max->push_back(outcomes[i].urgent_wait.Quantile(1));
      }
    }
    report->AddMedianRow("waiting", rows, {"deadline_p99_s", "misses", "least_fair"});
    if (evaluated && load.load > 1) {
      report->AddLowerTarget(absl::StrCat("least share of a contract, of its fair one, at ",
                                          load.load, "x, ", choice.order, ", ", shard.name),
                             fairness, kFairShareTarget);
    }
  }
  if (load.load == kWaitTargetLoad) {
    AddWaitTargets(shard, load, waits, report);
  }
}

}  // namespace

void RunWaitingBench(const std::vector<uint64_t>& seeds, BenchReport* report) {
  const ShardModel gangs = MakeGangShard();
  std::vector<double> gangs_urgent_max;
  RunLoad(gangs, LoadConfig{2.0, false}, seeds, &gangs_urgent_max, report);
  report->AddUpperTarget("longest wait of urgent work in s in a pool full of gangs, 2x",
                         gangs_urgent_max, kUrgentBoundSeconds);
  for (const ShardModel& shard : {MakeRenderingShard(), MakeLabelsShard()}) {
    std::vector<double> urgent_max;
    for (const LoadConfig& load :
         {LoadConfig{0.5, false}, LoadConfig{0.8, false}, LoadConfig{kWaitTargetLoad, false},
          LoadConfig{kWaitTargetLoad, true}, LoadConfig{2.0, false}, LoadConfig{10.0, false}}) {
      RunLoad(shard, load, seeds, &urgent_max, report);
    }
    report->AddUpperTarget(
        absl::StrCat("longest wait of urgent work in s over all loads, ", shard.name), urgent_max,
        kUrgentBoundSeconds);
  }
}

}  // namespace pomelotray
