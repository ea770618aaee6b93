// The part of ScheduleRound that decides which questions to send to the adviser.

#include <algorithm>
#include <utility>

#include "cell/placement/schedule_round.h"

namespace pomelotray {
namespace {

// Lower and upper bound of the number of workers that one question may name, if there are enough
// workers to ask about. The upper bound is the limit of the adviser.
constexpr size_t kMinQuestionWorkers = 8;
constexpr size_t kMaxQuestionWorkers = 100;
// Number of workers named in the first question about a step, unless a wide step needs more. The
// latency objectives allow for one call about 30 workers.
constexpr size_t kFirstQuestionWorkers = 30;
// A first question names enough workers for this multiple of the step's tasks, since the share of
// them that the adviser allows varies.
constexpr double kWideQuestionMargin = 1.25;
// Share of the base time of a question that may be spent on renewing tickets that are not needed
// yet. Free capacity changes while the adviser answers, and a step that waits for capacity would
// otherwise send one question for each worker.
constexpr double kSpareRenewalShare = 0.25;
// Number of questions of late steps that may be unanswered at a time while the owner is busy. It
// spends as much processor time on a question as on several starts.
constexpr size_t kMaxLateQuestions = 16;
// Number of questions of steps that yield that may be unanswered at a time, also if the owner is
// not busy. Questions that wait for a slot name workers whose capacity may be gone when they are
// answered.
constexpr size_t kMaxYieldingQuestions = 32;

// Number of workers that a question may name so that their cost is at most `share` of its base
// time.
size_t MaxWorkersWithinCost(const AdvicePolicy& policy, double share) {
  if (policy.per_worker <= absl::ZeroDuration()) {
    return kMaxQuestionWorkers;
  }
  const double workers = absl::FDivDuration(policy.base, policy.per_worker) * share;
  return std::min(kMaxQuestionWorkers, static_cast<size_t>(workers));
}

}  // namespace

void ScheduleRound::RequestAdviceAhead(const Candidate& candidate) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  if (run.advice.asked.empty()) {
    RequestAdviceAboutNewWorkers(candidate);
    return;
  }
  if (!step.long_running || HasUsableTicket(candidate)) {
    return;
  }
  const TaskCounts per_worker = CountActiveTasks(step, run);
  std::set<WorkerId> with_capacity;
  for (const auto& [id, ticket] : run.advice.allowed) {
    const auto index = available_index_.find(id.value());
    if (index != available_index_.end() && !HasReachedWorkerLimit(step, id, per_worker) &&
        ReservedFor(step).FitsInto(available_workers_[index->second].free)) {
      with_capacity.insert(id);
    }
  }
  if (!with_capacity.empty()) {
    RenewTickets(candidate, std::move(with_capacity), per_worker);
  }
}

bool ScheduleRound::MayHaveToRestart(const CellJob& job, const StepRun& run) const {
  return job.Step(run).long_running && job.intake.policy.advice.has_value() &&
         std::any_of(run.tasks.begin(), run.tasks.end(), [this](const CellTask& task) {
           return task.phase == TaskPhase::kActive &&
                  available_index_.count(task.worker.value()) == 0;
         });
}

bool ScheduleRound::HasUsableTicket(const Candidate& candidate) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const Resources needed = ReservedFor(candidate.job->Step(run));
  return std::any_of(run.advice.allowed.begin(), run.advice.allowed.end(), [&](const auto& entry) {
    const auto index = available_index_.find(entry.first.value());
    return index != available_index_.end() && IsValid(entry.second) &&
           needed.FitsInto(available_workers_[index->second].free);
  });
}

bool ScheduleRound::CanRequestAdvice(const Candidate& candidate) const {
  const StepAdvice& advice = candidate.job->runs[candidate.run].advice;
  const auto asks = [&candidate](const AdviceRequest& request) {
    return request.step.run == candidate.run && request.step.job == candidate.job->intake.id;
  };
  // A step that waits and has tasks on a leaving worker may come to its question twice in a round.
  if (!leaving_tasks_.empty() && std::any_of(result_.advice.begin(), result_.advice.end(), asks)) {
    return false;
  }
  if (candidate.Yields() && yielding_questions_ >= kMaxYieldingQuestions && MayYield(candidate)) {
    return false;
  }
  return candidate.job->intake.policy.advice.has_value() && !advice.question_pending &&
         advice.retry_at <= now_ &&
         (!limits_late_questions_ || late_questions_ < kMaxLateQuestions || !IsLate(candidate) ||
          !MayYield(candidate));
}

void ScheduleRound::RenewTickets(const Candidate& candidate, std::set<WorkerId> wanted,
                                 const TaskCounts& per_worker) {
  if (!CanRequestAdvice(candidate)) {
    return;
  }
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const Resources needed = ReservedFor(step);
  size_t spare_renewals =
      MaxWorkersWithinCost(*candidate.job->intake.policy.advice, kSpareRenewalShare);
  for (const AvailableWorker& available : available_workers_) {
    const WorkerId& id = available.worker->description.id;
    if (spare_renewals > 0 && needed.FitsInto(available.worker->description.capacity) &&
        HasTicket(run, id, false) && !HasTicket(run, id, true) &&
        !HasReachedWorkerLimit(step, id, per_worker) && wanted.insert(id).second) {
      --spare_renewals;
    }
  }
  std::vector<WorkerId> workers(wanted.begin(), wanted.end());
  workers.resize(std::min(workers.size(), kMaxQuestionWorkers));
  RequestAdvice(candidate, std::move(workers));
}

void ScheduleRound::RequestAdviceAboutNewWorkers(const Candidate& candidate) {
  if (!CanRequestAdvice(candidate)) {
    return;
  }
  const AdvicePolicy& policy = *candidate.job->intake.policy.advice;
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const Resources needed = ReservedFor(step);
  // The first question includes workers without free capacity, and so do all questions for gangs,
  // large and suspected tasks, which need workers that can be reserved, and those for tasks that
  // have waited, for which capacity is held as soon as the adviser allows a worker. Any other
  // question is sent only for workers on which the step could start at once; otherwise, every
  // waiting step would ask again while the pool is full.
  const bool first = run.advice.asked.empty();
  const bool include_full = first || step.gang || IsLarge(step) || HasWaitingSuspects(step, run) ||
                            candidate.urgent_since < absl::InfiniteFuture();
  std::vector<std::pair<double, WorkerId>> not_asked;
  for (const AvailableWorker& available : available_workers_) {
    const WorkerDescription& worker = available.worker->description;
    if (needed.FitsInto(include_full ? worker.capacity : available.free) &&
        available.worker->HasLabel(step.required_label) && run.advice.asked.count(worker.id) == 0) {
      not_asked.emplace_back(-DominantShare(available.free, worker.capacity), worker.id);
    }
  }
  if (not_asked.empty()) {
    return;
  }
  // Names at most as many workers as double the cost of the call, since the base time is spent in
  // any case.
  size_t max_workers =
      std::clamp(MaxWorkersWithinCost(policy, 1), kMinQuestionWorkers, kMaxQuestionWorkers);
  std::sort(not_asked.begin(), not_asked.end());
  if (first) {
    max_workers =
        std::min(max_workers, std::max(kFirstQuestionWorkers, WorkersToName(candidate, not_asked)));
  }
  not_asked.resize(std::min(not_asked.size(), max_workers));
  std::vector<WorkerId> workers;
  workers.reserve(not_asked.size());
  for (const auto& [score, id] : not_asked) {
    workers.push_back(id);
  }
  RequestAdvice(candidate, std::move(workers));
}

size_t ScheduleRound::WorkersToName(const Candidate& candidate,
                                    const std::vector<std::pair<double, WorkerId>>& ranked) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const Resources needed = ReservedFor(step);
  const double share = advice_shares_.Share(candidate.job->intake.policy.name);
  const double wanted = kWideQuestionMargin * run.waiting;
  double expected = 0;
  size_t count = 0;
  for (; count < ranked.size() && expected < wanted; ++count) {
    Resources free = available_workers_[available_index_.at(ranked[count].second.value())].free;
    const int limit = step.max_per_worker > 0 ? step.max_per_worker : run.waiting;
    for (int tasks = 0; tasks < limit && needed.FitsInto(free); ++tasks) {
      free -= needed;
      expected += share;
    }
  }
  return count;
}

void ScheduleRound::CompleteQuestion(const Candidate& candidate,
                                     std::vector<WorkerId>* workers) const {
  const StepRun& run = candidate.job->runs[candidate.run];
  const StepSpec& step = candidate.job->Step(run);
  const size_t max_workers = MaxWorkersWithinCost(*candidate.job->intake.policy.advice, 1);
  for (const AvailableWorker& available : available_workers_) {
    const WorkerId& id = available.worker->description.id;
    const bool known = run.advice.asked.count(id) > 0;
    if (workers->size() < max_workers && ReservedFor(step).FitsInto(available.free) &&
        available.worker->HasLabel(step.required_label) &&
        (!known || (HasTicket(run, id, false) && !HasTicket(run, id, true))) &&
        std::find(workers->begin(), workers->end(), id) == workers->end()) {
      workers->push_back(id);
    }
  }
}

void ScheduleRound::RequestAdvice(const Candidate& candidate, std::vector<WorkerId> workers) {
  const StepRun& run = candidate.job->runs[candidate.run];
  const AdvicePolicy& policy = *candidate.job->intake.policy.advice;
  if (candidate.job->Step(run).long_running && !run.advice.asked.empty()) {
    CompleteQuestion(candidate, &workers);
  }
  late_questions_ += IsLate(candidate) ? 1 : 0;
  yielding_questions_ += candidate.Yields() ? 1 : 0;
  AdviceRequest request;
  request.step = TaskRef{candidate.job->intake.id, candidate.run, 0};
  request.priority = candidate.urgent_since < absl::InfiniteFuture()
                         ? highest_priority_
                         : candidate.job->intake.policy.priority;
  request.yielding = candidate.Yields() ? candidate.yielding : Yielding::kNone;
  request.cost = policy.base + policy.per_worker * static_cast<int64_t>(workers.size());
  request.question = AdviceQuestion{StepName(*candidate.job, run), std::move(workers)};
  result_.advice.push_back(std::move(request));
}

}  // namespace pomelotray
