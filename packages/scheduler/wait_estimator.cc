#include "scheduler/wait_estimator.h"

#include <algorithm>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "scheduler/task_fit.h"

namespace pomelotray {
namespace {

// Upper bound of the estimated wait of urgent work. It starts within this time unless there is
// nothing that it can preempt.
constexpr absl::Duration kUrgentStartBound = absl::Milliseconds(6300);
constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxRetryAfter = absl::Minutes(5);
// Declared run times may be ten times too long. A job that is refused by mistake is lost, whereas
// one that is admitted by mistake only expires. Until run times have been observed, admission
// therefore uses a tenth of the declared run time.
constexpr int kDeclaredErrorFactor = 10;

std::string ToText(const Resources& resources) {
  std::ostringstream out;
  out << resources;
  return out.str();
}

}  // namespace

Result<void> WaitEstimator::CheckPlaceable(const JobSpec& spec) const {
  // Only the tasks of a gang must all fit at the same time; for other jobs one task must fit.
  const int64_t needed = spec.kind == JobKind::kGang ? spec.task_count : 1;
  int64_t fitting = 0;
  const WorkerIndex& index = state_->index;
  for (WorkerSlot slot = 0; slot < index.slot_count() && fitting < needed; ++slot) {
    if (index.At(slot).known) {
      fitting += TasksThatFit(index.At(slot).capacity, spec.demand, needed - fitting);
    }
  }
  if (fitting >= needed) {
    return {};
  }
  if (fitting == 0) {
    return Fail(ErrorKind::kUnplaceable,
                absl::StrCat("No worker of pool ", spec.pool.value(), " can hold a task of ",
                             ToText(spec.demand), "; lower the demand of the task."));
  }
  return Fail(ErrorKind::kUnplaceable,
              absl::StrCat("The workers of pool ", spec.pool.value(), " can hold ", fitting,
                           " of the ", needed,
                           " tasks of this gang at once; lower the number of "
                           "tasks or the demand of each."));
}

bool WaitEstimator::FitsNow(const JobSpec& spec) const {
  int64_t missing = spec.kind == JobKind::kGang ? spec.task_count : 1;
  state_->index.VisitFitting(spec.demand, state_->index.slot_count(), [&](WorkerSlot slot) {
    missing -= TasksThatFit(state_->index.At(slot).Free(), spec.demand, missing);
    return missing > 0;
  });
  return missing <= 0;
}

absl::Duration WaitEstimator::BacklogWait(const JobSpec& spec) const {
  constexpr double kMinWeight = 1e-6;
  const double own_weight = std::max(state_->limits->Weight(spec.customer), kMinWeight);
  double total_weight = own_weight;
  double own_backlog = 0;
  for (const auto& [id, customer] : state_->queue.customers()) {
    if (id == spec.customer) {
      own_backlog = customer->backlog;
    } else if (customer->backlog > 0) {
      total_weight += state_->limits->Weight(id);
    }
  }
  const double shared = own_backlog * total_weight / own_weight;
  return absl::Seconds(std::min(state_->queue.backlog(), shared));
}

absl::Duration WaitEstimator::TimeToNextEnd(const JobSpec& spec) const {
  const double running = static_cast<double>(state_->ledger.size());
  return state_->TypicalRunTime(spec) / std::max(1.0, running);
}

absl::Duration WaitEstimator::ExpectedWait(const JobSpec& spec) const {
  const absl::Duration backlog = BacklogWait(spec);
  const bool fits = FitsNow(spec);
  const bool urgent = spec.priority == Priority::kUrgent && state_->queue_policy->PrefersUrgent();
  if (fits && (urgent || state_->queue.queued_tasks() == 0)) {
    return absl::ZeroDuration();
  }
  const absl::Duration wait = fits ? backlog : backlog + TimeToNextEnd(spec);
  return urgent ? std::min(wait, kUrgentStartBound) : wait;
}

absl::Duration WaitEstimator::Jitter(absl::Duration around) const {
  const absl::Duration base = std::clamp(around, kMinRetryAfter, kMaxRetryAfter);
  return base * std::uniform_real_distribution<double>(0.5, 1.5)(state_->jitter);
}

Result<void> WaitEstimator::Admit(const JobSpec& spec) const {
  if (!spec.deadline.has_value()) {
    return {};
  }
  const bool has_samples = state_->estimator.HasSamples(spec.customer, spec.pool);
  const absl::Duration run =
      has_samples ? state_->TypicalRunTime(spec) : spec.expected_run / kDeclaredErrorFactor;
  const absl::Duration remaining = *spec.deadline - state_->clock->Now();
  const absl::Duration needed = ExpectedWait(spec) + run;
  if (needed <= remaining) {
    return {};
  }
  return Fail(ErrorKind::kDeadlineUnmeetable,
              absl::StrCat("The job is expected to take about ", absl::FormatDuration(needed),
                           " but its deadline is in ", absl::FormatDuration(remaining),
                           "; set a later deadline or retry when the pool is less busy."),
              Jitter(needed - remaining));
}

std::string WaitEstimator::WaitReason(const QueuedJob& job) const {
  const JobSpec& spec = job.spec;
  if (job.QueuedCount() == 0) {
    return "";
  }
  if (job.expired) {
    return "The deadline passed before the job could start; the job was not run.";
  }
  if (!job.CanBePlaced()) {
    return absl::StrCat("The job waits until the workers have reported the state of ",
                        job.held.size(), " of its tasks.");
  }
  const int64_t count = job.TasksPerPlacement();
  const Resources use = state_->ledger.CustomerUsage(spec.customer) + spec.demand * count;
  const Resources limit = state_->limits->ResourceLimit(spec.customer);
  if (!use.FitsInto(limit)) {
    return absl::StrCat("Customer ", spec.customer.value(), " would hold ", ToText(use),
                        " of its limit ", ToText(limit), " in this shard.");
  }
  const DrainReservation* drain = state_->DrainOf(job.id);
  if (drain != nullptr) {
    return absl::StrCat("Workers are being drained for the job; it is expected to start at ",
                        absl::FormatTime(drain->start(), absl::UTCTimeZone()), ".");
  }
  if (state_->preemptions.EarmarksOf(job.id) > 0) {
    return "Tasks of lower priority are being stopped to free capacity for the job.";
  }
  if (!FitsNow(spec)) {
    return absl::StrCat("The workers do not have enough free capacity for ", count, " tasks of ",
                        ToText(spec.demand), " at the moment.");
  }
  const std::string reason =
      absl::StrCat("The job waits for its turn; ", state_->queue.queued_tasks(),
                   " tasks are queued in this shard.");
  const size_t quarantined = state_->health.quarantined_count();
  return quarantined == 0
             ? reason
             : absl::StrCat(
                   reason, " ", quarantined,
                   " workers are quarantined after failed starts and get only probe tasks.");
}

}  // namespace pomelotray
