#include "cell/workflow.h"

#include <algorithm>
#include <functional>

#include "absl/strings/str_cat.h"
#include "base/json_number.h"

namespace pomelotray {
namespace {

// Stored jobs with higher values cannot be read, see DecodeIntake().
constexpr absl::Duration kMaxDuration = absl::Milliseconds(kMaxJsonMillis);
constexpr absl::Time kLatestDue = absl::FromUnixMillis(kMaxJsonUnixMillis);
constexpr Resources kMaxDemand = {MilliCores(kMaxJsonCount), MebiBytes(kMaxJsonCount),
                                  AcceleratorCount(kMaxJsonCount), SlotCount(kMaxJsonCount)};

boost::leaf::error_id Invalid(std::string message) {
  return Fail(ErrorKind::kInvalidArgument, std::move(message));
}

Result<void> CheckStep(const WorkflowSpec& spec, size_t index) {
  const StepSpec& step = spec.steps[index];
  if (step.task_count < 1) {
    return Invalid(
        absl::StrCat("Step ", index, " has no tasks; set its task count to at least 1."));
  }
  if (step.demand.AnyNegative() || step.max_per_worker < 0 || step.disruption_budget < 0 ||
      step.estimate < absl::ZeroDuration() || step.latency_target < absl::ZeroDuration()) {
    return Invalid(absl::StrCat("Step ", index, " has a negative value; use values of 0 or more."));
  }
  if (!(step.demand.FitsInto(kMaxDemand) && step.estimate <= kMaxDuration &&
        step.latency_target <= kMaxDuration)) {
    return Invalid(absl::StrCat("Step ", index, " has a demand above ", kMaxJsonCount,
                                " or a duration above 100 years; use lower values."));
  }
  for (const int earlier : step.after) {
    if (earlier < 0 || earlier >= static_cast<int>(spec.steps.size())) {
      return Invalid(absl::StrCat("Step ", index, " depends on step ", earlier,
                                  ", which does not exist; use the index of a step of the job."));
    }
  }
  return {};
}

// Topological sort (Kahn's algorithm); false if the dependencies contain a cycle.
bool IsAcyclic(const WorkflowSpec& spec) {
  std::vector<size_t> missing(spec.steps.size());
  std::vector<int> ready;
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    missing[i] = spec.steps[i].after.size();
    if (missing[i] == 0) {
      ready.push_back(static_cast<int>(i));
    }
  }
  size_t ordered = 0;
  while (!ready.empty()) {
    const int done = ready.back();
    ready.pop_back();
    ++ordered;
    for (size_t i = 0; i < spec.steps.size(); ++i) {
      for (const int earlier : spec.steps[i].after) {
        if (earlier == done && --missing[i] == 0) {
          ready.push_back(static_cast<int>(i));
        }
      }
    }
  }
  return ordered == spec.steps.size();
}

Result<void> CheckOccurrences(const WorkflowSpec& spec) {
  if (spec.occurrences < 0 || spec.interval < absl::ZeroDuration()) {
    return Invalid(
        "The occurrences or the interval of the job are negative; use values of 0 or more.");
  }
  if (spec.interval > kMaxDuration || spec.first_due > kLatestDue) {
    return Invalid(
        "The interval of the job is longer than 100 years, or its first start is after the year "
        "9999; use lower values.");
  }
  return {};
}

}  // namespace

Result<void> ValidateWorkflow(const WorkflowSpec& spec, const WorkflowLimits& limits) {
  if (spec.payload.size() > limits.max_payload_bytes) {
    return Invalid(absl::StrCat("The payload has ", spec.payload.size(), " bytes; send at most ",
                                limits.max_payload_bytes, "."));
  }
  if (spec.steps.empty() || static_cast<int>(spec.steps.size()) > limits.max_steps) {
    return Invalid(absl::StrCat("The job has ", spec.steps.size(), " steps; send 1 to ",
                                limits.max_steps, "."));
  }
  BOOST_LEAF_CHECK(CheckOccurrences(spec));
  int64_t tasks = 0;
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    BOOST_LEAF_CHECK(CheckStep(spec, i));
    tasks += spec.steps[i].task_count;
  }
  const int64_t occurrences = std::max(spec.occurrences, 1);
  // The product may overflow.
  if (tasks > limits.max_tasks / occurrences) {
    return Invalid(absl::StrCat("The job has ", tasks, " tasks in each of ", occurrences,
                                " occurrences; send at most ", limits.max_tasks,
                                " over all steps and occurrences."));
  }
  if (!IsAcyclic(spec)) {
    return Invalid("The dependencies of the steps form a cycle; remove one of them.");
  }
  return {};
}

std::vector<absl::Duration> LongestPathsToEnd(const WorkflowSpec& spec) {
  std::vector<absl::Duration> paths(spec.steps.size(), absl::ZeroDuration());
  // Each iteration finalizes at least the steps whose successors are final, so one iteration for
  // each step is enough.
  for (size_t round = 0; round < spec.steps.size(); ++round) {
    std::vector<absl::Duration> after(spec.steps.size(), absl::ZeroDuration());
    for (size_t i = 0; i < spec.steps.size(); ++i) {
      for (const int earlier : spec.steps[i].after) {
        after[earlier] = std::max(after[earlier], paths[i]);
      }
    }
    for (size_t i = 0; i < spec.steps.size(); ++i) {
      paths[i] = spec.steps[i].estimate + after[i];
    }
  }
  return paths;
}

std::vector<bool> StepsOnCriticalPath(const WorkflowSpec& spec,
                                      const std::vector<absl::Duration>& paths) {
  const absl::Duration longest =
      paths.empty() ? absl::ZeroDuration() : *std::max_element(paths.begin(), paths.end());
  std::vector<bool> critical(paths.size(), false);
  // Each iteration finds at least the next step of each longest path.
  for (size_t round = 0; round < paths.size(); ++round) {
    for (size_t i = 0; i < paths.size(); ++i) {
      const std::vector<int>& after = spec.steps[i].after;
      critical[i] =
          (after.empty() && paths[i] == longest) ||
          std::any_of(after.begin(), after.end(), [&](int earlier) {
            return critical[earlier] && paths[earlier] == spec.steps[earlier].estimate + paths[i];
          });
    }
  }
  return critical;
}

absl::Duration CriticalPath(const WorkflowSpec& spec) {
  absl::Duration longest;
  for (const absl::Duration path : LongestPathsToEnd(spec)) {
    longest = std::max(longest, path);
  }
  return longest;
}

}  // namespace pomelotray
