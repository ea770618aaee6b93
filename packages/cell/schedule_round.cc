#include "cell/schedule_round.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace pomelotray {
namespace {

// A ticket must outlast the order on its way: two inter-region round trips and a queue of orders.
constexpr absl::Duration kTicketMargin = absl::Milliseconds(250);
// Fewest and most workers named in one question; the most is the adviser's own limit.
constexpr size_t kMinAsked = 8;
constexpr size_t kMaxAsked = 100;
// Workers named in a step's first question. The objectives allow for one call about 30 workers.
constexpr size_t kFirstAsked = 30;
// Share of a question's base time that may go into renewing tickets that are not needed now. Rooms
// change while the answer is on its way, and a step that waits for room would ask for each by
// itself.
constexpr double kSpareRenewalShare = 0.25;
// Share of the pool's workers that may be kept empty for large tasks; more would idle the pool.
constexpr double kMaxKeptShare = 0.34;
// Work backfills a worker that is kept for a large task when this many times its estimate fits into
// the time until the worker should be free: estimates are up to 90% off.
constexpr double kBackfillFactor = 2;
// Share of the pool that patient work leaves free while there is more urgent work. The most urgent
// queues take a fifth of their pools, and bursts double them for seconds.
constexpr double kHeadroomShare = 0.15;
// A step is patient if it can wait for this long: a burst takes 4 s.
constexpr absl::Duration kPatience = absl::Seconds(5);
// A task that needs this share of a worker is large: gaps of that size do not appear by themselves.
constexpr double kLargeShare = 0.4;

// Free memory and processors left after a placement weigh alike; accelerators are scarcest.
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

// Whether `demand` fits into `room` in each dimension that it needs anything of.
bool FitsWhereNeeded(const Resources& demand, const Resources& room) {
  return (demand.cpu.value() == 0 || demand.cpu <= room.cpu) &&
         (demand.memory.value() == 0 || demand.memory <= room.memory) &&
         (demand.accelerators.value() == 0 || demand.accelerators <= room.accelerators);
}

// How many workers a question may name so that they take `share` of its base time.
size_t Affordable(const AdvicePolicy& policy, double share) {
  if (policy.per_worker <= absl::ZeroDuration()) {
    return kMaxAsked;
  }
  const double workers = absl::FDivDuration(policy.base, policy.per_worker) * share;
  return std::min(kMaxAsked, static_cast<size_t>(workers));
}

// True when the steps that the run waits for are all at work and should end while a ticket that is
// asked for now is still valid.
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
  if (step.fills) {
    reserved.cpu = MilliCores(0);
  }
  return reserved;
}

bool IsServing(const StepSpec& step) { return step.latency_target > absl::ZeroDuration(); }

void SetNeeds(const StepSpec& step, Attempt* attempt) {
  attempt->reserved = ReservedFor(step);
  attempt->serves = IsServing(step);
  attempt->fills = step.fills;
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
                             const std::map<WorkerId, CellWorker>& workers, absl::Time now)
    : jobs_(jobs), now_(now) {
  Resources capacity;
  for (const auto& [id, worker] : workers) {
    if (worker.AcceptsStarts(now)) {
      Room room;
      room.worker = &worker;
      room.free = worker.Free();
      room.serving = worker.HasServing();
      room.filling = worker.HasFilling();
      room_of_[worker.description.id.value()] = rooms_.size();
      rooms_.push_back(room);
      capacity += worker.description.capacity;
      free_ += room.free;
    }
  }
  headroom_ = ShareOf(capacity, kHeadroomShare);
}

void ScheduleRound::Collect(bool inherited_allowed) {
  most_urgent_ = std::numeric_limits<int>::max();
  for (const auto& [id, job] : jobs_) {
    most_urgent_ = std::min(most_urgent_, job->intake.policy.priority);
    if (job->cancel_requested || (job->inherited && !inherited_allowed)) {
      continue;
    }
    for (size_t i = 0; i < job->runs.size(); ++i) {
      if (IsStartable(*job, job->runs[i], now_)) {
        candidates_.push_back(Candidate{job, static_cast<int>(i)});
      } else if (WillStartSoon(*job, job->runs[i])) {
        upcoming_.push_back(Candidate{job, static_cast<int>(i)});
      }
    }
  }
  // Refers to the ids: copies of them would be most of the time of the sort.
  const auto key = [this](const Candidate& c) {
    return std::tuple<bool, int, bool, absl::Time, const JobId&, int>(
        c.job->worthless_after < now_, c.job->intake.policy.priority,
        c.job->runs[c.run].latest_start < now_, c.job->objective, c.job->intake.id, c.run);
  };
  std::sort(candidates_.begin(), candidates_.end(),
            [&key](const Candidate& a, const Candidate& b) { return key(a) < key(b); });
}

RoundResult ScheduleRound::Run(bool inherited_allowed) {
  Collect(inherited_allowed);
  for (const Candidate& candidate : candidates_) {
    ConsiderStep(candidate);
  }
  for (const Candidate& candidate : upcoming_) {
    AskAhead(candidate);
  }
  return std::move(result_);
}

void ScheduleRound::ConsiderStep(const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  std::vector<int> waiting;
  for (size_t i = 0; i < run.tasks.size(); ++i) {
    if (run.tasks[i].phase == TaskPhase::kWaiting) {
      waiting.push_back(static_cast<int>(i));
    }
  }
  if (!step.gang) {
    PlaceTasks(candidate, waiting);
  } else if (waiting.size() == run.tasks.size()) {
    PlaceGang(candidate, waiting);
  }
}

bool ScheduleRound::IsValid(const StepAdvice::Ticket& ticket) const {
  return ticket.expires > now_ + kTicketMargin;
}

bool ScheduleRound::HasTicket(const StepRun& run, const WorkerId& worker, bool valid) const {
  const auto it = run.advice.allowed.find(worker);
  return it != run.advice.allowed.end() && (!valid || IsValid(it->second));
}

bool ScheduleRound::MayUse(const StepSpec& step, const Room& room) const {
  return (!room.kept || EndsInTime(step, room)) && !(room.serving && step.fills) &&
         !(room.filling && IsServing(step)) && room.worker->HasLabel(step.required_label);
}

std::vector<ScheduleRound::Option> ScheduleRound::OptionsFor(const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  std::vector<Option> options;
  if (!candidate.job->intake.policy.advice.has_value()) {
    for (Room& room : rooms_) {
      if (MayUse(step, room)) {
        options.push_back(Option{&room, /*has_ticket=*/true});
      }
    }
    return options;
  }
  options.reserve(run.advice.allowed.size());
  for (const auto& [id, ticket] : run.advice.allowed) {
    const auto index = room_of_.find(id.value());
    if (index != room_of_.end() && MayUse(step, rooms_[index->second])) {
      options.push_back(Option{&rooms_[index->second], IsValid(ticket)});
    }
  }
  return options;
}

bool ScheduleRound::EndsInTime(const StepSpec& step, const Room& room) const {
  return !step.long_running && !step.gang &&
         now_ + step.estimate * kBackfillFactor <= room.kept_until;
}

bool ScheduleRound::IsSpread(const StepSpec& step, const WorkerId& worker,
                             const TaskCounts& per_worker) {
  const auto used = per_worker.find(worker.value());
  return step.max_per_worker > 0 && used != per_worker.end() && used->second >= step.max_per_worker;
}

ScheduleRound::Room* ScheduleRound::FindRoom(const Candidate& candidate, const CellTask& task,
                                             const std::vector<Option>& options, bool with_ticket,
                                             const TaskCounts& per_worker) {
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  const Resources needed = ReservedFor(step);
  Room* best = nullptr;
  std::tuple<bool, bool, double> best_score;
  result_.rooms_considered += static_cast<int64_t>(options.size());
  for (const Option& option : options) {
    Room* const room = option.room;
    const WorkerDescription& worker = room->worker->description;
    if ((with_ticket && !option.has_ticket) || !needed.FitsInto(room->free) ||
        IsSpread(step, worker.id, per_worker)) {
      continue;
    }
    const std::tuple<bool, bool, double> score(worker.id == task.avoid,
                                               !room->worker->HasLabel(step.preferred_rack),
                                               LeftoverScore(room->free - needed, worker.capacity));
    if (best == nullptr || score < best_score) {
      best = room;
      best_score = score;
    }
  }
  return best;
}

void ScheduleRound::PlaceTasks(const Candidate& candidate, const std::vector<int>& waiting) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  TaskCounts per_worker;
  if (step.max_per_worker > 0) {
    for (const CellTask& task : run.tasks) {
      if (task.phase == TaskPhase::kActive) {
        ++per_worker[task.worker.value()];
      }
    }
  }
  const std::vector<Option> options = OptionsFor(candidate);
  bool with_ticket = true;
  bool full = false;
  int first_missing = 0;
  std::set<WorkerId> to_renew;
  for (const int index : waiting) {
    if (!LeavesHeadroom(candidate)) {
      break;
    }
    const CellTask& task = run.tasks[index];
    Room* room = with_ticket ? FindRoom(candidate, task, options, true, per_worker) : nullptr;
    if (room != nullptr) {
      result_.placed.push_back(Place(candidate, index, *room));
    } else {
      // Room that the step will take once its tickets are renewed is kept from later steps.
      with_ticket = false;
      room = FindRoom(candidate, task, options, false, per_worker);
      if (room == nullptr) {
        full = true;
        first_missing = index;
        break;
      }
      to_renew.insert(room->worker->description.id);
    }
    Take(step, room);
    ++per_worker[room->worker->description.id.value()];
  }
  if (!to_renew.empty()) {
    RenewTickets(candidate, std::move(to_renew), per_worker);
  } else if (full) {
    AskAboutOthers(candidate);
    const size_t missing = std::count_if(waiting.begin(), waiting.end(),
                                         [&](int index) { return index >= first_missing; });
    if (IsServing(step)) {
      ClearForServing(candidate);
    } else if (IsLarge(step)) {
      KeepRoom(candidate, missing);
    }
  }
}

void ScheduleRound::ClearForServing(const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const bool needs_ticket = candidate.job->intake.policy.advice.has_value();
  for (Room& room : rooms_) {
    const WorkerId& id = room.worker->description.id;
    if (room.filling && !room.kept && ReservedFor(step).FitsInto(room.free) &&
        room.worker->HasLabel(step.required_label) &&
        (!needs_ticket || HasTicket(run, id, /*valid=*/false))) {
      room.kept = true;
      result_.to_clear.push_back(id);
      return;
    }
  }
}

bool ScheduleRound::LeavesHeadroom(const Candidate& candidate) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const bool patient =
      candidate.job->intake.policy.priority > most_urgent_ && run.latest_start > now_ + kPatience;
  // A step that has not asked the adviser yet goes on to do so.
  const bool asked = !candidate.job->intake.policy.advice.has_value() || !run.advice.asked.empty();
  return !patient || !asked ||
         FitsWhereNeeded(ReservedFor(candidate.job->Step(run)), free_ - headroom_);
}

bool ScheduleRound::IsLarge(const StepSpec& step) const {
  return std::any_of(rooms_.begin(), rooms_.end(), [&step](const Room& room) {
    return DominantShare(ReservedFor(step), room.worker->description.capacity) >= kLargeShare;
  });
}

void ScheduleRound::AskAhead(const Candidate& candidate) {
  if (candidate.job->runs[candidate.run].advice.asked.empty()) {
    AskAboutOthers(candidate);
  }
}

void ScheduleRound::Take(const StepSpec& step, Room* room) {
  room->free -= ReservedFor(step);
  free_ -= ReservedFor(step);
  room->serving = room->serving || IsServing(step);
  room->filling = room->filling || step.fills;
}

PlacedTask ScheduleRound::Place(const Candidate& candidate, int task, const Room& room) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const WorkerId& id = room.worker->description.id;
  const auto ticket = run.advice.allowed.find(id);
  return PlacedTask{TaskRef{candidate.job->intake.id, candidate.run, task}, id,
                    ticket == run.advice.allowed.end() ? "" : ticket->second.text};
}

void ScheduleRound::PlaceGang(const Candidate& candidate, const std::vector<int>& waiting) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const std::vector<Option> options = OptionsFor(candidate);
  for (const bool with_ticket : {true, false}) {
    const std::vector<Room> before = rooms_;
    const Resources free_before = free_;
    TaskCounts per_worker;
    std::vector<PlacedTask> placed;
    std::set<WorkerId> used;
    for (const int index : waiting) {
      Room* room = FindRoom(candidate, run.tasks[index], options, with_ticket, per_worker);
      if (room == nullptr) {
        break;
      }
      Take(step, room);
      ++per_worker[room->worker->description.id.value()];
      used.insert(room->worker->description.id);
      placed.push_back(Place(candidate, index, *room));
    }
    if (placed.size() == waiting.size() && with_ticket) {
      result_.placed.insert(result_.placed.end(), placed.begin(), placed.end());
      return;
    }
    if (placed.size() == waiting.size()) {
      RenewTickets(candidate, std::move(used), per_worker);
      return;
    }
    rooms_ = before;
    free_ = free_before;
  }
  AskAboutOthers(candidate);
  KeepRoom(candidate, waiting.size());
}

void ScheduleRound::KeepRoom(const Candidate& candidate, size_t tasks) {
  if (candidate.job->worthless_after < now_) {
    return;
  }
  const Resources needed = ReservedFor(candidate.job->Step(candidate.job->runs[candidate.run]));
  std::vector<Room*> usable;
  for (const Option& option : OptionsFor(candidate)) {
    if (!option.room->kept && needed.FitsInto(option.room->worker->description.capacity)) {
      usable.push_back(option.room);
    }
  }
  // The emptiest workers become free for the gang first.
  std::stable_sort(usable.begin(), usable.end(), [](const Room* a, const Room* b) {
    return DominantShare(a->worker->used, a->worker->description.capacity) <
           DominantShare(b->worker->used, b->worker->description.capacity);
  });
  size_t seats = 0;
  std::vector<Room*> kept;
  for (Room* room : usable) {
    if (seats >= tasks) {
      break;
    }
    Resources left = room->worker->description.capacity;
    for (; seats < tasks && needed.FitsInto(left); ++seats) {
      left -= needed;
    }
    kept.push_back(room);
  }
  // A gang that the known workers cannot hold at all would keep them empty for nothing.
  const size_t limit = static_cast<size_t>(kMaxKeptShare * static_cast<double>(rooms_.size()));
  const bool gang = candidate.job->Step(candidate.job->runs[candidate.run]).gang;
  if ((gang && seats < tasks) || kept_workers_ + kept.size() > std::max<size_t>(limit, 1)) {
    return;
  }
  kept_workers_ += kept.size();
  for (Room* room : kept) {
    room->kept = true;
    room->kept_until = room->worker->ExpectedFree(needed, now_);
  }
}

bool ScheduleRound::MayAsk(const Candidate& candidate) const {
  const StepAdvice& advice = candidate.job->runs[candidate.run].advice;
  return candidate.job->intake.policy.advice.has_value() && !advice.outstanding &&
         advice.retry_at <= now_;
}

void ScheduleRound::RenewTickets(const Candidate& candidate, std::set<WorkerId> wanted,
                                 const TaskCounts& per_worker) {
  if (!MayAsk(candidate)) {
    return;
  }
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const Resources needed = ReservedFor(step);
  size_t spare = Affordable(*candidate.job->intake.policy.advice, kSpareRenewalShare);
  for (const Room& room : rooms_) {
    const WorkerId& id = room.worker->description.id;
    if (spare > 0 && needed.FitsInto(room.worker->description.capacity) &&
        HasTicket(run, id, false) && !HasTicket(run, id, true) && !IsSpread(step, id, per_worker) &&
        wanted.insert(id).second) {
      --spare;
    }
  }
  std::vector<WorkerId> workers(wanted.begin(), wanted.end());
  workers.resize(std::min(workers.size(), kMaxAsked));
  Ask(candidate, std::move(workers));
}

void ScheduleRound::AskAboutOthers(const Candidate& candidate) {
  if (!MayAsk(candidate)) {
    return;
  }
  const AdvicePolicy& policy = *candidate.job->intake.policy.advice;
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const Resources needed = ReservedFor(step);
  // The first question covers workers that are full now, as do those for large tasks, for which
  // room has to be kept. Others are worth a call only for room that the step would take at once: a
  // full pool would make every waiting step ask again.
  const bool first = run.advice.asked.empty();
  const bool full_too = first || step.gang || IsLarge(step);
  std::vector<std::pair<double, WorkerId>> others;
  for (const Room& room : rooms_) {
    const WorkerDescription& worker = room.worker->description;
    if (needed.FitsInto(full_too ? worker.capacity : room.free) &&
        room.worker->HasLabel(step.required_label) && run.advice.asked.count(worker.id) == 0) {
      others.emplace_back(-DominantShare(room.free, worker.capacity), worker.id);
    }
  }
  if (others.empty()) {
    return;
  }
  // A question costs its base time anyway; naming workers up to the same time again is worthwhile.
  const size_t affordable =
      std::clamp(Affordable(policy, 1), kMinAsked, first ? kFirstAsked : kMaxAsked);
  std::sort(others.begin(), others.end());
  others.resize(std::min(others.size(), affordable));
  std::vector<WorkerId> workers;
  workers.reserve(others.size());
  for (const auto& [score, id] : others) {
    workers.push_back(id);
  }
  Ask(candidate, std::move(workers));
}

void ScheduleRound::Ask(const Candidate& candidate, std::vector<WorkerId> workers) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const AdvicePolicy& policy = *candidate.job->intake.policy.advice;
  AdviceRequest request;
  request.step = TaskRef{candidate.job->intake.id, candidate.run, 0};
  request.priority = candidate.job->intake.policy.priority;
  request.cost = policy.base + policy.per_worker * static_cast<int64_t>(workers.size());
  request.question = AdviceQuestion{StepName(*candidate.job, run), std::move(workers)};
  result_.advice.push_back(std::move(request));
}

}  // namespace pomelotray
