#ifndef POMELOTRAY_CLI_WORKERS_COMMAND_H_
#define POMELOTRAY_CLI_WORKERS_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Lists the workers with their state and resource usage.
class WorkersCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_WORKERS_COMMAND_H_
