#ifndef POMELOTRAY_CELL_ATTEMPT_TEXT_H_
#define POMELOTRAY_CELL_ATTEMPT_TEXT_H_

#include <optional>
#include <string>

#include "cell/cell_ports.h"
#include "cell/workflow.h"

namespace pomelotray {

// What a start or stop came to.
struct OrderOutcome {
  // No value: no answer came.
  std::optional<OrderAnswer> answer;
  // The order was never sent, so it cannot be carried out later.
  bool never_sent = false;
};

// Names and descriptions for log lines.
const char* EndName(AttemptEnd end);
const char* AnswerName(const OrderOutcome& outcome);
// The steps of a job: tasks, and what binds them.
std::string DescribeShape(const WorkflowSpec& spec);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_ATTEMPT_TEXT_H_
