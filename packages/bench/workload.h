#ifndef POMELOTRAY_BENCH_WORKLOAD_H_
#define POMELOTRAY_BENCH_WORKLOAD_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "model/job.h"
#include "scheduler/schedule_types.h"

namespace pomelotray {

// One kind of job that a customer submits.
struct JobClass {
  std::string customer;
  Resources demand;
  int64_t tasks = 1;
  JobKind kind = JobKind::kBatch;
  Priority priority = Priority::kNormal;
  bool repeatable = true;
  // Zero for no deadline.
  absl::Duration deadline;
  absl::Duration median_run;
  // Part of the offered load.
  double load_part = 0;
};

// A shard of one of the two users with its customers.
struct ShardModel {
  std::string name;
  std::vector<SchedulableWorker> workers;
  std::vector<JobClass> classes;
  std::vector<std::pair<std::string, double>> weights;

  Resources Capacity() const;
};

// Sign shop: rendering on 13 workers with accelerators.
ShardModel MakeRenderingShard();
// Market association: tag printing and origin sheets on 35 workers without accelerators.
ShardModel MakeLabelsShard();

// Accelerator workers that gangs fill alone, beside a little urgent work.
ShardModel MakeGangShard();

struct SimulatedJob {
  JobRecord record;
  // Real run time of each task; the declared one is up to ten times too long or too short.
  std::vector<absl::Duration> run_times;
};

// Poisson arrivals per class with festival peaks: for six minutes of each half hour the rate is
// three times that of the rest, unless the load is steady.
class Workload {
 public:
  // `load` is the mean relative to the capacity of the dominant resource.
  Workload(const ShardModel& shard, double load, bool steady, uint64_t seed);

  // All jobs that arrive in [start, start + length), by arrival.
  std::vector<SimulatedJob> Generate(absl::Time start, absl::Duration length);

 private:
  double RatePerSecond(const JobClass& job_class) const;
  SimulatedJob MakeSimulatedJob(const JobClass& job_class, absl::Time arrival);

  const ShardModel& shard_;
  double load_;
  bool steady_;
  std::mt19937_64 random_;
  int64_t next_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_WORKLOAD_H_
