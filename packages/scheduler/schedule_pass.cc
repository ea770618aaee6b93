#include "scheduler/schedule_pass.h"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler/task_fit.h"

namespace pomelotray {
namespace {

// These limits bound the cost of one call when thousands of jobs wait.
constexpr size_t kMaxUrgentJobsPerRound = 1024;
constexpr int kMaxDrainCandidates = 256;
constexpr int kMaxDrainPlans = 4;
// Time for which a job is skipped, in favor of younger ones, after workers could not be drained for
// it.
constexpr absl::Duration kDrainRetryInterval = absl::Seconds(5);
constexpr int64_t kMaxPreemptionsPerRound = 256;
// A drain reservation whose start is overdue by more than this is dropped if its workers can no
// longer be expected to have capacity for the job, for example because services occupy them.
constexpr absl::Duration kMaxDrainDelay = absl::Seconds(30);
// Minimum time between two drain reservations for aged jobs. Without it, a long overload, in which
// all jobs are aged, would reduce fair sharing to first come, first served.
constexpr absl::Duration kAgedDrainInterval = absl::Seconds(1);
// Minimum time between two attempts to drain workers for underserved customers. Planning a drain
// examines every worker; in a full pool, one plan in each round would cost more than the
// placements.
constexpr absl::Duration kFairDrainInterval = absl::Seconds(1);
constexpr size_t kMaxUnplacedJobs = 16;
// One fair drain is allowed for each this many workers, which bounds the capacity that is kept idle
// for underserved customers.
constexpr size_t kWorkersPerFairDrain = 8;

}  // namespace

SchedulePass::SchedulePass(SchedulerState* state, int max_placements)
    : state_(state), now_(state->clock->Now()), budget_(max_placements) {}

ScheduleDecisions SchedulePass::Run() {
  ++state_->round;
  state_->queue.MarkExpired(now_);
  state_->failed_shapes.ClearIfOld(now_);
  if (state_->preemptions.ExpireEarmarks(now_)) {
    state_->CapacityChanged();
  }
  state_->preemptions.Escalate(now_, &result_.preemptions);
  PlaceUrgent();
  MarkPreemptedTasks();
  DropStaleDrains();
  if (!state_->oldest_job_drain.active()) {
    DrainForOldest();
  }
  PlaceDrainHolders();
  PlaceByCustomer();
  DrainForUnderserved();
  return std::move(result_);
}

void SchedulePass::MarkPreemptedTasks() {
  for (const Preemption& preemption : result_.preemptions) {
    state_->queue.MarkStopping(preemption.task);
  }
}

const SchedulePass::CustomerLimits& SchedulePass::LimitsOf(const CustomerId& customer) {
  const auto [it, inserted] = customer_limits_.try_emplace(customer);
  if (inserted) {
    // The share is divided by the weight, so the weight must not be zero.
    constexpr double kMinWeight = 1e-6;
    it->second = CustomerLimits{state_->limits->ResourceLimit(customer),
                                std::max(state_->limits->Weight(customer), kMinWeight)};
  }
  return it->second;
}

bool SchedulePass::WithinLimit(const QueuedJob& job, int64_t tasks) {
  const CustomerId& customer = job.spec.customer;
  const Resources use = state_->ledger.CustomerUsage(customer) + job.spec.demand * tasks;
  return use.FitsInto(LimitsOf(customer).hold_limit);
}

bool SchedulePass::ServedAsUrgent(const QueuedJob& job) const {
  return job.IsUrgent() && state_->queue_policy->PrefersUrgent();
}

TaskShape SchedulePass::ShapeOf(const QueuedJob& job) const {
  const JobSpec& spec = job.spec;
  TaskShape shape;
  shape.demand = spec.demand;
  shape.count = job.TasksPerPlacement();
  shape.urgent = ServedAsUrgent(job);
  shape.repeatable = spec.repeatable;
  shape.run_time = spec.kind == JobKind::kService
                       ? absl::InfiniteDuration()
                       : state_->estimator.P90RunTime(spec.customer, spec.pool, spec.expected_run);
  return shape;
}

bool SchedulePass::MayUse(const QueuedJob& job, WorkerSlot slot, absl::Time expected_end) const {
  if (!state_->preemptions.AllowsPlacement(slot, job.id)) {
    return false;
  }
  const WorkerHealth& health = state_->health;
  if (health.quarantined_count() > 0 &&
      !health.MayPlace(state_->index.At(slot).id, job.spec.repeatable, now_)) {
    return false;
  }
  if (ServedAsUrgent(job)) {
    return ignore_fair_drains_ || state_->FairDrainsAllow(job.id, slot, expected_end);
  }
  return state_->DrainsAllow(job.id, slot, expected_end);
}

bool SchedulePass::HasCapacityFor(const QueuedJob& job, int64_t count,
                                  absl::Time expected_end) const {
  int64_t missing = count;
  state_->index.VisitFitting(job.spec.demand, state_->index.slot_count(), [&](WorkerSlot slot) {
    if (MayUse(job, slot, expected_end)) {
      missing -= TasksThatFit(state_->index.At(slot).Free(), job.spec.demand, missing);
    }
    return missing > 0;
  });
  return missing <= 0;
}

bool SchedulePass::PlaceTogether(QueuedJob* job, int64_t count, absl::Time expected_end) {
  // All tasks of a job have the same demand. If the numbers that fit on each worker add up to
  // `count`, the placement policy can choose workers in any order and all tasks are still placed.
  if (count > 1 && !HasCapacityFor(*job, count, expected_end)) {
    return false;
  }
  const auto allowed = [&](WorkerSlot slot) { return MayUse(*job, slot, expected_end); };
  const auto tasks_in_rack = [job](const RackId& rack) {
    const auto it = job->tasks_in_rack.find(rack);
    return it != job->tasks_in_rack.end() ? it->second : 0;
  };
  const auto tasks_on_worker = [job](WorkerSlot slot) {
    const auto it = job->tasks_on_worker.find(slot);
    return it != job->tasks_on_worker.end() ? it->second : 0;
  };
  const PlacementQuery query{job->spec.demand, job->spec.kind, allowed, tasks_in_rack,
                             tasks_on_worker};
  std::vector<WorkerSlot> slots;
  for (int64_t i = 0; i < count; ++i) {
    const std::optional<WorkerSlot> slot = state_->placement_policy->Choose(state_->index, query);
    if (!slot.has_value()) {
      return false;
    }
    const TaskId task = *job->ready.begin();
    const WorkerId worker = state_->index.At(*slot).id;
    state_->Reserve(job, task, *slot, now_);
    slots.push_back(*slot);
    result_.placements.push_back(Placement{job->id, task, worker, job->spec.demand});
  }
  // Recorded only after all tasks are placed: recording a placement may exclude the worker from
  // further placements of this gang, if it is a probed worker or one on which another job also has
  // an earmark.
  for (const WorkerSlot slot : slots) {
    state_->health.RecordPlacement(state_->index.At(slot).id, now_);
    if (state_->preemptions.RecordPlacement(job->id, slot)) {
      state_->CapacityChanged();
    }
  }
  return true;
}

SchedulePass::Attempt SchedulePass::Place(QueuedJob* job) {
  const int64_t count = job->TasksPerPlacement();
  const bool first_of_round = result_.placements.empty();
  if (budget_ <= 0 || (count > budget_ && !first_of_round)) {
    return Attempt::kNoBudget;
  }
  if (!WithinLimit(*job, count)) {
    return Attempt::kOverLimit;
  }
  const TaskShape shape = ShapeOf(*job);
  // Drained workers and earmarks are usable by this job only, so the failures of other jobs do not
  // show that this one cannot be placed.
  const bool has_own_capacity =
      state_->IsDrainedFor(job->id) || state_->preemptions.EarmarksOf(job->id) > 0;
  if (!has_own_capacity && state_->failed_shapes.Covers(shape)) {
    return Attempt::kNoCapacity;
  }
  if (!PlaceTogether(job, count, now_ + shape.run_time)) {
    if (!has_own_capacity) {
      state_->failed_shapes.Add(shape);
    }
    return Attempt::kNoCapacity;
  }
  budget_ -= count;
  return Attempt::kPlaced;
}

void SchedulePass::PlaceUrgent() {
  std::vector<QueuedJob*> jobs;
  for (const JobOrder& order : state_->queue.urgent()) {
    if (jobs.size() >= kMaxUrgentJobsPerRound) {
      break;
    }
    jobs.push_back(order.job);
  }
  for (QueuedJob* job : jobs) {
    Attempt attempt = Attempt::kPlaced;
    while (attempt == Attempt::kPlaced && job->CanBePlaced()) {
      attempt = Place(job);
    }
    if (attempt == Attempt::kNoCapacity) {
      PreemptFor(job);
    } else if (state_->preemptions.TrimEarmarks(job->id, job->QueuedCount())) {
      state_->CapacityChanged();
    }
  }
}

void SchedulePass::PlaceOnDrained(QueuedJob* job) {
  const TaskShape shape = ShapeOf(*job);
  const bool any_drained = !state_->fair_drains.empty();
  if (!any_drained || failed_on_drained_.Covers(shape)) {
    return;
  }
  ignore_fair_drains_ = true;
  while (job->CanBePlaced() && WithinLimit(*job, job->TasksPerPlacement()) && budget_ > 0) {
    const int64_t count = job->TasksPerPlacement();
    if (!PlaceTogether(job, count, now_ + shape.run_time)) {
      failed_on_drained_.Add(shape);
      break;
    }
    budget_ -= count;
  }
  ignore_fair_drains_ = false;
}

void SchedulePass::PreemptFor(QueuedJob* urgent) {
  const QueuedJob& job = *urgent;
  const TaskShape shape = ShapeOf(job);
  const int64_t waiting = static_cast<int64_t>(job.ready.size());
  const auto usable = [this, &job](WorkerSlot slot) {
    return !state_->health.IsQuarantined(state_->index.At(slot).id) &&
           state_->FairDrainsAllow(job.id, slot, absl::InfiniteFuture());
  };
  int64_t earmarks = state_->preemptions.EarmarksOf(job.id);
  while (earmarks < waiting && WithinLimit(job, earmarks + shape.count) &&
         static_cast<int64_t>(result_.preemptions.size()) < kMaxPreemptionsPerRound) {
    if (failed_preemptions_.Covers(shape) ||
        !state_->preemptions.Plan(job.id, job.spec.demand, shape.count, now_, usable,
                                  &result_.preemptions)) {
      failed_preemptions_.Add(shape);
      // Urgent work uses drained workers only if nothing else can be preempted. Otherwise a steady
      // stream of urgent jobs would starve the jobs for which the workers are drained.
      PlaceOnDrained(urgent);
      return;
    }
    earmarks += shape.count;
  }
}

bool SchedulePass::CanUseForDrain(const QueuedJob& job, WorkerSlot slot) const {
  return !state_->health.IsQuarantined(state_->index.At(slot).id) &&
         state_->preemptions.AllowsPlacement(slot, job.id);
}

bool SchedulePass::IsStale(const DrainReservation& drain) {
  const QueuedJob* holder = state_->queue.Find(drain.job());
  if (holder == nullptr || !holder->waiting || !WithinLimit(*holder, holder->TasksPerPlacement())) {
    return true;
  }
  // Moving a reservation to other workers gives up the capacity drained so far. Tasks that run
  // longer than estimated do not justify this, because estimates on other workers are as uncertain.
  if (now_ - drain.start() <= kMaxDrainDelay) {
    return false;
  }
  const auto usable = [this, holder](WorkerSlot slot) { return CanUseForDrain(*holder, slot); };
  const DrainReservation::Request request{holder->id, holder->spec.demand,
                                          holder->TasksPerPlacement(), now_, usable};
  return !drain.CanStillStart(request, state_->index, state_->ledger);
}

void SchedulePass::DropStaleDrains() {
  if (state_->oldest_job_drain.active() && IsStale(state_->oldest_job_drain)) {
    state_->oldest_job_drain.Clear();
    state_->CapacityChanged();
  }
  const auto stale =
      std::remove_if(state_->fair_drains.begin(), state_->fair_drains.end(),
                     [this](const DrainReservation& drain) { return IsStale(drain); });
  if (stale != state_->fair_drains.end()) {
    state_->fair_drains.erase(stale, state_->fair_drains.end());
    state_->CapacityChanged();
  }
}

bool SchedulePass::TryDrainFor(const QueuedJob& job, DrainReservation* drain) {
  const auto usable = [this, &job](WorkerSlot slot) {
    return CanUseForDrain(job, slot) && state_->DrainsAllow(job.id, slot, absl::InfiniteFuture());
  };
  const DrainReservation::Request request{job.id, job.spec.demand, job.TasksPerPlacement(), now_,
                                          usable};
  const bool planned = drain->Plan(request, state_->index, state_->ledger);
  if (planned) {
    state_->CapacityChanged();
  }
  return planned;
}

bool SchedulePass::TryDrainForOldest(const QueuedJob& job) {
  state_->ClearDrainsOf(job.id);
  if (TryDrainFor(job, &state_->oldest_job_drain)) {
    return true;
  }
  if (state_->fair_drains.empty()) {
    return false;
  }
  // Drops the fair drains, because the oldest job must not wait for drains that started after it
  // became eligible.
  state_->fair_drains.clear();
  state_->CapacityChanged();
  return TryDrainFor(job, &state_->oldest_job_drain);
}

bool SchedulePass::IsUnderserved(const QueuedJob& job) {
  const Resources& capacity = state_->index.usable_capacity();
  const CustomerId& customer = job.spec.customer;
  Resources use =
      state_->ledger.CustomerUsage(customer) + job.spec.demand * job.TasksPerPlacement();
  // The demand of jobs for which workers are drained counts as if it were already held.
  for (const DrainReservation& drain : state_->fair_drains) {
    const QueuedJob* holder = state_->queue.Find(drain.job());
    if (holder != nullptr && holder->spec.customer == customer) {
      use += holder->spec.demand * holder->TasksPerPlacement();
    }
  }
  double held = 0;
  double weights = 0;
  for (const auto& [id, queue] : state_->queue.customers()) {
    if (queue->HasWaitingJobs()) {
      held += DominantShare(state_->ledger.CustomerUsage(id), capacity);
      weights += LimitsOf(id).weight;
    }
  }
  return DominantShare(use, capacity) / LimitsOf(customer).weight <= held / weights;
}

void SchedulePass::DrainForUnderserved() {
  const size_t max_drains = std::max<size_t>(1, state_->index.slot_count() / kWorkersPerFairDrain);
  if (state_->fair_drains.size() >= max_drains || !state_->queue_policy->PrefersUrgent() ||
      now_ - state_->last_fair_drain < kFairDrainInterval) {
    return;
  }
  for (const JobId& id : unplaced_jobs_) {
    QueuedJob* job = state_->queue.Find(id);
    if (job == nullptr || !job->waiting || now_ < job->next_drain_attempt ||
        state_->IsDrainedFor(id) || !IsUnderserved(*job)) {
      continue;
    }
    state_->last_fair_drain = now_;
    DrainReservation drain;
    if (TryDrainFor(*job, &drain)) {
      state_->fair_drains.push_back(std::move(drain));
    } else {
      job->next_drain_attempt = now_ + kDrainRetryInterval;
    }
    return;
  }
}

void SchedulePass::DrainForOldest() {
  int seen = 0;
  int plans = 0;
  for (const JobOrder& order : state_->queue.drain_candidates()) {
    QueuedJob& job = *order.job;
    if (order.time > now_) {
      return;
    }
    if (now_ < job.next_drain_attempt) {
      continue;
    }
    if (++seen > kMaxDrainCandidates || plans >= kMaxDrainPlans) {
      return;
    }
    const bool aged = !job.IsGang() && !ServedAsUrgent(job);
    const bool too_soon = now_ - state_->last_aged_drain < kAgedDrainInterval ||
                          !state_->queue_policy->PrefersUrgent();
    if (aged && too_soon) {
      continue;
    }
    if (!WithinLimit(job, job.TasksPerPlacement())) {
      job.next_drain_attempt = now_ + kDrainRetryInterval;
      continue;
    }
    ++plans;
    if (TryDrainForOldest(job)) {
      if (aged) {
        state_->last_aged_drain = now_;
      }
      return;
    }
    job.next_drain_attempt = now_ + kDrainRetryInterval;
  }
}

void SchedulePass::PlaceDrainHolders() {
  std::vector<JobId> holders;
  if (state_->oldest_job_drain.active()) {
    holders.push_back(state_->oldest_job_drain.job());
  }
  for (const DrainReservation& drain : state_->fair_drains) {
    holders.push_back(drain.job());
  }
  for (const JobId& id : holders) {
    QueuedJob* job = state_->queue.Find(id);
    if (job != nullptr && job->CanBePlaced() && Place(job) == Attempt::kPlaced) {
      state_->ClearDrainsOf(id);
    }
  }
}

double SchedulePass::RankOf(const CustomerId& customer, const QueuedJob& head) {
  CustomerQueueState queue_state;
  queue_state.dominant_share =
      DominantShare(state_->ledger.CustomerUsage(customer), state_->index.usable_capacity());
  queue_state.weight = LimitsOf(customer).weight;
  queue_state.oldest_arrival = head.arrival;
  queue_state.head_has_deadline = head.spec.deadline.has_value();
  return state_->queue_policy->CustomerRank(queue_state);
}

void SchedulePass::PlaceByCustomer() {
  // The customer's rank, then key and sequence of its first job; the lowest is placed first.
  using RankedCustomer = std::tuple<double, absl::Time, uint64_t, CustomerQueue*>;
  std::priority_queue<RankedCustomer, std::vector<RankedCustomer>, std::greater<>> ranked_customers;
  const auto push = [this, &ranked_customers](CustomerQueue* customer) {
    const QueuedJob* head = customer->Head(state_->round);
    if (head != nullptr) {
      ranked_customers.emplace(RankOf(customer->id(), *head), head->key, head->sequence, customer);
    }
  };
  for (const auto& [id, customer] : state_->queue.customers()) {
    push(customer.get());
  }
  while (!ranked_customers.empty() && budget_ > 0) {
    CustomerQueue* customer = std::get<CustomerQueue*>(ranked_customers.top());
    ranked_customers.pop();
    QueuedJob* job = customer->Head(state_->round);
    const Attempt attempt = Place(job);
    if (attempt == Attempt::kNoBudget) {
      return;
    }
    if (attempt == Attempt::kNoCapacity && unplaced_jobs_.size() < kMaxUnplacedJobs) {
      unplaced_jobs_.push_back(job->id);
    }
    if (attempt != Attempt::kPlaced) {
      customer->SkipShapeOf(*job, state_->round);
    }
    push(customer);
  }
}

}  // namespace pomelotray
