#include "bench/decision_bench.h"

#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/manual_clock.h"
#include "bench/bench_limits.h"
#include "bench/samples.h"
#include "scheduler/shard_scheduler_builder.h"

namespace pomelotray {
namespace {

constexpr int kDecisions = 20'000;
constexpr int kCustomers = 86;
constexpr double kFillFraction = 0.85;
constexpr size_t kBacklogTasks = 2'000;

struct TaskShape {
  int64_t cores;
  int64_t gib;
  int64_t accelerators;
};
constexpr std::array<TaskShape, 8> kTaskShapes = {{{1, 4, 0},
                                                   {2, 8, 0},
                                                   {4, 8, 0},
                                                   {8, 64, 0},
                                                   {4, 16, 1},
                                                   {8, 32, 1},
                                                   {16, 64, 2},
                                                   {32, 128, 4}}};

double Microseconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

// Keeps a pool at a constant utilization and times scheduling calls of one decision each.
class DecisionLoop {
 public:
  DecisionLoop(int workers, const std::string& placement, uint64_t seed) : random_(seed) {
    ShardSchedulerBuilder builder;
    builder.SetClock(&clock_).SetLimits(&limits_).SetSeed(seed);
    builder.SetPlacementPolicy(MakePlacementPolicy(placement, seed));
    scheduler_ = builder.Build();
    for (int i = 0; i < workers; ++i) {
      // Every fourth worker VM has eight accelerators: two per worker on average.
      const Resources capacity = MakeCapacity(64, 256, i % 4 == 0 ? 8 : 0);
      scheduler_->UpsertWorker(
          {WorkerId(absl::StrCat("w", i)), RackId(absl::StrCat("r", i / 5)), capacity});
      total_cores_ += 64;
    }
  }

  // Makes kDecisions scheduling calls of at most one placement and adds the time of each to
  // `times`, in microseconds. Returns the number of placements.
  int Run(bool full, Samples* times) {
    Fill(full);
    int decisions = 0;
    for (int i = 0; i < kDecisions; ++i) {
      clock_.Advance(absl::Milliseconds(1));
      ReleaseOne();
      EnqueueOne();
      const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
      const ScheduleDecisions round = scheduler_->Schedule(1);
      times->Add(Microseconds(std::chrono::steady_clock::now() - start));
      decisions += static_cast<int>(round.placements.size());
      Record(round);
    }
    return decisions;
  }

 private:
  void EnqueueOne() {
    const TaskShape& shape = kTaskShapes[random_() % kTaskShapes.size()];
    JobRecord job;
    job.id = JobId(absl::StrCat("job", next_job_++));
    job.spec.customer = CustomerId(absl::StrCat("team", random_() % kCustomers));
    job.spec.pool = PoolName("pool");
    job.spec.demand = MakeCapacity(shape.cores, shape.gib, shape.accelerators);
    job.spec.expected_run = absl::Seconds(60);
    job.accepted_at = clock_.Now();
    TaskStatus status;
    status.task = MakeTaskId(job.id, 0);
    job.tasks.push_back(status);
    scheduler_->Enqueue(job);
  }

  void Record(const ScheduleDecisions& round) {
    for (const Placement& placement : round.placements) {
      running_.emplace_back(placement.task, placement.demand.cpu.value() / 1000);
      used_cores_ += placement.demand.cpu.value() / 1000;
    }
  }

  void ReleaseOne() {
    if (running_.empty()) {
      return;
    }
    std::swap(running_[random_() % running_.size()], running_.back());
    scheduler_->Release(running_.back().first);
    used_cores_ -= running_.back().second;
    running_.pop_back();
  }

  void Fill(bool full) {
    while (static_cast<double>(used_cores_) < kFillFraction * static_cast<double>(total_cores_) &&
           scheduler_->QueuedTasks() < kBacklogTasks) {
      for (int i = 0; i < 100; ++i) {
        EnqueueOne();
      }
      Record(scheduler_->Schedule(1'000));
    }
    while (full && scheduler_->QueuedTasks() < kBacklogTasks) {
      for (int i = 0; i < 100; ++i) {
        EnqueueOne();
      }
      Record(scheduler_->Schedule(1'000));
    }
  }

  ManualClock clock_;
  BenchLimits limits_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::mt19937_64 random_;
  std::vector<std::pair<TaskId, int64_t>> running_;
  int64_t used_cores_ = 0;
  int64_t total_cores_ = 0;
  int next_job_ = 0;
};

}  // namespace

void RunDecisionBench(uint64_t seed, BenchReport* report) {
  std::map<std::pair<std::string, int>, double> mean;
  for (const char* policy : {"packing", "first-fit", "least-loaded", "random"}) {
    for (const int workers : {35, 350, 4'100}) {
      for (const bool full : {false, true}) {
        DecisionLoop loop(workers, policy, seed);
        Samples times;
        const int decisions = loop.Run(full, &times);
        const double total_seconds = times.Mean() * static_cast<double>(times.count()) / 1e6;
        const double rate = decisions / total_seconds;
        report->AddRow("decisions", {{"workers", workers},
                                     {"placement", policy},
                                     {"pool", full ? "full" : "nearly_full"},
                                     {"decisions_per_s", rate},
                                     {"mean_us", times.Mean()},
                                     {"p50_us", times.Quantile(0.5)},
                                     {"p99_us", times.Quantile(0.99)},
                                     {"max_us", times.Quantile(1)}});
        if (!full) {
          mean[{policy, workers}] = times.Mean();
        }
        if (workers == 4'100 && std::string(policy) == "packing") {
          const std::string pool = full ? "full pool" : "nearly full pool";
          report->AddLowerTarget("decisions per second at 4,100 workers, " + pool, {rate}, 5'000);
          report->AddUpperTarget("p99 decision time in us at 4,100 workers, " + pool,
                                 {times.Quantile(0.99)}, 1'000);
        }
      }
    }
  }
  // The growth exponent e, where the decision time is proportional to workers^e.
  const double exponent =
      std::log(mean[{"packing", 4'100}] / mean[{"packing", 35}]) / std::log(4'100.0 / 35);
  report->AddUpperTarget("growth exponent of decision time, 35 to 4,100 workers", {exponent}, 1);
}

}  // namespace pomelotray
