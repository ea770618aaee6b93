#ifndef POMELOTRAY_CLI_STATUS_COMMAND_H_
#define POMELOTRAY_CLI_STATUS_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Shows a job with its state and the reason for that state.
class StatusCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_STATUS_COMMAND_H_
