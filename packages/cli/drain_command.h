#ifndef POMELOTRAY_CLI_DRAIN_COMMAND_H_
#define POMELOTRAY_CLI_DRAIN_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Drains a VM: no new work is assigned to it.
class DrainCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_DRAIN_COMMAND_H_
