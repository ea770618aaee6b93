#ifndef POMELOTRAY_CELL_RECORDS_ATTEMPT_NAMES_H_
#define POMELOTRAY_CELL_RECORDS_ATTEMPT_NAMES_H_

#include <optional>
#include <string>

#include "cell/cell_ports.h"
#include "cell/workflow.h"

namespace pomelotray {

// Result of a start or stop order for a worker.
struct OrderOutcome {
  // The worker's answer; no value if none was received.
  std::optional<OrderAnswer> answer;
  // True if the order was never sent, so that the worker cannot carry it out later.
  bool never_sent = false;
};

// Returns the name of `end` for log events.
const char* AttemptEndName(AttemptEnd end);
// Returns the name of the worker's answer, or why there is none, for log events.
const char* OrderOutcomeName(const OrderOutcome& outcome);
// Summarizes the steps of a job for log events: for each step the number of tasks, the CPU and
// accelerator demand of a task, its estimate, and the placement constraints that are set.
std::string SummarizeSteps(const WorkflowSpec& spec);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RECORDS_ATTEMPT_NAMES_H_
