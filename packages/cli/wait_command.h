#ifndef POMELOTRAY_CLI_WAIT_COMMAND_H_
#define POMELOTRAY_CLI_WAIT_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Waits until a job reaches a final state or the timeout expires.
class WaitCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_WAIT_COMMAND_H_
