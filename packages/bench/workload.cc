#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "bench/bench_limits.h"

namespace pomelotray {
namespace {

constexpr double kRunSigma = 0.7;
constexpr double kPeakFactor = 3.0;
constexpr absl::Duration kPeakPeriod = absl::Minutes(30);
constexpr absl::Duration kPeakLength = absl::Minutes(6);

double MeanRunSeconds(const JobClass& job_class) {
  return absl::ToDoubleSeconds(job_class.median_run) * std::exp(kRunSigma * kRunSigma / 2);
}

bool InPeak(absl::Duration since_start) { return since_start % kPeakPeriod < kPeakLength; }

// Returns the arrival rate outside of peaks, relative to the mean rate.
double OffPeakFactor() {
  const double peak_fraction = absl::FDivDuration(kPeakLength, kPeakPeriod);
  return 1 / (peak_fraction * kPeakFactor + 1 - peak_fraction);
}

std::vector<SchedulableWorker> MakeWorkers(int count, int per_rack, const Resources& capacity) {
  std::vector<SchedulableWorker> workers;
  workers.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    workers.push_back(SchedulableWorker{WorkerId(absl::StrCat("w", i)),
                                        RackId(absl::StrCat("r", i / per_rack)), capacity});
  }
  return workers;
}

JobClass MakeClass(std::string customer, const Resources& demand, absl::Duration deadline,
                   absl::Duration median_run, double load_fraction) {
  JobClass job_class;
  job_class.customer = std::move(customer);
  job_class.demand = demand;
  job_class.deadline = deadline;
  job_class.median_run = median_run;
  job_class.load_fraction = load_fraction;
  return job_class;
}

}  // namespace

Resources ShardModel::Capacity() const {
  Resources sum;
  for (const SchedulableWorker& worker : workers) {
    sum += worker.capacity;
  }
  return sum;
}

ShardModel MakeRenderingShard() {
  ShardModel shard;
  shard.name = "rendering";
  shard.workers = MakeWorkers(13, 3, MakeCapacity(64, 256, 8));
  shard.weights = {{"counter", 3}, {"website", 2}, {"catalogue", 1}, {"research", 1}};
  shard.classes = {
      MakeClass("counter", MakeCapacity(4, 16, 1), absl::Minutes(2), absl::Seconds(15), 0.25),
      MakeClass("website", MakeCapacity(8, 24, 1), absl::Minutes(15), absl::Seconds(60), 0.30),
      MakeClass("website", MakeCapacity(16, 64, 2), absl::Minutes(30), absl::Seconds(120), 0.15),
      MakeClass("catalogue", MakeCapacity(24, 96, 4), absl::ZeroDuration(), absl::Minutes(4), 0.14),
      MakeClass("catalogue", MakeCapacity(12, 24, 0), absl::ZeroDuration(), absl::Minutes(1), 0.05),
      MakeClass("research", MakeCapacity(16, 64, 4), absl::ZeroDuration(), absl::Minutes(5), 0.10),
      MakeClass("counter", MakeCapacity(4, 16, 1), absl::Minutes(2), absl::Seconds(10), 0.01)};
  JobClass& gang = shard.classes[5];
  gang.kind = JobKind::kGang;
  gang.tasks = 3;
  shard.classes[6].priority = Priority::kUrgent;
  return shard;
}

ShardModel MakeLabelsShard() {
  ShardModel shard;
  shard.name = "labels";
  shard.workers = MakeWorkers(35, 5, MakeCapacity(64, 256, 0));
  shard.weights = {{"stalls", 3}, {"origin", 2}, {"grading", 2}, {"archive", 1}};
  shard.classes = {
      MakeClass("stalls", MakeCapacity(4, 8, 0), absl::Minutes(2), absl::Seconds(20), 0.25),
      MakeClass("origin", MakeCapacity(8, 32, 0), absl::Hours(1), absl::Minutes(3), 0.30),
      MakeClass("grading", MakeCapacity(4, 24, 0), absl::Minutes(10), absl::Seconds(45), 0.24),
      MakeClass("archive", MakeCapacity(48, 128, 0), absl::ZeroDuration(), absl::Minutes(6), 0.20),
      MakeClass("stalls", MakeCapacity(4, 8, 0), absl::Minutes(2), absl::Seconds(20), 0.01)};
  // A repeated print job would print its tags twice.
  shard.classes[0].repeatable = false;
  shard.classes[4].priority = Priority::kUrgent;
  return shard;
}

ShardModel MakeGangShard() {
  ShardModel shard;
  shard.name = "gangs";
  shard.workers = MakeWorkers(13, 3, MakeCapacity(64, 256, 8));
  shard.weights = {{"counter", 3}, {"research", 1}};
  shard.classes = {
      MakeClass("research", MakeCapacity(16, 64, 4), absl::ZeroDuration(), absl::Minutes(5), 0.99),
      MakeClass("counter", MakeCapacity(4, 16, 1), absl::Minutes(2), absl::Seconds(10), 0.01)};
  shard.classes[0].kind = JobKind::kGang;
  shard.classes[0].tasks = 3;
  shard.classes[1].priority = Priority::kUrgent;
  return shard;
}

Workload::Workload(const ShardModel& shard, double load, bool steady, uint64_t seed)
    : shard_(shard), load_(load), steady_(steady), random_(seed) {}

double Workload::RatePerSecond(const JobClass& job_class) const {
  const double share_seconds = DominantShare(job_class.demand, shard_.Capacity()) *
                               static_cast<double>(job_class.tasks) * MeanRunSeconds(job_class);
  return load_ * job_class.load_fraction / share_seconds;
}

SimulatedJob Workload::MakeSimulatedJob(const JobClass& job_class, absl::Time arrival) {
  std::lognormal_distribution<double> run(std::log(absl::ToDoubleSeconds(job_class.median_run)),
                                          kRunSigma);
  std::uniform_real_distribution<double> declared_error(-1, 1);
  SimulatedJob job;
  JobRecord& record = job.record;
  record.id = JobId(absl::StrCat("job", next_++));
  record.accepted_at = arrival;
  record.spec.customer = CustomerId(job_class.customer);
  record.spec.pool = PoolName(shard_.name);
  record.spec.kind = job_class.kind;
  record.spec.priority = job_class.priority;
  record.spec.repeatable = job_class.repeatable;
  record.spec.demand = job_class.demand;
  record.spec.task_count = job_class.tasks;
  if (job_class.deadline > absl::ZeroDuration()) {
    record.spec.deadline = arrival + job_class.deadline;
  }
  // All tasks of one job have the same run time.
  const absl::Duration run_time = absl::Seconds(run(random_));
  record.spec.expected_run = run_time * std::pow(10, declared_error(random_));
  for (int64_t i = 0; i < job_class.tasks; ++i) {
    TaskStatus status;
    status.task = MakeTaskId(record.id, i);
    record.tasks.push_back(status);
    job.run_times.push_back(run_time);
  }
  return job;
}

std::vector<SimulatedJob> Workload::Generate(absl::Time start, absl::Duration length) {
  std::vector<SimulatedJob> jobs;
  for (const JobClass& job_class : shard_.classes) {
    // Thinning: arrivals are generated at the peak rate, and outside of peaks each is kept with
    // the probability 1 / kPeakFactor.
    const double peak_factor = steady_ ? 1 : OffPeakFactor() * kPeakFactor;
    std::exponential_distribution<double> gap(RatePerSecond(job_class) * peak_factor);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (absl::Duration at = absl::Seconds(gap(random_)); at < length;
         at += absl::Seconds(gap(random_))) {
      if (steady_ || InPeak(at) || uniform(random_) < 1 / kPeakFactor) {
        jobs.push_back(MakeSimulatedJob(job_class, start + at));
      }
    }
  }
  std::sort(jobs.begin(), jobs.end(), [](const SimulatedJob& a, const SimulatedJob& b) {
    return a.record.accepted_at < b.record.accepted_at;
  });
  return jobs;
}

}  // namespace pomelotray
