#include "scheduler/schedule_pass.h"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler/task_fit.h"

namespace pomelotray {
namespace {

// Bounds the cost of one call when thousands of jobs wait.
constexpr size_t kMaxUrgentJobsPerRound = 1024;
constexpr int kMaxDrainCandidates = 256;
constexpr int kMaxDrainPlans = 4;
// Jobs for which no workers can be drained at the moment make way for younger ones for this long.
constexpr absl::Duration kDrainRetryInterval = absl::Seconds(5);
constexpr int64_t kMaxPreemptionsPerRound = 256;
// A reservation that is this late is dropped when its workers cannot be expected to get room any
// more, for example because services took it.
constexpr absl::Duration kDrainPatience = absl::Seconds(30);
// Aged jobs get a reservation at most this often. Otherwise a long overload, in which all jobs are
// aged, would turn the order into first come first served.
constexpr absl::Duration kAgedDrainInterval = absl::Seconds(1);
// A plan looks at every worker; in a full pool one per round would cost more than the placements.
constexpr absl::Duration kFairDrainInterval = absl::Seconds(1);
constexpr size_t kMaxJobsWithoutRoom = 16;
// Bounds the room that stands empty for underserved customers.
constexpr size_t kWorkersPerFairDrain = 8;

}  // namespace

SchedulePass::SchedulePass(SchedulerState* state, int max_placements)
    : state_(state), now_(state->clock->Now()), budget_(max_placements) {}

ScheduleRound SchedulePass::Run() {
  ++state_->round;
  state_->queue.ParkExpired(now_);
  state_->failed_shapes.ClearIfOld(now_);
  if (state_->preemptions.ExpireEarmarks(now_)) {
    state_->RoomChanged();
  }
  state_->preemptions.Escalate(now_, &result_.preemptions);
  PlaceUrgent();
  NotePreemptions();
  DropStaleDrains();
  if (!state_->drain.active()) {
    DrainForOldest();
  }
  PlaceDrainHolders();
  PlaceByCustomer();
  DrainForUnderserved();
  return std::move(result_);
}

void SchedulePass::NotePreemptions() {
  for (const Preemption& preemption : result_.preemptions) {
    state_->queue.MarkStopping(preemption.task);
  }
}

const SchedulePass::Terms& SchedulePass::TermsOf(const CustomerId& customer) {
  const auto [it, inserted] = terms_.try_emplace(customer);
  if (inserted) {
    // A weight of zero would make the share infinite.
    constexpr double kMinWeight = 1e-6;
    it->second = Terms{state_->limits->HoldLimit(customer),
                       std::max(state_->limits->Weight(customer), kMinWeight)};
  }
  return it->second;
}

bool SchedulePass::WithinLimit(const QueuedJob& job, int64_t tasks) {
  const CustomerId& customer = job.spec.customer;
  const Resources use = state_->ledger.CustomerUse(customer) + job.spec.demand * tasks;
  return use.FitsInto(TermsOf(customer).hold_limit);
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
                       : state_->estimator.Upper(spec.customer, spec.pool, spec.expected_run);
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
    return ignore_drains_ || state_->FairDrainsAllow(job.id, slot, expected_end);
  }
  return state_->DrainsAllow(job.id, slot, expected_end);
}

bool SchedulePass::HasRoomFor(const QueuedJob& job, int64_t count, absl::Time expected_end) const {
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
  // Tasks of one job are alike, so when the counts per worker suffice, any order of choices
  // places all of them.
  if (count > 1 && !HasRoomFor(*job, count, expected_end)) {
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
  // Only now, because it may close the worker to the rest of a gang that counts on it: a probed
  // worker, or one on which another job has an earmark too.
  for (const WorkerSlot slot : slots) {
    state_->health.RecordPlacement(state_->index.At(slot).id, now_);
    if (state_->preemptions.RecordPlacement(job->id, slot)) {
      state_->RoomChanged();
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
  // The drained workers and the earmarked room are open to this job only, so other jobs' failures
  // say nothing about it.
  const bool has_own_room =
      state_->IsDrainedFor(job->id) || state_->preemptions.EarmarksOf(job->id) > 0;
  if (!has_own_room && state_->failed_shapes.Covers(shape)) {
    return Attempt::kNoRoom;
  }
  if (!PlaceTogether(job, count, now_ + shape.run_time)) {
    if (!has_own_room) {
      state_->failed_shapes.Add(shape);
    }
    return Attempt::kNoRoom;
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
    if (attempt == Attempt::kNoRoom) {
      PreemptFor(job);
    } else if (state_->preemptions.Trim(job->id, job->QueuedCount())) {
      state_->RoomChanged();
    }
  }
}

void SchedulePass::PlaceOnDrained(QueuedJob* job) {
  const TaskShape shape = ShapeOf(*job);
  const bool any_drained = !state_->fair_drains.empty();
  if (!any_drained || failed_on_drained_.Covers(shape)) {
    return;
  }
  ignore_drains_ = true;
  while (job->CanBePlaced() && WithinLimit(*job, job->TasksPerPlacement()) && budget_ > 0) {
    const int64_t count = job->TasksPerPlacement();
    if (!PlaceTogether(job, count, now_ + shape.run_time)) {
      failed_on_drained_.Add(shape);
      break;
    }
    budget_ -= count;
  }
  ignore_drains_ = false;
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
      // A stream of urgent work on the drained workers would keep their jobs waiting without end,
      // so it goes there only when nothing else can be stopped.
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
  if (holder == nullptr || !holder->listed || !WithinLimit(*holder, holder->TasksPerPlacement())) {
    return true;
  }
  // A reservation that moves to other workers gives up the room drained so far. Tasks that outlive
  // their estimates are no reason to move: those elsewhere are as uncertain.
  if (now_ - drain.start() <= kDrainPatience) {
    return false;
  }
  const auto usable = [this, holder](WorkerSlot slot) { return CanUseForDrain(*holder, slot); };
  const DrainReservation::Request request{holder->id, holder->spec.demand,
                                          holder->TasksPerPlacement(), now_, usable};
  return !drain.CanStillStart(request, state_->index, state_->ledger);
}

void SchedulePass::DropStaleDrains() {
  if (state_->drain.active() && IsStale(state_->drain)) {
    state_->drain.Clear();
    state_->RoomChanged();
  }
  const auto stale = std::remove_if(state_->fair_drains.begin(), state_->fair_drains.end(),
                                    [this](const DrainReservation& each) { return IsStale(each); });
  if (stale != state_->fair_drains.end()) {
    state_->fair_drains.erase(stale, state_->fair_drains.end());
    state_->RoomChanged();
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
    state_->RoomChanged();
  }
  return planned;
}

bool SchedulePass::TryDrainForOldest(const QueuedJob& job) {
  state_->ClearDrainsOf(job.id);
  if (TryDrainFor(job, &state_->drain)) {
    return true;
  }
  if (state_->fair_drains.empty()) {
    return false;
  }
  // The oldest job must not wait for drains that others got later.
  state_->fair_drains.clear();
  state_->RoomChanged();
  return TryDrainFor(job, &state_->drain);
}

bool SchedulePass::IsUnderserved(const QueuedJob& job) {
  const Resources& capacity = state_->index.usable_capacity();
  const CustomerId& customer = job.spec.customer;
  Resources use = state_->ledger.CustomerUse(customer) + job.spec.demand * job.TasksPerPlacement();
  // What is drained for the customer counts as if it were held.
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
      held += DominantShare(state_->ledger.CustomerUse(id), capacity);
      weights += TermsOf(id).weight;
    }
  }
  return DominantShare(use, capacity) / TermsOf(customer).weight <= held / weights;
}

void SchedulePass::DrainForUnderserved() {
  const size_t max_drains = std::max<size_t>(1, state_->index.slot_count() / kWorkersPerFairDrain);
  if (state_->fair_drains.size() >= max_drains || !state_->queue_policy->PrefersUrgent() ||
      now_ - state_->last_fair_drain < kFairDrainInterval) {
    return;
  }
  for (const JobId& id : without_room_) {
    QueuedJob* job = state_->queue.Find(id);
    if (job == nullptr || !job->listed || now_ < job->no_drain_before || state_->IsDrainedFor(id) ||
        !IsUnderserved(*job)) {
      continue;
    }
    state_->last_fair_drain = now_;
    DrainReservation drain;
    if (TryDrainFor(*job, &drain)) {
      state_->fair_drains.push_back(std::move(drain));
    } else {
      job->no_drain_before = now_ + kDrainRetryInterval;
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
    if (now_ < job.no_drain_before) {
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
      job.no_drain_before = now_ + kDrainRetryInterval;
      continue;
    }
    ++plans;
    if (TryDrainForOldest(job)) {
      if (aged) {
        state_->last_aged_drain = now_;
      }
      return;
    }
    job.no_drain_before = now_ + kDrainRetryInterval;
  }
}

void SchedulePass::PlaceDrainHolders() {
  std::vector<JobId> holders;
  if (state_->drain.active()) {
    holders.push_back(state_->drain.job());
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
  CustomerStanding standing;
  standing.dominant_share =
      DominantShare(state_->ledger.CustomerUse(customer), state_->index.usable_capacity());
  standing.weight = TermsOf(customer).weight;
  standing.oldest_arrival = head.arrival;
  standing.head_has_deadline = head.spec.deadline.has_value();
  return state_->queue_policy->CustomerRank(standing);
}

void SchedulePass::PlaceByCustomer() {
  // Rank, key and sequence of the customer's first job; the lowest is served first.
  using Turn = std::tuple<double, absl::Time, uint64_t, CustomerQueue*>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
  const auto push = [this, &turns](CustomerQueue* customer) {
    const QueuedJob* head = customer->Head(state_->round);
    if (head != nullptr) {
      turns.emplace(RankOf(customer->id(), *head), head->key, head->sequence, customer);
    }
  };
  for (const auto& [id, customer] : state_->queue.customers()) {
    push(customer.get());
  }
  while (!turns.empty() && budget_ > 0) {
    CustomerQueue* customer = std::get<CustomerQueue*>(turns.top());
    turns.pop();
    QueuedJob* job = customer->Head(state_->round);
    const Attempt attempt = Place(job);
    if (attempt == Attempt::kNoBudget) {
      return;
    }
    if (attempt == Attempt::kNoRoom && without_room_.size() < kMaxJobsWithoutRoom) {
      without_room_.push_back(job->id);
    }
    if (attempt != Attempt::kPlaced) {
      customer->Block(*job, state_->round);
    }
    push(customer);
  }
}

}  // namespace pomelotray
