#include "cell/intake/cap_check.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

Result<void> CheckFitsCap(const WorkflowSpec& spec, const Resources& cap) {
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    const Resources& task = step.demand;
    const Resources needed = step.gang ? task * step.task_count : task;
    if (!needed.FitsInto(cap)) {
      return Fail(ErrorKind::kInvalidArgument,
                  absl::StrCat(step.gang ? "The gang" : "A task", " of step ", i,
                               " needs more than the cap of the workspace and could never start; "
                               "reduce its demand, or have the operators raise the cap."));
    }
  }
  return {};
}

}  // namespace pomelotray
