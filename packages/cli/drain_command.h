#ifndef POMELOTRAY_CLI_DRAIN_COMMAND_H_
#define POMELOTRAY_CLI_DRAIN_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Stops giving new work to a VM.
class DrainCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_DRAIN_COMMAND_H_
