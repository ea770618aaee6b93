#include "bench/packing_bench.h"

#include <array>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/manual_clock.h"
#include "bench/bench_limits.h"
#include "bench/exact_packing.h"
#include "bench/samples.h"
#include "scheduler/shard_scheduler_builder.h"

namespace pomelotray {
namespace {

constexpr int kCases = 300;
constexpr double kOptimumFractionTarget = 0.97;

struct PackingCase {
  std::vector<Resources> workers;
  std::vector<Resources> tasks;
};

PackingCase MakeCase(std::mt19937_64* random) {
  const std::array<Resources, 8> shapes = {MakeCapacity(8, 16, 1),  MakeCapacity(4, 64, 1),
                                           MakeCapacity(16, 64, 2), MakeCapacity(8, 32, 3),
                                           MakeCapacity(32, 96, 4), MakeCapacity(48, 192, 8),
                                           MakeCapacity(16, 32, 0), MakeCapacity(24, 128, 0)};
  PackingCase packing_case;
  const size_t workers = 2 + (*random)() % 2;
  packing_case.workers.assign(workers, MakeCapacity(64, 256, 8));
  const size_t tasks = 5 * workers;
  for (size_t i = 0; i < tasks; ++i) {
    packing_case.tasks.push_back(shapes[(*random)() % shapes.size()]);
  }
  return packing_case;
}

// Returns the total value that the scheduler places. If `together` is set, all tasks are queued
// before the first scheduling call; otherwise the scheduler runs after each task.
double PackWithPolicy(const PackingCase& packing_case, const std::string& placement,
                      const std::string& order, bool together, uint64_t seed) {
  ManualClock clock;
  BenchLimits limits;
  ShardSchedulerBuilder builder;
  builder.SetClock(&clock).SetLimits(&limits).SetSeed(seed);
  builder.SetQueuePolicy(MakeQueuePolicy(order));
  builder.SetPlacementPolicy(MakePlacementPolicy(placement, seed));
  const std::unique_ptr<ShardScheduler> scheduler = builder.Build();
  for (size_t i = 0; i < packing_case.workers.size(); ++i) {
    scheduler->UpsertWorker({WorkerId(absl::StrCat("w", i)), RackId("r"), packing_case.workers[i]});
  }
  double value = 0;
  const auto schedule = [&scheduler, &value] {
    for (const Placement& placed : scheduler->Schedule(1'000).placements) {
      value += PackedValue(placed.demand);
    }
  };
  for (size_t i = 0; i < packing_case.tasks.size(); ++i) {
    JobRecord job;
    job.id = JobId(absl::StrCat("job", i));
    job.spec.customer = CustomerId("a");
    job.spec.demand = packing_case.tasks[i];
    job.accepted_at = clock.Now();
    TaskStatus status;
    status.task = MakeTaskId(job.id, 0);
    job.tasks.push_back(status);
    scheduler->Enqueue(job);
    if (!together) {
      schedule();
    }
  }
  schedule();
  return value;
}

struct Variant {
  const char* placement;
  const char* order;
};

// The random packing cases of one seed and the exact optimum of each case.
struct CaseSet {
  uint64_t seed = 0;
  std::vector<PackingCase> cases;
  std::vector<double> optima;
};

CaseSet MakeCaseSet(uint64_t seed) {
  CaseSet set;
  set.seed = seed;
  std::mt19937_64 random(seed);
  for (int i = 0; i < kCases; ++i) {
    set.cases.push_back(MakeCase(&random));
    set.optima.push_back(BestPackedValue(set.cases.back().workers, set.cases.back().tasks));
  }
  return set;
}

BenchReport::Row RunCaseSet(const CaseSet& set, const Variant& variant, bool together) {
  Samples ratios;
  int cases_at_target = 0;
  for (size_t i = 0; i < set.cases.size(); ++i) {
    const double value =
        PackWithPolicy(set.cases[i], variant.placement, variant.order, together, set.seed + i);
    ratios.Add(value / set.optima[i]);
    cases_at_target += value >= kOptimumFractionTarget * set.optima[i] ? 1 : 0;
  }
  return {{"arrivals", together ? "together" : "one_by_one"},
          {"placement", variant.placement},
          {"order", variant.order},
          {"cases", kCases},
          {"mean_of_optimum", ratios.Mean()},
          {"p10_of_optimum", ratios.Quantile(0.1)},
          {"worst_of_optimum", ratios.Quantile(0)},
          {"cases_at_target", cases_at_target}};
}

}  // namespace

void RunPackingBench(const std::vector<uint64_t>& seeds, BenchReport* report) {
  constexpr std::array<Variant, 5> kVariants = {{{"packing", "fair-share"},
                                                 {"packing", "fifo"},
                                                 {"first-fit", "fifo"},
                                                 {"least-loaded", "fifo"},
                                                 {"random", "fifo"}}};
  std::vector<CaseSet> sets;
  sets.reserve(seeds.size());
  for (const uint64_t seed : seeds) {
    sets.push_back(MakeCaseSet(seed));
  }
  for (const bool together : {true, false}) {
    for (const Variant& variant : kVariants) {
      std::vector<BenchReport::Row> runs;
      std::vector<double> means;
      for (const CaseSet& set : sets) {
        runs.push_back(RunCaseSet(set, variant, together));
        means.push_back(runs.back()["mean_of_optimum"].get<double>());
      }
      report->AddMedianRow("packing", runs, {"mean_of_optimum"});
      if (&variant == &kVariants.front()) {
        report->AddLowerTarget(absl::StrCat("packing against the exact optimum, arrivals ",
                                            together ? "together" : "one by one"),
                               means, kOptimumFractionTarget);
      }
    }
  }
}

}  // namespace pomelotray
