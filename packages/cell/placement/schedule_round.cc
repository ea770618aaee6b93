#include "cell/placement/schedule_round.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace pomelotray {
namespace {

// Minimum remaining validity of a ticket. It must not expire while the start order is in transit,
// which can take two inter-region round trips plus the time in the order queue.
constexpr absl::Duration kTicketMargin = absl::Milliseconds(250);
// A task may backfill a reserved worker if this multiple of its estimate ends before the
// reservation takes effect. The factor allows for estimates that are up to 90% off.
constexpr double kBackfillFactor = 2;
// Share of the pool that patient steps leave free while there are jobs of higher priority. The most
// urgent queues use a fifth of their pools, and bursts double that for seconds.
constexpr double kHeadroomShare = 0.15;
// The same for patient steps while marked ones wait, which keep the pool at the edge of its
// headroom: any urgent task would otherwise hold patient steps back until tasks of marked jobs end.
constexpr double kHeadroomShareBeforeMarked = kHeadroomShare / 2;
// A step is patient if its latest start is further away than this. A burst lasts 4 s.
constexpr absl::Duration kPatientSlack = absl::Seconds(5);
// A task that needs at least this share of a worker is large: so much capacity does not become free
// on one worker unless the worker is reserved.
constexpr double kLargeTaskShare = 0.4;

// Differences in expected run time below this one, as a logarithm, are left to best fit.
constexpr double kSlowdownResolution = 0.1;
// Larger differences are alike, and more than the number of levels between these bounds, so that
// one cost decides before the next.
constexpr double kMaxRatedSlowdown = 20;
constexpr int64_t kSlowdownLevels = 1000;

// While this many starts are queued or not answered, the owner rather than the pool is the
// bottleneck.
constexpr size_t kMaxOpenStarts = 64;
// From this many on, questions of late steps are limited as well.
constexpr size_t kBusyOpenStarts = kMaxOpenStarts / 2;
// Number of starts that late steps get in a round in any case, so that they do not starve.
constexpr size_t kMinLateStarts = 4;
// While this many starts are queued or not answered, steps that yield get one start in a round.
// Those of other steps queue behind at most as many.
constexpr size_t kMaxOpenStartsToYield = kMaxOpenStarts / 2;

// Score of a placement that leaves `left` of `capacity` free; lower is better (best fit). Each kind
// of resource is measured by its share of the worker's capacity, and the largest share counts.
double LeftoverScore(const Resources& left, const Resources& capacity) {
  return DominantShare(left, capacity);
}

Resources ShareOf(const Resources& whole, double share) {
  Resources part;
  part.cpu = MilliCores(static_cast<int64_t>(share * static_cast<double>(whole.cpu.value())));
  part.memory = MebiBytes(static_cast<int64_t>(share * static_cast<double>(whole.memory.value())));
  part.accelerators = AcceleratorCount(
      static_cast<int64_t>(share * static_cast<double>(whole.accelerators.value())));
  return part;
}

// Whether `demand` fits into `available` in each dimension in which it is not zero.
bool FitsWhereNeeded(const Resources& demand, const Resources& available) {
  return (demand.cpu.value() == 0 || demand.cpu <= available.cpu) &&
         (demand.memory.value() == 0 || demand.memory <= available.memory) &&
         (demand.accelerators.value() == 0 || demand.accelerators <= available.accelerators);
}

// True if all tasks of the steps that the run depends on have been started and should end while a
// ticket requested now is still valid.
bool WillStartSoon(const CellJob& job, const StepRun& run) {
  if (!job.intake.policy.advice.has_value() || run.waiting == 0 || !run.advice.asked.empty()) {
    return false;
  }
  const size_t first = run.occurrence * job.intake.spec.steps.size();
  const std::vector<int>& after = job.Step(run).after;
  return !after.empty() && std::all_of(after.begin(), after.end(), [&](int step) {
    const StepRun& earlier = job.runs[first + step];
    return earlier.waiting == 0 && job.Step(earlier).estimate <= job.intake.policy.advice->validity;
  });
}

}  // namespace

Resources ReservedFor(const StepSpec& step) {
  Resources reserved = step.demand;
  if (step.best_effort) {
    reserved.cpu = MilliCores(0);
  }
  return reserved;
}

bool IsServing(const StepSpec& step) { return step.latency_target > absl::ZeroDuration(); }

void SetDemand(const StepSpec& step, Attempt* attempt) {
  attempt->reserved = ReservedFor(step);
  attempt->demand = step.demand;
  attempt->image = step.image;
  attempt->has_latency_target = IsServing(step);
  attempt->best_effort = step.best_effort;
  attempt->estimate = step.long_running ? absl::InfiniteDuration() : step.estimate;
}

bool IsStartable(const CellJob& job, const StepRun& run, absl::Time now) {
  if (run.waiting == 0 || run.due > now) {
    return false;
  }
  const size_t first = run.occurrence * job.intake.spec.steps.size();
  const std::vector<int>& after = job.Step(run).after;
  return std::all_of(after.begin(), after.end(),
                     [&](int step) { return job.runs[first + step].IsDone(); });
}

ScheduleRound::ScheduleRound(const std::map<JobId, const CellJob*>& jobs,
                             const std::map<WorkerId, CellWorker>& workers,
                             const AdviceShares& advice_shares, absl::Time now,
                             RoundPolicies policies)
    : jobs_(jobs), advice_shares_(advice_shares), now_(now), policies_(std::move(policies)) {
  Resources capacity;
  size_t open_starts = 0;
  for (const auto& [id, worker] : workers) {
    if (worker.AcceptsStarts(now)) {
      open_starts += worker.OpenStarts();
      AvailableWorker available;
      available.worker = &worker;
      available.free = worker.Free();
      available.has_serving = worker.HasServing();
      available.has_best_effort = worker.HasBestEffort();
      available.empty = worker.attempts.empty();
      available.open_to_suspects = worker.IsOpenToSuspects(now);
      available.sole_job = worker.SoleJob();
      available.isolated = worker.HasIsolated();
      available.has_accelerators = worker.description.capacity.accelerators > AcceleratorCount(0);
      isolated_workers_ += available.isolated ? 1 : 0;
      available_index_[worker.description.id.value()] = available_workers_.size();
      available_workers_.push_back(available);
      capacity += worker.description.capacity;
      free_capacity_ += available.free;
      if (available.has_accelerators) {
        headroom_with_accelerators_ += worker.description.capacity;
        free_with_accelerators_ += available.free;
      }
    } else if (worker.IsLeaving()) {
      leaving_workers_.push_back(&worker);
    }
  }
  headroom_ = ShareOf(capacity, kHeadroomShare);
  headroom_before_marked_ = ShareOf(capacity, kHeadroomShareBeforeMarked);
  headroom_with_accelerators_ = ShareOf(headroom_with_accelerators_, kHeadroomShare);
  limits_late_questions_ = open_starts >= kBusyOpenStarts;
  late_starts_left_ =
      std::max(kMinLateStarts, kMaxOpenStarts - std::min(open_starts, kMaxOpenStarts));
  yielding_starts_left_ =
      std::max<size_t>(1, kMaxOpenStartsToYield - std::min(open_starts, kMaxOpenStartsToYield));
}

void ScheduleRound::CollectCandidates(bool inherited_allowed) {
  highest_priority_ = std::numeric_limits<int>::max();
  for (const auto& [id, job] : jobs_) {
    highest_priority_ = std::min(highest_priority_, job->intake.policy.priority);
    if (job->cancel_requested) {
      continue;
    }
    if (job->inherited && !inherited_allowed) {
      ExplainInheritedWaits(*job);
      continue;
    }
    for (size_t i = 0; i < job->runs.size(); ++i) {
      const StepRun& run = job->runs[i];
      if (IsStartable(*job, run, now_)) {
        const StepSpec& step = job->Step(run);
        candidates_.push_back(Candidate{job, static_cast<int>(i), UrgentSince(step, run, now_),
                                        YieldingOf(*job, step)});
        yielding_questions_ += run.advice.question_pending && candidates_.back().Yields() ? 1 : 0;
        late_questions_ += run.advice.question_pending && IsLate(candidates_.back()) ? 1 : 0;
        marked_steps_wait_ = marked_steps_wait_ || candidates_.back().IsMarked();
        result_.waiting_tasks += run.waiting;
      } else if (WillStartSoon(*job, run) || MayHaveToRestart(*job, run)) {
        upcoming_.push_back(Candidate{job, static_cast<int>(i), absl::InfiniteFuture(),
                                      YieldingOf(*job, job->Step(run))});
      }
    }
  }
  // The key holds a reference to the job id, since copying the ids would dominate the cost of
  // sorting.
  const auto key = [this](const Candidate& c) {
    return std::tuple<absl::Time, Yielding, bool, int, bool, absl::Time, const JobId&, int>(
        c.urgent_since, c.yielding, c.job->no_value_after < now_, c.job->intake.policy.priority,
        IsLate(c), c.job->objective, c.job->intake.id, c.run);
  };
  std::sort(candidates_.begin(), candidates_.end(),
            [&key](const Candidate& a, const Candidate& b) { return key(a) < key(b); });
}

Yielding ScheduleRound::YieldingOf(const CellJob& job, const StepSpec& step) const {
  return policies_.order != nullptr ? policies_.order->Yields(job, step) : Yielding::kNone;
}

bool ScheduleRound::IsLate(const Candidate& candidate) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  return run.latest_start < now_ && !candidate.job->Step(run).long_running;
}

RoundResult ScheduleRound::Run(bool inherited_allowed, bool explain_waits) {
  explain_waits_ = explain_waits;
  CollectCandidates(inherited_allowed);
  CollectLeavingTasks(inherited_allowed);
  bool moves_planned = false;
  for (const Candidate& candidate : candidates_) {
    // Tasks that have waited are out of service already, so they go before those that may be soon.
    if (!moves_planned && candidate.urgent_since == absl::InfiniteFuture()) {
      PlanMoves();
      moves_planned = true;
    }
    if (explain_waits_ && candidate.job->Step(candidate.job->runs[candidate.run]).long_running) {
      PlaceAndExplain(candidate);
    } else {
      PlaceStep(candidate);
    }
  }
  if (!moves_planned) {
    PlanMoves();
  }
  for (const Candidate& candidate : upcoming_) {
    RequestAdviceAhead(candidate);
  }
  return std::move(result_);
}

bool ScheduleRound::MayYield(const Candidate& candidate) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  return !step.gang && !HasWaitingSuspects(step, run) && !IsLargeOnAllWorkers(step);
}

void ScheduleRound::PlaceStep(const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  std::vector<int> waiting;
  for (size_t i = 0; i < run.tasks.size(); ++i) {
    if (run.tasks[i].phase == TaskPhase::kWaiting && run.tasks[i].start_not_before <= now_) {
      waiting.push_back(static_cast<int>(i));
    }
  }
  if (step.gang && !waiting.empty() && waiting.size() != run.tasks.size()) {
    // Its active members keep the capacity that the others would need, so it is stopped whatever
    // the customer may start.
    result_.incomplete_gangs.push_back(TaskRef{candidate.job->intake.id, candidate.run, 0});
    return;
  }
  ApplyGate(candidate, &waiting);
  const bool late = IsLate(candidate);
  if (late && waiting.size() > late_starts_left_ && MayYield(candidate)) {
    // The capacity for the other tasks is not left to patient steps.
    for (size_t i = late_starts_left_; i < waiting.size(); ++i) {
      free_capacity_ -= ReservedFor(step);
    }
    waiting.resize(late_starts_left_);
  }
  if (candidate.Yields() && waiting.size() > yielding_starts_left_ && MayYield(candidate)) {
    waiting.resize(yielding_starts_left_);
  }
  if (waiting.empty()) {
    return;
  }
  const size_t placed_before = result_.placed.size();
  // Suspected tasks may wait longer for a worker than the others, which must not wait with them.
  std::stable_partition(waiting.begin(), waiting.end(),
                        [&](int index) { return !NeedsIsolation(step, run.tasks[index]); });
  if (!step.gang) {
    PlaceTasks(candidate, waiting);
  } else if (waiting.size() == run.tasks.size()) {
    PlaceGang(candidate, waiting);
  } else {
    result_.incomplete_gangs.push_back(TaskRef{candidate.job->intake.id, candidate.run, 0});
  }
  const size_t placed = result_.placed.size() - placed_before;
  if (late) {
    late_starts_left_ -= std::min(late_starts_left_, placed);
  }
  if (candidate.Yields()) {
    yielding_starts_left_ -= std::min(yielding_starts_left_, placed);
  }
}

void ScheduleRound::ApplyGate(const Candidate& candidate, std::vector<int>* waiting) const {
  if (policies_.gate == nullptr || waiting->empty()) {
    return;
  }
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  const int64_t count = static_cast<int64_t>(waiting->size());
  const int64_t allowed =
      policies_.gate->MaxStarts(candidate.job->intake.customer, step.demand, count);
  if (allowed < count) {
    waiting->resize(step.gang ? 0 : std::max<int64_t>(allowed, 0));
  }
}

int64_t ScheduleRound::PlacementCostOf(const Candidate& candidate,
                                       const AvailableWorker& available) const {
  const PlacementOption option{*candidate.job, candidate.job->runs[candidate.run],
                               *available.worker, available.placed};
  int64_t combined = 0;
  for (const PlacementCost* cost : policies_.costs) {
    const double slowdown =
        std::clamp(cost->LogSlowdown(option), -kMaxRatedSlowdown, kMaxRatedSlowdown);
    combined = combined * kSlowdownLevels + std::lround(slowdown / kSlowdownResolution);
  }
  return combined;
}

void ScheduleRound::AddPlacement(const Candidate& candidate, PlacedTask placed) {
  if (policies_.gate != nullptr) {
    policies_.gate->NoteStart(candidate.job->intake.customer,
                              candidate.job->Step(candidate.job->runs[candidate.run]).demand);
  }
  result_.placed.push_back(std::move(placed));
}

bool ScheduleRound::IsValid(const StepAdvice::Ticket& ticket) const {
  return ticket.expires > now_ + kTicketMargin;
}

bool ScheduleRound::HasTicket(const StepRun& run, const WorkerId& worker, bool valid) const {
  const auto it = run.advice.allowed.find(worker);
  return it != run.advice.allowed.end() && (!valid || IsValid(it->second));
}

bool ScheduleRound::IsEligible(const StepSpec& step, const AvailableWorker& available) const {
  return (!available.reserved || EndsBeforeReservation(step, available) ||
          (step.long_running && (available.reserved_for_large || !step.best_effort))) &&
         !(available.has_serving && step.best_effort) &&
         !(available.has_best_effort && IsServing(step)) &&
         available.worker->HasLabel(step.required_label);
}

std::vector<ScheduleRound::EligibleWorker> ScheduleRound::FindEligibleWorkers(
    const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  std::vector<EligibleWorker> eligible_workers;
  if (!candidate.job->intake.policy.advice.has_value()) {
    for (AvailableWorker& available : available_workers_) {
      if (IsEligible(step, available)) {
        eligible_workers.push_back(EligibleWorker{&available, /*has_valid_ticket=*/true});
      }
    }
    return eligible_workers;
  }
  eligible_workers.reserve(run.advice.allowed.size());
  for (const auto& [id, ticket] : run.advice.allowed) {
    const auto index = available_index_.find(id.value());
    if (index != available_index_.end() && IsEligible(step, available_workers_[index->second])) {
      eligible_workers.push_back(
          EligibleWorker{&available_workers_[index->second], IsValid(ticket)});
    }
  }
  return eligible_workers;
}

bool ScheduleRound::EndsBeforeReservation(const StepSpec& step,
                                          const AvailableWorker& available) const {
  return !step.long_running && !step.gang &&
         now_ + step.estimate * kBackfillFactor <= available.reserved_until;
}

bool ScheduleRound::MayUseReservation(const Candidate& candidate, const CellTask& task,
                                      const AvailableWorker& available) const {
  const bool may_have_run = task.last_run > RunNumber(0) || candidate.job->inherited;
  const bool late = candidate.job->runs[candidate.run].latest_start < now_;
  return (available.reserved_for_large && (may_have_run || late)) ||
         StartUrgency(candidate.job->Step(candidate.job->runs[candidate.run]), task, now_)
             .Overrides(WithholdingRule::kReservation);
}

bool ScheduleRound::HasReachedWorkerLimit(const StepSpec& step, const WorkerId& worker,
                                          const TaskCounts& per_worker) {
  const auto used = per_worker.find(worker.value());
  return step.max_per_worker > 0 && used != per_worker.end() && used->second >= step.max_per_worker;
}

ScheduleRound::AvailableWorker* ScheduleRound::FindWorker(
    const Candidate& candidate, const CellTask& task,
    const std::vector<EligibleWorker>& eligible_workers, bool require_valid_ticket,
    const TaskCounts& per_worker) {
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  const Resources needed = ReservedFor(step);
  AvailableWorker* best = nullptr;
  std::tuple<bool, bool, bool, bool, absl::Duration, bool, bool, int64_t, double> best_score;
  const bool suspected = NeedsIsolation(step, task);
  result_.workers_examined += static_cast<int64_t>(eligible_workers.size());
  for (const EligibleWorker& eligible : eligible_workers) {
    AvailableWorker* const available = eligible.available;
    const WorkerDescription& worker = available->worker->description;
    if ((require_valid_ticket && !eligible.has_valid_ticket) || !needed.FitsInto(available->free) ||
        HasReachedWorkerLimit(step, worker.id, per_worker) ||
        !LeavesHeadroomOn(candidate, *available) ||
        (step.long_running && available->reserved &&
         !MayUseReservation(candidate, task, *available)) ||
        !MayShareWorker(candidate, task, *available)) {
      continue;
    }
    const std::tuple<bool, bool, bool, bool, absl::Duration, bool, bool, int64_t, double> score(
        step.long_running && available->reserved, step.long_running && available->isolated,
        suspected && !available->empty, suspected && available->worker->HasRecentStarts(now_),
        suspected ? available->worker->WorkAtStake(now_) : absl::ZeroDuration(),
        task.moving_to.empty() ? worker.id == task.avoided_worker : worker.id != task.moving_to,
        !available->worker->HasLabel(step.preferred_rack), PlacementCostOf(candidate, *available),
        LeftoverScore(available->free - needed, worker.capacity));
    if (best == nullptr || score < best_score) {
      best = available;
      best_score = score;
    }
  }
  return best;
}

void ScheduleRound::PlaceTasks(const Candidate& candidate, const std::vector<int>& waiting) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  TaskCounts per_worker = CountActiveTasks(step, run);
  CountDecidedTasks(candidate, &per_worker);
  const std::vector<EligibleWorker> eligible_workers = FindEligibleWorkers(candidate);
  bool require_valid_ticket = true;
  size_t allocated = 0;
  std::vector<int> unplaced;
  std::set<WorkerId> to_renew;
  for (const int index : waiting) {
    if (!LeavesHeadroom(candidate)) {
      break;
    }
    const CellTask& task = run.tasks[index];
    AvailableWorker* available =
        require_valid_ticket ? FindWorker(candidate, task, eligible_workers, true, per_worker)
                             : nullptr;
    if (available != nullptr) {
      AddPlacement(candidate, MakePlacement(candidate, index, *available));
    } else {
      // Allocates the capacity that the step will use once its tickets are renewed, so that later
      // steps do not take it. Tasks of a long-running step may be kept from different workers, so
      // all of them are tried.
      require_valid_ticket = step.long_running;
      available = FindWorker(candidate, task, eligible_workers, false, per_worker);
      if (available == nullptr) {
        unplaced.push_back(index);
        if (step.long_running) {
          continue;
        }
        break;
      }
      to_renew.insert(available->worker->description.id);
    }
    Allocate(candidate, task, available);
    ++per_worker[available->worker->description.id.value()];
    ++allocated;
  }
  HoldCapacity(candidate, unplaced, &per_worker, &to_renew);
  if (!to_renew.empty()) {
    RenewTickets(candidate, std::move(to_renew), per_worker);
  } else if (!unplaced.empty()) {
    RequestCapacity(candidate, unplaced.front(), waiting.size() - allocated);
  }
  HoldCapacityAskedAbout(candidate, unplaced.size());
}

void ScheduleRound::RequestCapacity(const Candidate& candidate, int first_unplaced,
                                    size_t unplaced) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  RequestAdviceAboutNewWorkers(candidate);
  if (NeedsIsolation(step, run.tasks[first_unplaced])) {
    ReserveWorkerForSuspect(candidate);
  } else if (IsServing(step)) {
    if (!candidate.IsMarked()) {
      ChooseWorkerToClear(candidate);
    }
  } else if (IsLarge(step)) {
    ReserveWorkers(candidate, unplaced);
  }
}

void ScheduleRound::ChooseWorkerToClear(const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const bool needs_ticket = candidate.job->intake.policy.advice.has_value();
  for (AvailableWorker& available : available_workers_) {
    const WorkerId& id = available.worker->description.id;
    if (available.has_best_effort && !available.reserved &&
        ReservedFor(step).FitsInto(available.free) &&
        available.worker->HasLabel(step.required_label) &&
        (!needs_ticket || HasTicket(run, id, /*valid=*/false))) {
      available.reserved = true;
      result_.workers_to_clear.push_back(id);
      return;
    }
  }
}

bool ScheduleRound::LeavesHeadroom(const Candidate& candidate) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const bool patient =
      !candidate.job->Step(run).long_running &&
      (candidate.IsMarked() || (candidate.job->intake.policy.priority > highest_priority_ &&
                                run.latest_start > now_ + kPatientSlack));
  // A step that has no answer of the adviser yet is not held back here, so that it sends its
  // question.
  const bool asked = !candidate.job->intake.policy.advice.has_value() || !run.advice.asked.empty();
  const Resources& headroom =
      marked_steps_wait_ && !candidate.IsMarked() ? headroom_before_marked_ : headroom_;
  return !patient || !asked ||
         FitsWhereNeeded(ReservedFor(candidate.job->Step(run)), free_capacity_ - headroom);
}

bool ScheduleRound::LeavesHeadroomOn(const Candidate& candidate,
                                     const AvailableWorker& available) const {
  if (!candidate.IsMarked() || !available.has_accelerators) {
    return true;
  }
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  return step.long_running ||
         FitsWhereNeeded(ReservedFor(step), free_with_accelerators_ - headroom_with_accelerators_);
}

bool ScheduleRound::IsLargeOn(const AvailableWorker& available, const StepSpec& step) {
  return DominantShare(ReservedFor(step), available.worker->description.capacity) >=
         kLargeTaskShare;
}

bool ScheduleRound::IsLarge(const StepSpec& step) const {
  return std::any_of(
      available_workers_.begin(), available_workers_.end(),
      [&step](const AvailableWorker& available) { return IsLargeOn(available, step); });
}

bool ScheduleRound::IsLargeOnAllWorkers(const StepSpec& step) const {
  return std::all_of(
      available_workers_.begin(), available_workers_.end(),
      [&step](const AvailableWorker& available) { return IsLargeOn(available, step); });
}

void ScheduleRound::Allocate(const Candidate& candidate, const CellTask& task,
                             AvailableWorker* available) {
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  const JobId& job = candidate.job->intake.id;
  if (available->empty || (available->sole_job != nullptr && *available->sole_job == job)) {
    available->sole_job = &job;
  } else {
    available->sole_job = nullptr;
  }
  available->empty = false;
  if (IsIsolatedOn(candidate, task, *available) && !available->isolated) {
    available->isolated = true;
    ++isolated_workers_;
  }
  available->open_to_suspects = false;
  available->free -= ReservedFor(step);
  free_capacity_ -= ReservedFor(step);
  if (available->has_accelerators) {
    free_with_accelerators_ -= ReservedFor(step);
  }
  available->has_serving = available->has_serving || IsServing(step);
  available->has_best_effort = available->has_best_effort || step.best_effort;
  if (!policies_.costs.empty()) {
    available->placed.push_back(&step);
  }
}

PlacedTask ScheduleRound::MakePlacement(const Candidate& candidate, int task,
                                        const AvailableWorker& available) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const WorkerId& id = available.worker->description.id;
  const auto ticket = run.advice.allowed.find(id);
  return PlacedTask{TaskRef{candidate.job->intake.id, candidate.run, task}, id,
                    ticket == run.advice.allowed.end() ? StepAdvice::Ticket() : ticket->second,
                    IsLate(candidate), IsIsolatedOn(candidate, run.tasks[task], available)};
}

void ScheduleRound::PlaceGang(const Candidate& candidate, const std::vector<int>& waiting) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const std::vector<EligibleWorker> eligible_workers = FindEligibleWorkers(candidate);
  for (const bool require_valid_ticket : {true, false}) {
    const std::vector<AvailableWorker> workers_before = available_workers_;
    const Resources free_capacity_before = free_capacity_;
    const Resources free_with_accelerators_before = free_with_accelerators_;
    const size_t isolated_before = isolated_workers_;
    TaskCounts per_worker;
    std::vector<PlacedTask> placed;
    std::set<WorkerId> used;
    for (const int index : waiting) {
      AvailableWorker* available = FindWorker(candidate, run.tasks[index], eligible_workers,
                                              require_valid_ticket, per_worker);
      if (available == nullptr) {
        break;
      }
      placed.push_back(MakePlacement(candidate, index, *available));
      Allocate(candidate, run.tasks[index], available);
      ++per_worker[available->worker->description.id.value()];
      used.insert(available->worker->description.id);
    }
    if (placed.size() == waiting.size() && require_valid_ticket) {
      for (PlacedTask& task : placed) {
        AddPlacement(candidate, std::move(task));
      }
      return;
    }
    if (placed.size() == waiting.size()) {
      RenewTickets(candidate, std::move(used), per_worker);
      return;
    }
    available_workers_ = workers_before;
    free_capacity_ = free_capacity_before;
    free_with_accelerators_ = free_with_accelerators_before;
    isolated_workers_ = isolated_before;
  }
  RequestAdviceAboutNewWorkers(candidate);
  if (HasWaitingSuspects(candidate.job->Step(run), run)) {
    ReserveWorkerForSuspect(candidate);
  }
  ReserveWorkers(candidate, waiting.size());
}

}  // namespace pomelotray
