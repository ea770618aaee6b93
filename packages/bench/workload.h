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

// A class of similar jobs that one customer submits.
struct JobClass {
  std::string customer;
  Resources demand;
  int64_t tasks = 1;
  JobKind kind = JobKind::kBatch;
  Priority priority = Priority::kNormal;
  bool repeatable = true;
  // Time from arrival to the deadline; zero for no deadline.
  absl::Duration deadline;
  absl::Duration median_run;
  // Fraction of the offered load.
  double load_fraction = 0;
};

// A modelled shard: its workers, the job classes submitted to it and the weights of its customers.
struct ShardModel {
  std::string name;
  std::vector<SchedulableWorker> workers;
  std::vector<JobClass> classes;
  std::vector<std::pair<std::string, double>> weights;

  Resources Capacity() const;
};

// A sign shop that renders images on 13 workers with accelerators.
ShardModel MakeRenderingShard();
// A market association that prints price tags and certificates of origin on 35 workers without
// accelerators.
ShardModel MakeLabelsShard();

// 13 workers with accelerators, loaded with gang jobs (99%) and a few urgent jobs (1%).
ShardModel MakeGangShard();

// A generated job and its actual run times.
struct SimulatedJob {
  JobRecord record;
  // Actual run time of each task. The declared run time is wrong by a factor of up to ten in
  // either direction.
  std::vector<absl::Duration> run_times;
};

// Generates Poisson arrivals for each job class. Unless the load is steady, the arrival rate has
// peaks: for the first six minutes of each half hour it is three times the rate of the rest.
class Workload {
 public:
  // `load` is the mean load relative to the capacity of the dominant resource.
  Workload(const ShardModel& shard, double load, bool steady, uint64_t seed);

  // Returns all jobs that arrive in [start, start + length), sorted by arrival time.
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
