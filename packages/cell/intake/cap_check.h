#ifndef POMELOTRAY_CELL_INTAKE_CAP_CHECK_H_
#define POMELOTRAY_CELL_INTAKE_CAP_CHECK_H_

#include "base/error.h"
#include "base/resources.h"
#include "cell/workflow.h"

namespace pomelotray {

// Fails with kInvalidArgument if a task of the job, or a gang as a whole, needs more than `cap`, so
// that it could never start. Thread-safe.
Result<void> CheckFitsCap(const WorkflowSpec& spec, const Resources& cap);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_CAP_CHECK_H_
