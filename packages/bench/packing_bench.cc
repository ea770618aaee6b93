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
constexpr double kTarget = 0.97;

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

// `together`: all tasks are queued before the first decision; otherwise one by one.
double PackedByPolicy(const PackingCase& packing_case, const std::string& placement,
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

}  // namespace

void RunPackingBench(uint64_t seed, BenchReport* report) {
  constexpr std::array<Variant, 5> kVariants = {{{"packing", "fair-share"},
                                                 {"packing", "fifo"},
                                                 {"first-fit", "fifo"},
                                                 {"least-loaded", "fifo"},
                                                 {"random", "fifo"}}};
  std::mt19937_64 random(seed);
  std::vector<PackingCase> cases;
  std::vector<double> best;
  for (int i = 0; i < kCases; ++i) {
    cases.push_back(MakeCase(&random));
    best.push_back(BestPackedValue(cases.back().workers, cases.back().tasks));
  }
  for (const bool together : {true, false}) {
    for (const Variant& variant : kVariants) {
      Samples ratios;
      int reached = 0;
      for (size_t i = 0; i < cases.size(); ++i) {
        const double value =
            PackedByPolicy(cases[i], variant.placement, variant.order, together, seed + i);
        ratios.Add(value / best[i]);
        reached += value >= kTarget * best[i] ? 1 : 0;
      }
      report->AddRow("packing", {{"arrivals", together ? "together" : "one_by_one"},
                                 {"placement", variant.placement},
                                 {"order", variant.order},
                                 {"cases", kCases},
                                 {"mean_of_optimum", ratios.Mean()},
                                 {"p10_of_optimum", ratios.Quantile(0.1)},
                                 {"worst_of_optimum", ratios.Quantile(0)},
                                 {"cases_at_target", reached}});
      if (&variant == &kVariants.front()) {
        report->AddTarget(absl::StrCat("packing against the exact optimum, arrivals ",
                                       together ? "together" : "one by one"),
                          ratios.Mean(), ">= 0.97", ratios.Mean() >= kTarget);
      }
    }
  }
}

}  // namespace pomelotray
