// The part of PoolScheduler that connects it with the modules which limit and rate starts.

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "cell/ownership/pool_scheduler.h"
#include "customers/cap_dimensions.h"

namespace pomelotray {
namespace {

// Least time between two events that list the images that interfere.
constexpr absl::Duration kInterferenceInterval = absl::Seconds(5);
// Number of pairs that such an event lists: about 1.5 KB of text.
constexpr size_t kMaxPairsInEvent = 20;
constexpr absl::Duration kOverShareInterval = absl::Seconds(5);
// Bounds the length of a log line.
constexpr size_t kMaxCustomersInLine = 10;

int64_t Percent(double share) { return std::llround(share * 100); }

std::string Describe(const CustomerOverShare& customer) {
  return absl::StrCat(customer.customer.empty() ? "(none)" : customer.customer.value(), " uses ",
                      Percent(customer.used), "% of ", Percent(customer.parts.guaranteed), "/",
                      Percent(customer.parts.entitled), "%, ", customer.marked_jobs, " marked");
}

}  // namespace

void PoolScheduler::SetContracts(const std::vector<Contract>& contracts) {
  caps_.SetContracts(contracts);
  shares_.SetContracts(contracts);
}

UnknownUse PoolScheduler::FindUnknownUse(absl::Time now) const {
  UnknownUse unknown;
  unknown.inherited_tasks_may_run = !CanStartInheritedTasks(now);
  for (const auto& [id, worker] : workers_) {
    if (MayHaveUnknownAttempts(id)) {
      unknown.capacity += worker.description.capacity;
    }
  }
  // Without a roster, any worker may run inherited tasks.
  if (unreported_workers_.count(WorkerId()) > 0) {
    unknown.capacity = ToResources({kNoLimit, kNoLimit, kNoLimit});
  }
  return unknown;
}

Result<CapReport> PoolScheduler::ExchangeCaps(const CapCall& call, absl::Time now) {
  BOOST_LEAF_AUTO(report, caps_.Exchange(call, open_jobs_, workers_, FindUnknownUse(now), now));
  report.owner_term = term_;
  return report;
}

RoundPolicies PoolScheduler::PrepareRound(absl::Time now) {
  caps_.BeginRound(open_jobs_, workers_, FindUnknownUse(now), now);
  shares_.BeginRound(open_jobs_, workers_, now);
  RecordSpeedChanges(speeds_.BeginRound(open_jobs_, &workers_, now));
  interference_.BeginRound(now);
  RecordOverShare(now);
  RoundPolicies policies;
  policies.gate = &caps_;
  policies.order = &shares_;
  // A neighbor that is known to slow the task down matters more than the worker's speed, which the
  // neighbors have influenced.
  policies.costs = {&interference_, &speeds_};
  return policies;
}

void PoolScheduler::RecordSpeedChanges(const std::vector<SpeedChange>& changes) {
  for (const SpeedChange& change : changes) {
    events_->Record(EventCode::kWorkerSpeedChanged)
        .Worker(change.worker)
        .With(event_field::kState, change.slow ? "slow" : "recovered")
        .With("percent_of_typical_time", std::lround(100 * std::exp(change.log_slowdown)))
        .With("known_from", change.from_progress ? "progress" : "run_times")
        .Emit();
  }
}

void PoolScheduler::RecordInterference(const RoundResult& round, absl::Time now) {
  if (interference_.HasPairs()) {
    for (const PlacedTask& placed : round.placed) {
      const CellJob& job = *FindJob(placed.task.job);
      interference_.NotePlacement(job.Step(job.runs[placed.task.run]), *FindWorker(placed.worker));
    }
  }
  if (interference_.version() == recorded_interference_ ||
      now - interference_recorded_at_ < kInterferenceInterval) {
    return;
  }
  recorded_interference_ = interference_.version();
  interference_recorded_at_ = now;
  events_->Record(EventCode::kInterferingImages)
      .With("part", part_.Name().value())
      .With("pairs", static_cast<int64_t>(interference_.pairs().size()))
      .With("list", interference_.DescribePairs(kMaxPairsInEvent))
      .Emit();
}

void PoolScheduler::RecordOverShare(absl::Time now) {
  if (now - over_share_recorded_at_ < kOverShareInterval) {
    return;
  }
  std::vector<CustomerOverShare> customers = shares_.FindOverShare();
  const int64_t marked = shares_.TakeMarkedCount();
  if (customers.empty() && marked == 0) {
    return;
  }
  over_share_recorded_at_ = now;
  std::sort(customers.begin(), customers.end(),
            [](const CustomerOverShare& a, const CustomerOverShare& b) {
              return a.used - a.parts.guaranteed > b.used - b.parts.guaranteed;
            });
  std::string text;
  for (size_t i = 0; i < std::min(customers.size(), kMaxCustomersInLine); ++i) {
    absl::StrAppend(&text, i == 0 ? "" : "; ", Describe(customers[i]));
  }
  events_->Record(EventCode::kCustomersOverShare)
      .With("part", part_.Name().value())
      .With("customers", static_cast<int64_t>(customers.size()))
      .With("marked", marked)
      .With("interval_ms", absl::ToInt64Milliseconds(kOverShareInterval))
      .With("shares", text)
      .Emit();
}

void PoolScheduler::LearnFromSuccess(const CellWorker& worker, const Attempt& attempt,
                                     absl::Time now) {
  const CellJob* const job = attempt.task.has_value() ? FindJob(attempt.task->job) : nullptr;
  if (job == nullptr || IsFinal(job->state)) {
    return;
  }
  const StepRun& run = job->runs[attempt.task->run];
  speeds_.NoteSuccess(*job, run, worker, attempt, now);
  interference_.NoteSuccess(*job, run, worker, attempt, now);
}

}  // namespace pomelotray
