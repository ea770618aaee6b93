#include "bench/cluster_simulation.h"

#include <algorithm>

#include "scheduler/packing_score.h"
#include "scheduler/shard_scheduler_builder.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kScheduleInterval = absl::Milliseconds(500);
constexpr int kPlacementsPerRound = 256;
// Time that a preempted task takes to checkpoint or to stop. One task in ten ignores the request
// to checkpoint and keeps running.
constexpr absl::Duration kCheckpointTime = absl::Milliseconds(1500);
constexpr absl::Duration kStopTime = absl::Milliseconds(500);
constexpr double kIgnoredCheckpointFraction = 0.1;

}  // namespace

ClusterSimulation::ClusterSimulation(const ShardModel& shard, const PolicyConfig& choice,
                                     const LoadConfig& load, uint64_t seed)
    : shard_(shard), policy_(choice), load_(load), seed_(seed), random_(seed) {
  for (const auto& [customer, weight] : shard.weights) {
    limits_.weights[CustomerId(customer)] = weight;
  }
  ShardSchedulerBuilder builder;
  builder.SetClock(loop_.clock()).SetLimits(&limits_).SetSeed(seed);
  builder.SetQueuePolicy(MakeQueuePolicy(choice.order));
  builder.SetPlacementPolicy(MakePlacementPolicy(choice.placement, seed));
  scheduler_ = builder.Build();
  for (const SchedulableWorker& worker : shard.workers) {
    scheduler_->UpsertWorker(worker);
  }
}

ClusterOutcome ClusterSimulation::Run(absl::Duration length) {
  const absl::Time start = loop_.Now();
  integrated_to_ = start;
  const std::vector<SimulatedJob> arrivals =
      Workload(shard_, load_.load, load_.steady, seed_).Generate(start, length);
  for (const SimulatedJob& job : arrivals) {
    loop_.At(job.record.accepted_at, [this, &job] { Arrive(job); });
  }
  RunPeriodicRound();
  loop_.RunUntil(start + length);
  CountUnfinished();
  ComputeFairness(length);
  const double accelerator_seconds =
      static_cast<double>(shard_.Capacity().accelerators.value()) * absl::ToDoubleSeconds(length);
  if (accelerator_seconds > 0) {
    outcome_.idle_while_waiting = idle_seconds_ / accelerator_seconds;
    outcome_.stranded = stranded_seconds_ / accelerator_seconds;
  }
  return std::move(outcome_);
}

void ClusterSimulation::Arrive(const SimulatedJob& job) {
  const JobSpec& spec = job.record.spec;
  ++outcome_.jobs;
  outcome_.deadline_jobs += spec.deadline.has_value() ? 1 : 0;
  offered_[spec.customer.value()] += DominantShare(spec.demand, shard_.Capacity()) *
                                     static_cast<double>(spec.task_count) *
                                     absl::ToDoubleSeconds(job.run_times.front());
  if (policy_.admission && !Capture([&] { return scheduler_->Admit(spec); }).ok()) {
    ++outcome_.refused;
    return;
  }
  jobs_[job.record.id] = JobState{job, 0, spec.task_count, false};
  waiting_accelerator_tasks_ += spec.demand.accelerators.value() > 0 ? spec.task_count : 0;
  scheduler_->Enqueue(job.record);
  Schedule();
}

void ClusterSimulation::RunPeriodicRound() {
  Expire();
  Schedule();
  loop_.After(kScheduleInterval, [this] { RunPeriodicRound(); });
}

void ClusterSimulation::UpdateTimeIntegrals() {
  const double seconds = absl::ToDoubleSeconds(loop_.Now() - integrated_to_);
  integrated_to_ = loop_.Now();
  if (seconds <= 0 || shard_.Capacity().accelerators.value() == 0) {
    return;
  }
  for (const SchedulableWorker& worker : shard_.workers) {
    const Resources free = worker.capacity - scheduler_->Reserved(worker.id);
    stranded_seconds_ += seconds * StrandedAccelerators(worker.capacity, free);
    if (waiting_accelerator_tasks_ > 0) {
      idle_seconds_ += seconds * static_cast<double>(free.accelerators.value());
    }
  }
}

void ClusterSimulation::Schedule() {
  UpdateTimeIntegrals();
  const ScheduleDecisions round = scheduler_->Schedule(kPlacementsPerRound);
  for (const Preemption& preemption : round.preemptions) {
    Preempt(preemption);
  }
  for (const Placement& placement : round.placements) {
    Start(placement);
  }
}

void ClusterSimulation::Start(const Placement& placement) {
  JobState& state = jobs_.at(placement.job);
  waiting_accelerator_tasks_ -= placement.demand.accelerators.value() > 0 ? 1 : 0;
  const auto checkpoint = remaining_after_stop_.find(placement.task);
  absl::Duration remaining = state.job.run_times.front();
  if (checkpoint != remaining_after_stop_.end()) {
    remaining = checkpoint->second;
    remaining_after_stop_.erase(checkpoint);
  } else if (++state.tasks_started == state.job.record.spec.task_count) {
    RecordWait(state, loop_.Now() - state.job.record.accepted_at);
  }
  const uint64_t run = next_run_++;
  running_[placement.task] =
      RunningTask{placement.job, loop_.Now(), remaining, placement.demand, run};
  loop_.After(remaining, [this, task = placement.task, run] { End(task, run); });
}

void ClusterSimulation::AddReceivedCapacity(const RunningTask& task) {
  received_[jobs_.at(task.job).job.record.spec.customer.value()] +=
      DominantShare(task.demand, shard_.Capacity()) *
      absl::ToDoubleSeconds(loop_.Now() - task.start);
}

void ClusterSimulation::End(const TaskId& task, uint64_t run) {
  const auto it = running_.find(task);
  if (it == running_.end() || it->second.run != run) {
    return;
  }
  UpdateTimeIntegrals();
  AddReceivedCapacity(it->second);
  JobState& state = jobs_.at(it->second.job);
  const JobSpec& spec = state.job.record.spec;
  scheduler_->ObserveRun(spec.customer, spec.pool, state.job.run_times.front(), spec.demand);
  scheduler_->Release(task);
  running_.erase(it);
  if (--state.unfinished_tasks == 0) {
    state.finished = true;
    outcome_.deadline_misses += spec.deadline.has_value() && loop_.Now() > *spec.deadline ? 1 : 0;
  }
  Schedule();
}

void ClusterSimulation::Preempt(const Preemption& preemption) {
  const auto it = running_.find(preemption.task);
  if (it == running_.end()) {
    return;
  }
  ++outcome_.preemptions;
  const uint64_t run = it->second.run;
  const TaskId task = preemption.task;
  if (preemption.mode == StopMode::kStop) {
    loop_.After(kStopTime, [this, task, run] { StopTask(task, run, false); });
  } else if (std::uniform_real_distribution<double>(0, 1)(random_) >= kIgnoredCheckpointFraction) {
    loop_.After(kCheckpointTime, [this, task, run] { StopTask(task, run, true); });
  }
}

void ClusterSimulation::StopTask(const TaskId& task, uint64_t run, bool checkpointed) {
  const auto it = running_.find(task);
  if (it == running_.end() || it->second.run != run) {
    return;
  }
  UpdateTimeIntegrals();
  AddReceivedCapacity(it->second);
  // A task that was stopped without a checkpoint restarts from the beginning.
  remaining_after_stop_[task] = checkpointed
                                    ? it->second.remaining - (loop_.Now() - it->second.start)
                                    : jobs_.at(it->second.job).job.run_times.front();
  waiting_accelerator_tasks_ += it->second.demand.accelerators.value() > 0 ? 1 : 0;
  running_.erase(it);
  scheduler_->Requeue(task);
  Schedule();
}

void ClusterSimulation::Expire() {
  UpdateTimeIntegrals();
  for (const JobId& job : scheduler_->ExpiredJobs(loop_.Now())) {
    JobState& state = jobs_.at(job);
    const JobSpec& spec = state.job.record.spec;
    scheduler_->Remove(job);
    state.finished = true;
    ++outcome_.deadline_misses;
    waiting_accelerator_tasks_ -= spec.demand.accelerators.value() > 0 ? spec.task_count : 0;
    RecordWait(state, loop_.Now() - state.job.record.accepted_at);
  }
}

void ClusterSimulation::RecordWait(const JobState& state, absl::Duration wait) {
  const double seconds = absl::ToDoubleSeconds(wait);
  const JobSpec& spec = state.job.record.spec;
  outcome_.wait.Add(seconds);
  if (spec.deadline.has_value()) {
    outcome_.deadline_wait.Add(seconds);
  }
  if (spec.priority == Priority::kUrgent) {
    outcome_.urgent_wait.Add(seconds);
  }
}

void ClusterSimulation::CountUnfinished() {
  for (const auto& [task, running] : running_) {
    AddReceivedCapacity(running);
  }
  for (const auto& [id, state] : jobs_) {
    if (!state.finished && state.tasks_started < state.job.record.spec.task_count) {
      RecordWait(state, loop_.Now() - state.job.record.accepted_at);
    }
  }
}

void ClusterSimulation::ComputeFairness(absl::Duration length) {
  // Weighted max-min fairness: divides the used capacity by weight and caps each customer's share
  // at the load that it offered.
  std::map<std::string, double> fair;
  double capacity = 0;
  for (const auto& [customer, seconds] : received_) {
    capacity += seconds;
  }
  capacity = std::min(capacity, absl::ToDoubleSeconds(length));
  std::vector<std::pair<double, std::string>> by_normalized_demand;
  double weights = 0;
  for (const auto& [customer, weight] : shard_.weights) {
    by_normalized_demand.emplace_back(offered_[customer] / weight, customer);
    weights += weight;
  }
  std::sort(by_normalized_demand.begin(), by_normalized_demand.end());
  for (const auto& [normalized_demand, customer] : by_normalized_demand) {
    const double weight = limits_.Weight(CustomerId(customer));
    fair[customer] = std::min(offered_[customer], capacity * weight / weights);
    capacity -= fair[customer];
    weights -= weight;
  }
  double sum = 0;
  double squares = 0;
  outcome_.least_fair_ratio = 1;
  for (const auto& [customer, amount] : fair) {
    const double ratio = amount > 0 ? std::min(1.0, received_[customer] / amount) : 1;
    outcome_.least_fair_ratio = std::min(outcome_.least_fair_ratio, ratio);
    sum += ratio;
    squares += ratio * ratio;
  }
  outcome_.jain_index = squares > 0 ? sum * sum / (squares * static_cast<double>(fair.size())) : 1;
}

}  // namespace pomelotray
