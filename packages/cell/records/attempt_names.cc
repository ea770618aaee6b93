#include "cell/records/attempt_names.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

const char* AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return "succeeded";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kStopped:
      return "stopped";
    case AttemptEnd::kLeaseExpired:
      return "lease expired";
    case AttemptEnd::kGangBroken:
      return "gang broken";
    case AttemptEnd::kGangIncomplete:
      return "gang incomplete";
  }
  return "unknown";
}

const char* OrderOutcomeName(const OrderOutcome& outcome) {
  if (!outcome.answer.has_value()) {
    return outcome.never_sent ? "not sent" : "no answer";
  }
  switch (*outcome.answer) {
    case OrderAnswer::kAccepted:
      return "accepted";
    case OrderAnswer::kFenced:
      return "fenced";
    case OrderAnswer::kSuperseded:
      return "superseded";
    case OrderAnswer::kLeaseOver:
      return "lease over";
    case OrderAnswer::kNoRoom:
      return "no room";
    case OrderAnswer::kTicketRefused:
      return "ticket refused";
    case OrderAnswer::kUnhealthy:
      return "unhealthy";
    case OrderAnswer::kMalformed:
      return "malformed";
    case OrderAnswer::kWrongWorker:
      return "wrong worker";
  }
  return "unknown";
}

std::string SummarizeSteps(const WorkflowSpec& spec) {
  std::string shape;
  for (const StepSpec& step : spec.steps) {
    absl::StrAppend(
        &shape, shape.empty() ? "" : " ", step.task_count, "x", step.demand.cpu.value(), "c",
        step.demand.accelerators.value(), "a", absl::ToInt64Milliseconds(step.estimate), "ms",
        step.gang ? " gang" : "", step.long_running ? " long" : "", step.speculative ? " spec" : "",
        step.best_effort ? " fills" : "", step.max_per_worker > 0 ? " spread" : "",
        step.latency_target > absl::ZeroDuration() ? " serves" : "",
        step.disruption_budget > 0 ? " budget" : "", step.required_label.empty() ? "" : " label",
        step.preferred_rack.empty() ? "" : " rack", step.same_rack ? " same" : "");
  }
  if (spec.occurrences > 0) {
    absl::StrAppend(&shape, " times ", spec.occurrences);
  }
  return shape;
}

}  // namespace pomelotray
