#include "cell/schedule_round.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelotray {
namespace {

// A ticket must outlast the order on its way: two inter-region round trips and a queue of orders.
constexpr absl::Duration kTicketMargin = absl::Milliseconds(250);
// Fewest and most workers named in one question; the most is the adviser's own limit.
constexpr size_t kMinAsked = 8;
constexpr size_t kMaxAsked = 100;
// Extra workers named when tickets are renewed, since rooms change while the answer is on its way.
constexpr size_t kSpareRenewals = 2;
// Gangs that may keep workers empty at the same time. Each keeps a third of a pool's workers where
// a third is allowed; more would idle the pool.
constexpr int kMaxKeepingGangs = 1;

// Free memory and processors left after a placement weigh alike; accelerators are scarcest.
double LeftoverScore(const Resources& left, const Resources& capacity) {
  return DominantShare(left, capacity);
}

}  // namespace

Resources ReservedFor(const StepSpec& step) {
  Resources reserved = step.demand;
  if (step.fills) {
    reserved.cpu = MilliCores(0);
  }
  return reserved;
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

ScheduleRound::ScheduleRound(const std::map<JobId, CellJob>& jobs,
                             const std::map<WorkerId, CellWorker>& workers, absl::Time now)
    : jobs_(jobs), now_(now) {
  for (const auto& [id, worker] : workers) {
    if (worker.AcceptsStarts(now)) {
      rooms_.push_back(Room{&worker, worker.Free(), false});
    }
  }
}

void ScheduleRound::Collect(bool inherited_allowed) {
  for (const auto& [id, job] : jobs_) {
    if (IsFinal(job.state) || job.cancel_requested || (job.inherited && !inherited_allowed)) {
      continue;
    }
    for (size_t i = 0; i < job.runs.size(); ++i) {
      if (IsStartable(job, job.runs[i], now_)) {
        candidates_.push_back(Candidate{&job, static_cast<int>(i)});
      }
    }
  }
  const auto key = [this](const Candidate& c) {
    return std::make_tuple(c.job->worthless_after < now_, c.job->intake.policy.priority,
                           c.job->objective, c.job->intake.id.value(), c.run);
  };
  std::sort(candidates_.begin(), candidates_.end(),
            [&key](const Candidate& a, const Candidate& b) { return key(a) < key(b); });
}

RoundResult ScheduleRound::Run(bool inherited_allowed) {
  Collect(inherited_allowed);
  for (const Candidate& candidate : candidates_) {
    ConsiderStep(candidate);
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

bool ScheduleRound::HasTicket(const StepRun& run, const WorkerId& worker, bool valid) const {
  const auto it = run.advice.allowed.find(worker);
  return it != run.advice.allowed.end() &&
         (!valid || it->second.expires > now_ + kTicketMargin);
}

bool ScheduleRound::MayUse(const Candidate& candidate, const Room& room, bool with_ticket) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  return !room.kept_for_gang && room.worker->HasLabel(step.required_label) &&
         (!candidate.job->intake.policy.advice.has_value() ||
          HasTicket(run, room.worker->description.id, with_ticket));
}

ScheduleRound::Room* ScheduleRound::FindRoom(
    const Candidate& candidate, const CellTask& task, bool with_ticket,
    const absl::flat_hash_map<std::string, int>& per_worker) {
  const StepSpec& step = candidate.job->Step(candidate.job->runs[candidate.run]);
  const Resources needed = ReservedFor(step);
  Room* best = nullptr;
  std::tuple<bool, bool, double> best_score;
  for (Room& room : rooms_) {
    const WorkerDescription& worker = room.worker->description;
    if (!needed.FitsInto(room.free) || !MayUse(candidate, room, with_ticket)) {
      continue;
    }
    const auto used = per_worker.find(worker.id.value());
    if (step.max_per_worker > 0 && used != per_worker.end() &&
        used->second >= step.max_per_worker) {
      continue;
    }
    const std::tuple<bool, bool, double> score(
        worker.id == task.avoid, !room.worker->HasLabel(step.preferred_rack),
        LeftoverScore(room.free - needed, worker.capacity));
    if (best == nullptr || score < best_score) {
      best = &room;
      best_score = score;
    }
  }
  return best;
}

void ScheduleRound::PlaceTasks(const Candidate& candidate, const std::vector<int>& waiting) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  absl::flat_hash_map<std::string, int> per_worker;
  if (step.max_per_worker > 0) {
    for (const CellTask& task : run.tasks) {
      if (task.phase == TaskPhase::kActive) {
        ++per_worker[task.worker.value()];
      }
    }
  }
  size_t missing = 0;
  bool no_ticket = false;
  for (const int index : waiting) {
    const CellTask& task = run.tasks[index];
    Room* room = no_ticket ? nullptr : FindRoom(candidate, task, /*with_ticket=*/true, per_worker);
    if (room != nullptr) {
      const WorkerId& id = room->worker->description.id;
      const auto ticket = run.advice.allowed.find(id);
      result_.placed.push_back(
          PlacedTask{TaskRef{candidate.job->intake.id, candidate.run, index}, id,
                     ticket == run.advice.allowed.end() ? "" : ticket->second.text});
    } else {
      no_ticket = true;
      ++missing;
      // Room that the step will take once its tickets are renewed is kept from later steps.
      room = FindRoom(candidate, task, /*with_ticket=*/false, per_worker);
      if (room == nullptr) {
        missing += waiting.end() - std::find(waiting.begin(), waiting.end(), index) - 1;
        break;
      }
    }
    room->free -= ReservedFor(step);
    ++per_worker[room->worker->description.id.value()];
  }
  if (missing > 0) {
    AskAdvice(candidate, missing);
  }
}

void ScheduleRound::PlaceGang(const Candidate& candidate, const std::vector<int>& waiting) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  for (const bool with_ticket : {true, false}) {
    const std::vector<Room> before = rooms_;
    absl::flat_hash_map<std::string, int> per_worker;
    std::vector<PlacedTask> placed;
    for (const int index : waiting) {
      Room* room = FindRoom(candidate, run.tasks[index], with_ticket, per_worker);
      if (room == nullptr) {
        break;
      }
      room->free -= ReservedFor(step);
      const WorkerId& id = room->worker->description.id;
      ++per_worker[id.value()];
      const auto ticket = run.advice.allowed.find(id);
      placed.push_back(
          PlacedTask{TaskRef{candidate.job->intake.id, candidate.run, index}, id,
                     ticket == run.advice.allowed.end() ? "" : ticket->second.text});
    }
    if (placed.size() == waiting.size()) {
      if (with_ticket) {
        result_.placed.insert(result_.placed.end(), placed.begin(), placed.end());
      } else {
        AskAdvice(candidate, waiting.size());
      }
      return;
    }
    rooms_ = before;
  }
  AskAdvice(candidate, waiting.size());
  KeepForGang(candidate);
}

void ScheduleRound::KeepForGang(const Candidate& candidate) {
  if (candidate.job->worthless_after < now_ || keeping_gangs_ >= kMaxKeepingGangs) {
    return;
  }
  ++keeping_gangs_;
  for (Room& room : rooms_) {
    if (MayUse(candidate, room, /*with_ticket=*/false)) {
      room.kept_for_gang = true;
    }
  }
}

void ScheduleRound::AskAdvice(const Candidate& candidate, size_t missing) {
  const std::optional<AdvicePolicy>& policy = candidate.job->intake.policy.advice;
  const StepRun& run = candidate.job->runs[candidate.run];
  if (!policy.has_value() || run.advice.outstanding || run.advice.retry_at > now_) {
    return;
  }
  const StepSpec& step = candidate.job->Step(run);
  const Resources needed = ReservedFor(step);
  std::vector<WorkerId> expired;
  std::vector<std::pair<double, WorkerId>> unasked;
  for (const Room& room : rooms_) {
    const WorkerDescription& worker = room.worker->description;
    if (!needed.FitsInto(worker.capacity) || !room.worker->HasLabel(step.required_label)) {
      continue;
    }
    if (run.advice.asked.count(worker.id) == 0) {
      unasked.emplace_back(-DominantShare(room.free, worker.capacity), worker.id);
    } else if (HasTicket(run, worker.id, false) && !HasTicket(run, worker.id, true) &&
               needed.FitsInto(room.worker->Free())) {
      expired.push_back(worker.id);
    }
  }
  if (!expired.empty()) {
    expired.resize(std::min(expired.size(), std::min(missing + kSpareRenewals, kMaxAsked)));
    Ask(candidate, std::move(expired));
    return;
  }
  if (unasked.empty()) {
    return;
  }
  // A question costs its base time anyway; naming workers up to the same time again is worthwhile.
  const size_t affordable =
      policy->per_worker > absl::ZeroDuration()
          ? static_cast<size_t>(absl::FDivDuration(policy->base, policy->per_worker))
          : kMaxAsked;
  std::sort(unasked.begin(), unasked.end());
  unasked.resize(std::min(unasked.size(), std::clamp(affordable, kMinAsked, kMaxAsked)));
  std::vector<WorkerId> workers;
  for (const auto& [score, id] : unasked) {
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
